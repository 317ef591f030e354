package nettletrail.app.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;
import nettletrail.decision.Gateway;

/**
 * The module, with the thread's CPU time of its events: those of requests, and those of the list. What it asks of its
 * front door while it is at an event is in it, as far as that is done at once. Two readings of the clock for each event
 * are in it as well.
 */
final class TimedModule implements Gateway {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final Gateway module;
    long requestNs;
    long listNs;
    long events;

    TimedModule(Gateway module) {
        this.module = module;
    }

    @Override
    public void listed(long now, boolean whole, List<Backend> entries) {
        long from = THREADS.getCurrentThreadCpuTime();
        module.listed(now, whole, entries);
        listNs += THREADS.getCurrentThreadCpuTime() - from;
    }

    @Override
    public void listFailed(long now) {
        module.listFailed(now);
    }

    @Override
    public void arrived(long now, Request request) {
        long from = THREADS.getCurrentThreadCpuTime();
        module.arrived(now, request);
        took(from);
    }

    @Override
    public void answered(long now, Answer answer) {
        long from = THREADS.getCurrentThreadCpuTime();
        module.answered(now, answer);
        took(from);
    }

    @Override
    public void departed(long now, long requestId) {
        long from = THREADS.getCurrentThreadCpuTime();
        module.departed(now, requestId);
        took(from);
    }

    @Override
    public void woken(long now, int token) {
        long from = THREADS.getCurrentThreadCpuTime();
        module.woken(now, token);
        took(from);
    }

    private void took(long from) {
        requestNs += THREADS.getCurrentThreadCpuTime() - from;
        events++;
    }
}
