package nettletrail.fleet.cli.demonstration;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The clients of all zones. Each has a thread, on which it sends one request after the other with a
 * think time between them, and retries as the responses allow.
 */
final class LoadGenerator {
  private static final int MAX_ATTEMPTS = 3;
  private static final int MIN_THINK_TIME_MS = 40;
  private static final int THINK_TIME_SPREAD_MS = 80;
  private static final int DEFAULT_BACKOFF_MS = 40;
  private static final long NANOS_PER_MILLISECOND = 1_000_000;
  private static final int MILLIS_PER_SECOND = 1_000;

  /** A client backs off for no longer than this fraction of the time to its deadline. */
  private static final double MAX_BACKOFF_FRACTION = 1.0 / 3;

  private final ReadyDoors doors;
  private final List<Thread> threads = new ArrayList<>();
  private final List<AttemptResult> results = new ArrayList<>();
  private volatile boolean stopped;

  LoadGenerator(ReadyDoors doors) {
    this.doors = doors;
  }

  /**
   * Starts clients in a zone.
   *
   * @param random split for each client
   */
  void start(String zone, int count, SplittableRandom random) {
    for (int i = 0; i < count; i++) {
      SplittableRandom clientRandom = random.split();
      Thread thread = new Thread(() -> run(zone, clientRandom), "client");
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  /** Starts no further requests; returns when all pending ones have completed. */
  void stop() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
  }

  /** The results of all attempts so far. */
  List<AttemptResult> results() {
    synchronized (results) {
      return List.copyOf(results);
    }
  }

  private void run(String zone, SplittableRandom random) {
    try {
      while (!stopped) {
        RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
        sendRequest(zone, kind, random);
        Thread.sleep(MIN_THINK_TIME_MS + random.nextInt(THINK_TIME_SPREAD_MS));
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendRequest(String zone, RequestKind kind, SplittableRandom random)
      throws InterruptedException {
    long deadline =
        System.nanoTime() + ConfigurationTemplate.REQUEST_TIMEOUT_MS * NANOS_PER_MILLISECOND;
    for (int attempts = 1; true; attempts++) {
      int timeLeftMs = (int) ((deadline - System.nanoTime()) / NANOS_PER_MILLISECOND);
      InetSocketAddress door = doors.choose(zone, random.nextInt());
      String attempt = Long.toHexString(random.nextLong());
      long sentAt = System.nanoTime();
      ClientResponse response = HttpAttempt.send(door, kind, attempt, timeLeftMs);
      long backoffMs = backoffMs(response);
      boolean retry =
          attempts < MAX_ATTEMPTS
              && new AttemptResult(kind, attempt, sentAt, response, false).isRetryable()
              && fits(backoffMs, deadline);
      add(new AttemptResult(kind, attempt, sentAt, response, !retry));
      if (!retry) {
        return;
      }
      Thread.sleep(backoffMs);
    }
  }

  private static boolean fits(long backoffMs, long deadline) {
    long timeLeftMs = (deadline - System.nanoTime()) / NANOS_PER_MILLISECOND;
    return backoffMs < timeLeftMs * MAX_BACKOFF_FRACTION;
  }

  private void add(AttemptResult result) {
    synchronized (results) {
      results.add(result);
    }
  }

  private static long backoffMs(ClientResponse response) {
    String seconds = response.headers().getOrDefault("retry-after", "0.05");
    try {
      return Math.max(0, (long) (Double.parseDouble(seconds) * MILLIS_PER_SECOND));
    } catch (NumberFormatException malformed) {
      return DEFAULT_BACKOFF_MS;
    }
  }
}
