package nettletrail.fleet.cli.demonstration;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The clients of all zones: each sends one request after the other, with a pause between them, and
 * tries again as told.
 */
final class Clients {
  private static final int MAX_TRIES = 3;
  private static final int PAUSE_MS = 40;
  private static final int PAUSE_SPREAD_MS = 80;
  private static final long NANOS_A_MILLISECOND = 1_000_000;
  private static final int MILLIS_A_SECOND = 1_000;
  private static final double MAX_WAIT_SHARE = 1.0 / 3;

  private final DoorDirectory doors;
  private final List<Thread> threads = new ArrayList<>();
  private final List<RequestOutcome> outcomes = new ArrayList<>();
  private volatile boolean stopped;

  Clients(DoorDirectory doors) {
    this.doors = doors;
  }

  /** Starts so many clients in a zone. */
  void start(String zone, int count, SplittableRandom random) {
    for (int i = 0; i < count; i++) {
      SplittableRandom own = random.split();
      Thread thread = new Thread(() -> run(zone, own), "client");
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  /** Sends nothing new; returns once everything that was sent has ended. */
  void stop() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
  }

  /** What came of every try so far. */
  List<RequestOutcome> outcomes() {
    synchronized (outcomes) {
      return List.copyOf(outcomes);
    }
  }

  private void run(String zone, SplittableRandom random) {
    try {
      while (!stopped) {
        RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
        request(zone, kind, random);
        Thread.sleep(PAUSE_MS + random.nextInt(PAUSE_SPREAD_MS));
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void request(String zone, RequestKind kind, SplittableRandom random)
      throws InterruptedException {
    long deadline = System.nanoTime() + ConfigurationText.REQUEST_TIMEOUT_MS * NANOS_A_MILLISECOND;
    for (int tries = 1; true; tries++) {
      int leftMs = (int) ((deadline - System.nanoTime()) / NANOS_A_MILLISECOND);
      InetSocketAddress door = doors.choose(zone, random.nextInt());
      String attempt = Long.toHexString(random.nextLong());
      long sentAt = System.nanoTime();
      ClientResponse response = HttpClientConnection.send(door, kind, attempt, leftMs);
      RequestOutcome outcome = new RequestOutcome(kind, attempt, sentAt, response, false);
      long waitMs = retryAfterMs(response);
      long leftAfterMs = (deadline - System.nanoTime()) / NANOS_A_MILLISECOND;
      boolean again =
          outcome.mayRetry() && tries < MAX_TRIES && waitMs < leftAfterMs * MAX_WAIT_SHARE;
      note(new RequestOutcome(kind, attempt, sentAt, response, !again));
      if (!again) {
        return;
      }
      Thread.sleep(waitMs);
    }
  }

  private void note(RequestOutcome outcome) {
    synchronized (outcomes) {
      outcomes.add(outcome);
    }
  }

  private static long retryAfterMs(ClientResponse response) {
    String seconds = response.headers().getOrDefault("retry-after", "0.05");
    try {
      return Math.max(0, (long) (Double.parseDouble(seconds) * MILLIS_A_SECOND));
    } catch (NumberFormatException malformed) {
      return PAUSE_MS;
    }
  }
}
