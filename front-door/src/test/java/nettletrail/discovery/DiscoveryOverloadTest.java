package nettletrail.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import nettletrail.core.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Behaviour against a discovery that can't serve all front doors at once and rejects requests. */
class DiscoveryOverloadTest {
  private static final int TIMEOUT_MS = 10_000;
  private static final int QUEUE_MS = 1_500;

  private static final class RecordingListener implements Endpoint.Listener {
    final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();

    @Override
    public void endpointsUpdated(boolean snapshot, List<Endpoint> entries) {
      events.add("list");
    }

    @Override
    public void discoveryFailed() {
      events.add("failed");
    }
  }

  /**
   * A rejected watch is retried on the same connection, for the same version, with a backoff that
   * grows each time.
   */
  @Test
  void retriesRejectedWatchWithIncreasingBackoffOnSameConnection() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    try (ServerSocket agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      EventLoop loop = group.next();
      RecordingListener listener = new RecordingListener();
      DiscoveryClient discovery =
          new DiscoveryClient(
              loop, (InetSocketAddress) agent.getLocalSocketAddress(), 41, 7, listener);
      loop.execute(discovery::poll);
      try (AgentConnection connection = new AgentConnection(agent)) {
        String request =
            "GET /api/targets?index=41&wait=" + DiscoveryTiming.WATCH_WAIT_MS + " HTTP/1.1";
        assertEquals(request, connection.readRequestLine());
        long since = System.nanoTime();
        for (int i = 0; i < 5; i++) {
          connection.respond("503 Service Unavailable", "");
          assertEquals(
              request, connection.readRequestLine(), "on the same connection, for changes only");
        }
        // At least half of 60 + 120 + 240 + 480 + 960 ms: the backoff must grow exponentially.
        assertTrue(System.nanoTime() - since >= TimeUnit.MILLISECONDS.toNanos(930));
        connection.respond("200 OK", "{\"index\":42,\"snapshot\":false,\"endpoints\":[]}");
        assertEquals(
            "GET /api/targets?index=42&wait=" + DiscoveryTiming.WATCH_WAIT_MS + " HTTP/1.1",
            connection.readRequestLine());
        connection.respond("404 Not Found", "");
      }
      try (AgentConnection connection = new AgentConnection(agent)) {
        assertEquals(
            "GET /api/targets HTTP/1.1",
            connection.readRequestLine(),
            "an unknown version is not requested again");
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  /** A request that is queued there for 1.5 s is awaited: a retry would only lengthen the queue. */
  @Test
  void waitsForQueuedResponse() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    try (ServerSocket agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      EventLoop loop = group.next();
      RecordingListener listener = new RecordingListener();
      DiscoveryClient discovery =
          new DiscoveryClient(
              loop, (InetSocketAddress) agent.getLocalSocketAddress(), -1, 7, listener);
      loop.execute(discovery::poll);
      try (AgentConnection connection = new AgentConnection(agent)) {
        assertEquals("GET /api/targets HTTP/1.1", connection.readRequestLine());
        Thread.sleep(QUEUE_MS);
        connection.respond("200 OK", "{\"index\":1,\"snapshot\":true,\"endpoints\":[]}");
        assertEquals("list", listener.events.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  /**
   * In virtual time, 40 front doors request lists at one moment. Discovery makes ten lists a second
   * and rejects requests while two seconds of work are queued; a rejection costs a fifth of a list.
   * With the real backoff all front doors are served within seconds; with retries every 50 ms,
   * rejections would use all capacity of discovery.
   */
  @Test
  void servesAllFrontDoorsThatRequestListsAtOnce() {
    long seed = 20261201;
    assertTrue(msUntilAllServed(seed, true) <= 15_000, "seed " + seed);
    assertTrue(
        msUntilAllServed(seed, false) > 60_000,
        "seed " + seed + ": fixed retries must overload the model");
  }

  /** Time in ms until the last front door has its list; at most 120,000. */
  private static int msUntilAllServed(long seed, boolean exponential) {
    int doors = 40;
    double listMs = 100;
    SplittableRandom random = new SplittableRandom(seed);
    List<Integer> nextRequestAt = new ArrayList<>();
    int[] failures = new int[doors];
    for (int door = 0; door < doors; door++) {
      nextRequestAt.add(door % 10);
    }
    double backlogMs = 0;
    int unserved = doors;
    for (int now = 0; now < 120_000; now++) {
      backlogMs = Math.max(0, backlogMs - 1);
      for (int door = 0; door < doors; door++) {
        if (nextRequestAt.get(door) != now) {
          continue;
        }
        if (backlogMs + listMs > 2_000) {
          backlogMs += listMs / 5;
          int backoffMs =
              exponential ? DiscoveryTiming.overloadBackoffMs(failures[door]++, 0, random) : 50;
          nextRequestAt.set(door, now + Math.max(1, backoffMs));
        } else {
          backlogMs += listMs;
          unserved--;
          nextRequestAt.set(door, -1);
        }
      }
      if (unserved == 0) {
        return now;
      }
    }
    return 120_000;
  }

  /**
   * The backoff starts when the request is sent: time in the queue before a rejection counts as
   * backoff.
   */
  @Test
  void countsQueueTimeAsBackoff() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    try (ServerSocket agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      EventLoop loop = group.next();
      DiscoveryClient discovery =
          new DiscoveryClient(
              loop,
              (InetSocketAddress) agent.getLocalSocketAddress(),
              41,
              7,
              new RecordingListener());
      loop.execute(discovery::poll);
      try (AgentConnection connection = new AgentConnection(agent)) {
        connection.readRequestLine();
        for (int i = 0; i < 4; i++) {
          connection.respond("503 Service Unavailable", "");
          connection.readRequestLine();
        }
        Thread.sleep(1_000); // queue time, longer than the fifth backoff
        long since = System.nanoTime();
        connection.respond("503 Service Unavailable", "");
        connection.readRequestLine();
        assertTrue(
            System.nanoTime() - since < TimeUnit.MILLISECONDS.toNanos(240),
            "half of the fifth backoff is 480 ms");
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  /**
   * When the connection is closed during a backoff, the backoff is unchanged and the next request
   * uses a new connection.
   */
  @Test
  void addsNoBackoffWhenConnectionClosesDuringBackoff() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    try (ServerSocket agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      EventLoop loop = group.next();
      RecordingListener listener = new RecordingListener();
      DiscoveryClient discovery =
          new DiscoveryClient(
              loop, (InetSocketAddress) agent.getLocalSocketAddress(), 41, 7, listener);
      loop.execute(discovery::poll);
      try (AgentConnection connection = new AgentConnection(agent)) {
        connection.readRequestLine();
        connection.respond("503 Service Unavailable", "");
        assertEquals("failed", listener.events.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));
      }
      try (AgentConnection second = new AgentConnection(agent)) {
        assertEquals(
            "GET /api/targets?index=41&wait=" + DiscoveryTiming.WATCH_WAIT_MS + " HTTP/1.1",
            second.readRequestLine());
        assertEquals(null, listener.events.poll(), "one failure, not two");
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  /** For any number of previous rejections and any time in the queue. */
  @Test
  void keepsRequestIntervalWithinBudget() {
    for (int seed = 0; seed < 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      for (int failures = 0; failures < 40; failures++) {
        for (int queuedMs = 0; queuedMs <= 2_000; queuedMs += 250) {
          int next = queuedMs + DiscoveryTiming.overloadBackoffMs(failures, queuedMs, random);
          assertTrue(next <= DiscoveryTiming.MAX_OVERLOAD_INTERVAL_MS, "seed " + seed);
          assertTrue(
              next
                  >= Math.min(
                          DiscoveryTiming.MAX_OVERLOAD_INTERVAL_MS,
                          DiscoveryTiming.INITIAL_BACKOFF_MS << Math.min(failures, 16))
                      / 2);
        }
      }
    }
  }

  /**
   * In virtual time, discovery rejects all requests for a minute, at a cost for each, while a
   * change is pending; then it serves them from a queue of two seconds. All front doors must have
   * the change within the budget, and rejections must not have used all capacity of discovery
   * before.
   */
  @ParameterizedTest
  @CsvSource({"100, 10, 16", "480, 3, 4"})
  void deliversChangeInTimeToRejectedFrontDoorsWithoutSaturatingDiscovery(
      int doors, int listMs, int rejectionMs) {
    int overloadEnd = 60_000;
    for (int seed = 0; seed < 50; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      int[] nextRequestAt = new int[doors];
      int[] failures = new int[doors];
      int unserved = doors;
      int rejections = 0;
      int lastServed = 0;
      double queueMs = 0;
      for (int now = 0; unserved > 0; now++) {
        queueMs = Math.max(0, queueMs - 1);
        for (int door = 0; door < doors; door++) {
          if (nextRequestAt[door] != now) {
            continue;
          }
          if (now < overloadEnd || queueMs + listMs > 2_000) {
            rejections += now >= 10_000 && now < overloadEnd ? 1 : 0;
            queueMs += now < overloadEnd ? 0 : rejectionMs;
            nextRequestAt[door] =
                now + DiscoveryTiming.overloadBackoffMs(failures[door]++, 0, random);
          } else {
            queueMs += listMs;
            unserved--;
            nextRequestAt[door] = -1;
            lastServed = Math.max(lastServed, now + (int) Math.ceil(queueMs));
          }
        }
      }
      double rejectionLoad = rejections * (double) rejectionMs / (overloadEnd - 10_000);
      assertTrue(
          lastServed - overloadEnd
              <= DiscoveryTiming.PROPAGATION_LIMIT_MS - DiscoveryTiming.LOOP_DELAY_RESERVE_MS,
          "seed " + seed + ": " + (lastServed - overloadEnd));
      assertTrue(rejectionLoad < 0.9, "seed " + seed + ": " + rejectionLoad);
    }
  }
}
