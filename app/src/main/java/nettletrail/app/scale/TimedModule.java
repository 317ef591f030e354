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
    public void onBackends(long now, boolean whole, List<Backend> entries) {
        long from = THREADS.getCurrentThreadCpuTime();
        module.onBackends(now, whole, entries);
        listNs += THREADS.getCurrentThreadCpuTime() - from;
    }

    @Override
    public void onDiscoveryFailure(long now) {
        module.onDiscoveryFailure(now);
    }

    @Override
    public void onRequest(long now, Request request) {
        long from = THREADS.getCurrentThreadCpuTime();
        module.onRequest(now, request);
        took(from);
    }

    @Override
    public void onAttemptEnd(long now, AttemptReport answer) {
        long from = THREADS.getCurrentThreadCpuTime();
        module.onAttemptEnd(now, answer);
        took(from);
    }

    @Override
    public void onRequestCancelled(long now, long requestId) {
        long from = THREADS.getCurrentThreadCpuTime();
        module.onRequestCancelled(now, requestId);
        took(from);
    }

    @Override
    public void onTimer(long now, int token) {
        long from = THREADS.getCurrentThreadCpuTime();
        module.onTimer(now, token);
        took(from);
    }

    private void took(long from) {
        requestNs += THREADS.getCurrentThreadCpuTime() - from;
        events++;
    }
}
