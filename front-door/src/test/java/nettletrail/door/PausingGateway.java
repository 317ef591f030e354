package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import nettletrail.decision.Gateway;

/**
 * A scripted decision module that can pause the event loop at a moment that the test chooses. It
 * pauses at a request of one unit; every other request is kept, sent or answered as the test says.
 */
class PausingGateway extends FrontDoorFixture.ScriptedGateway {
  final BlockingQueue<Gateway.Request> arrivals = new LinkedBlockingQueue<>();
  final BlockingQueue<Gateway.AttemptReport> answers = new LinkedBlockingQueue<>();
  final BlockingQueue<Long> departures = new LinkedBlockingQueue<>();
  private final CountDownLatch paused = new CountDownLatch(1);
  private final CountDownLatch resumed = new CountDownLatch(1);

  /** Callbacks, all called on the loop. */
  volatile Consumer<Gateway.Request> onArrival = this::send;

  volatile Consumer<Gateway.AttemptReport> onAnswer = told -> {};
  volatile Runnable afterPause = () -> {};

  /** Minimum length of the pause. */
  volatile long lateMs = 500;

  long backend;

  void send(Gateway.Request request) {
    actions.send(request.id(), backend, 0);
  }

  /** Pauses the loop until {@link #resume}, then runs {@link #afterPause}. On the loop. */
  void pause() {
    long since = System.nanoTime();
    paused.countDown();
    try {
      resumed.await();
      Thread.sleep(Math.max(0, lateMs - (System.nanoTime() - since) / 1_000_000));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
    afterPause.run();
  }

  void awaitPaused() throws InterruptedException {
    assertNotNull(
        paused.await(TestPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS) ? paused : null,
        "the loop does not stand still");
  }

  void resume() {
    resumed.countDown();
  }

  static <T> T next(BlockingQueue<T> of) throws InterruptedException {
    T next = of.poll(TestPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertNotNull(next);
    return next;
  }

  /** A request that pauses the loop. */
  static String pausingRequest(String txn) {
    return FrontDoorFixture.request("look", txn, 30_000, "").replace("units=2", "units=1");
  }

  @Override
  public void onBackends(long now, boolean whole, java.util.List<Backend> entries) {
    backend = entries.isEmpty() ? backend : entries.get(0).id();
  }

  @Override
  public void onRequest(long now, Request request) {
    if (request.units() == 1) {
      pause();
      actions.fail(request.id());
      return;
    }
    onArrival.accept(request);
    arrivals.add(request);
  }

  @Override
  public void onAttemptEnd(long now, AttemptReport told) {
    answers.add(told);
    onAnswer.accept(told);
    if (!told.requestEnded()) {
      actions.fail(told.requestId()); // no effect if the test has ended the request
    }
  }

  @Override
  public void onRequestCancelled(long now, long requestId) {
    departures.add(requestId);
  }
}
