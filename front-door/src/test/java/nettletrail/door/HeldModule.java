package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import nettletrail.decision.Gateway;

/**
 * A module that does what a test says, and keeps the event loop at an instant that the test chooses. A request of one
 * unit is the one that it stands still at; all others it keeps, sends or answers as told.
 */
class HeldModule extends Rig.Scripted {
    final BlockingQueue<Gateway.Request> arrivals = new LinkedBlockingQueue<>();
    final BlockingQueue<Gateway.AttemptReport> answers = new LinkedBlockingQueue<>();
    final BlockingQueue<Long> departures = new LinkedBlockingQueue<>();
    private final CountDownLatch held = new CountDownLatch(1);
    private final CountDownLatch go = new CountDownLatch(1);
    /** All called on the loop. */
    volatile Consumer<Gateway.Request> arrival = this::send;
    volatile Consumer<Gateway.AttemptReport> answer = told -> { };
    volatile Runnable afterHold = () -> { };
    /** The loop is late by so much at least when it goes on. */
    volatile long lateMs = 500;
    long backend;

    void send(Gateway.Request request) {
        actions.send(request.id(), backend, 0);
    }

    /** On the loop: stands still until {@link #release}, then does what is to follow. */
    void hold() {
        long since = System.nanoTime();
        held.countDown();
        try {
            go.await();
            Thread.sleep(Math.max(0, lateMs - (System.nanoTime() - since) / 1_000_000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        afterHold.run();
    }

    void awaitHeld() throws InterruptedException {
        assertNotNull(held.await(Peer.PATIENCE_MS, TimeUnit.MILLISECONDS) ? held : null, "the loop does not stand still");
    }

    void release() {
        go.countDown();
    }

    static <T> T next(BlockingQueue<T> of) throws InterruptedException {
        T next = of.poll(Peer.PATIENCE_MS, TimeUnit.MILLISECONDS);
        assertNotNull(next);
        return next;
    }

    /** A request at which the loop stands still. */
    static String holding(String txn) {
        return Rig.request("look", txn, 30_000, "").replace("units=2", "units=1");
    }

    @Override
    public void onBackends(long now, boolean whole, java.util.List<Backend> entries) {
        backend = entries.isEmpty() ? backend : entries.get(0).id();
    }

    @Override
    public void onRequest(long now, Request request) {
        if (request.units() == 1) {
            hold();
            actions.fail(request.id());
            return;
        }
        arrival.accept(request);
        arrivals.add(request);
    }

    @Override
    public void onAttemptEnd(long now, AttemptReport told) {
        answers.add(told);
        answer.accept(told);
        if (!told.requestEnded()) {
            actions.fail(told.requestId()); // nothing, where the test has ended it
        }
    }

    @Override
    public void onRequestCancelled(long now, long requestId) {
        departures.add(requestId);
    }
}
