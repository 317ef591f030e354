package nettletrail.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import nettletrail.core.Endpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Watches without a response, and responses in another order than their requests, over sockets. */
@Timeout(60)
class DiscoveryWatchTest {
  private static final int TIMEOUT_MS = 10_000;
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private ServerSocket agent;

  @BeforeEach
  void openAgent() throws IOException {
    agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void closeAgent() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    agent.close();
  }

  private DiscoveryClient startClient(long index) {
    EventLoop loop = group.next();
    DiscoveryClient discovery =
        new DiscoveryClient(
            loop,
            (InetSocketAddress) agent.getLocalSocketAddress(),
            index,
            7,
            new Endpoint.Listener() {
              @Override
              public void endpointsUpdated(boolean snapshot, List<Endpoint> entries) {
                events.add(
                    (snapshot ? "whole " : "changes ")
                        + entries.stream().map(Endpoint::name).toList());
              }

              @Override
              public void discoveryFailed() {}
            });
    loop.execute(discovery::poll);
    return discovery;
  }

  private String nextEvent() throws InterruptedException {
    return events.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private static String list(long index, boolean snapshot, String name) {
    return "{\"index\":"
        + index
        + ",\"snapshot\":"
        + snapshot
        + ",\"endpoints\":[{\"name\":\""
        + name
        + "\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"status\":\"SERVING\"}]}";
  }

  private static String watchRequest(long index) {
    return "GET /api/targets?index="
        + index
        + "&wait="
        + DiscoveryTiming.WATCH_WAIT_MS
        + " HTTP/1.1";
  }

  private static long msSince(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  /** The budgets of {@link DiscoveryTiming}, with the longest backoffs that occur. */
  @Test
  void fitsAllTimeoutsAndBackoffsIntoBudget() {
    int budgetMs = DiscoveryTiming.PROPAGATION_LIMIT_MS - DiscoveryTiming.LOOP_DELAY_RESERVE_MS;
    int firstBackoffMs = 0;
    int timeoutBackoffMs = 0;
    int overloadBackoffMs = 0;
    for (int seed = 0; seed < 1_000; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      firstBackoffMs = Math.max(firstBackoffMs, DiscoveryTiming.timeoutBackoffMs(0, random));
      timeoutBackoffMs =
          Math.max(timeoutBackoffMs, DiscoveryTiming.timeoutBackoffMs(seed % 40, random));
      overloadBackoffMs =
          Math.max(overloadBackoffMs, DiscoveryTiming.overloadBackoffMs(seed % 40, 0, random));
    }
    int watchTimeoutMs = DiscoveryTiming.WATCH_WAIT_MS + DiscoveryTiming.WATCH_GRACE_MS;
    assertTrue(
        watchTimeoutMs
                + DiscoveryTiming.CONNECT_TIMEOUT_MS
                + firstBackoffMs
                + DiscoveryTiming.RESPONSE_TIMEOUT_MS
            <= budgetMs,
        "the second request fails to connect");
    assertTrue(
        watchTimeoutMs
                + DiscoveryTiming.RESPONSE_TIMEOUT_MS
                + firstBackoffMs
                + DiscoveryTiming.CONNECT_TIMEOUT_MS
            <= budgetMs,
        "the second request is lost");
    assertTrue(
        DiscoveryTiming.RESPONSE_TIMEOUT_MS
                + timeoutBackoffMs
                + DiscoveryTiming.CONNECT_TIMEOUT_MS
                + DiscoveryTiming.RESPONSE_TIMEOUT_MS
            <= budgetMs,
        "silence");
    assertTrue(overloadBackoffMs + DiscoveryTiming.RESPONSE_TIMEOUT_MS <= budgetMs, "overload");
    assertTrue(
        DiscoveryTiming.WATCH_WAIT_MS + DiscoveryTiming.RESPONSE_TIMEOUT_MS < budgetMs
            && DiscoveryTiming.WATCH_GRACE_MS < DiscoveryTiming.RESPONSE_TIMEOUT_MS);
  }

  /**
   * The watch gets no response and the request beside it is lost: the third request delivers the
   * change in time.
   */
  @Test
  void deliversChangeInTimeAfterTwoLostRequests() throws Exception {
    startClient(41);
    try (AgentConnection silent = new AgentConnection(agent)) {
      silent.readRequestLine();
      long since = System.nanoTime();
      try (AgentConnection second = new AgentConnection(agent)) {
        assertEquals("GET /api/targets?index=41&wait=1 HTTP/1.1", second.readRequestLine());
        try (AgentConnection third = new AgentConnection(agent)) {
          third.readRequestLine();
          third.respond(list(42, false, "s-1"));
          assertEquals("changes [s-1]", nextEvent());
          long elapsedMs = msSince(since);
          assertTrue(
              elapsedMs
                  <= DiscoveryTiming.PROPAGATION_LIMIT_MS
                      - DiscoveryTiming.LOOP_DELAY_RESERVE_MS / 2,
              "took " + elapsedMs);
          assertEquals(watchRequest(42), third.readRequestLine());
        }
      }
    }
  }

  /**
   * The watch was only queued: its response is applied, and so is that of the request beside it.
   */
  @Test
  void acceptsLateResponseOfWatch() throws Exception {
    startClient(41);
    try (AgentConnection late = new AgentConnection(agent)) {
      late.readRequestLine();
      try (AgentConnection second = new AgentConnection(agent)) {
        assertEquals("GET /api/targets?index=41&wait=1 HTTP/1.1", second.readRequestLine());
        late.respond(list(42, false, "s-1"));
        assertEquals("changes [s-1]", nextEvent());
        assertEquals("ended", late.readRequestLine(), "one watch is enough");
        second.respond(list(43, false, "s-2"));
        assertEquals("changes [s-2]", nextEvent());
        assertEquals(watchRequest(43), second.readRequestLine());
      }
    }
  }

  /**
   * After the response to the second request, one of the watch could not be newer, so its
   * connection is closed.
   */
  @Test
  void closesSilentWatchWhenSecondRequestIsAnswered() throws Exception {
    startClient(41);
    try (AgentConnection silent = new AgentConnection(agent)) {
      silent.readRequestLine();
      try (AgentConnection second = new AgentConnection(agent)) {
        second.readRequestLine();
        second.respond(list(43, false, "s-2"));
        assertEquals("changes [s-2]", nextEvent());
        assertEquals("ended", silent.readRequestLine());
        assertEquals(watchRequest(43), second.readRequestLine());
      }
    }
  }

  /**
   * The second connection is not accepted while the agent's backlog is full: the connect timeout is
   * short, so that another attempt follows well within a second.
   */
  @Test
  void retriesSoonAfterConnectTimeout() throws Exception {
    try (ServerSocket smallBacklog = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      ServerSocket previousAgent = agent;
      agent = smallBacklog;
      startClient(41);
      agent = previousAgent;
      try (AgentConnection silent = new AgentConnection(smallBacklog)) {
        silent.readRequestLine();
        long since = System.nanoTime();
        try (Socket first = new Socket(smallBacklog.getInetAddress(), smallBacklog.getLocalPort());
            Socket second =
                new Socket(smallBacklog.getInetAddress(), smallBacklog.getLocalPort())) {
          assertTrue(first.isConnected() && second.isConnected());
          int watchTimeoutMs = DiscoveryTiming.WATCH_WAIT_MS + DiscoveryTiming.WATCH_GRACE_MS;
          // The client is then connecting, for CONNECT_TIMEOUT_MS.
          TimeUnit.MILLISECONDS.sleep(watchTimeoutMs + 150);
          smallBacklog.accept().close();
          smallBacklog.accept().close();
          try (AgentConnection up = new AgentConnection(smallBacklog)) {
            assertEquals("GET /api/targets?index=41&wait=1 HTTP/1.1", up.readRequestLine());
            long elapsedMs = msSince(since);
            assertTrue(
                elapsedMs >= watchTimeoutMs + DiscoveryTiming.CONNECT_TIMEOUT_MS
                    && elapsedMs < watchTimeoutMs + 900,
                "took " + elapsedMs);
          }
        }
      }
    }
  }

  /**
   * A request that waits for changes can't be distinguished from a lost one before its wait has
   * elapsed.
   */
  @Test
  void firstRequestAfterFailureDoesNotWait() throws Exception {
    startClient(41);
    try (AgentConnection watch = new AgentConnection(agent)) {
      assertEquals(watchRequest(41), watch.readRequestLine());
    }
    try (AgentConnection lost = new AgentConnection(agent)) {
      assertEquals("GET /api/targets?index=41&wait=1 HTTP/1.1", lost.readRequestLine());
      // No response: the client must give up well before a waiting request would time out.
      long since = System.nanoTime();
      try (AgentConnection again = new AgentConnection(agent)) {
        assertTrue(
            System.nanoTime() - since
                < TimeUnit.MILLISECONDS.toNanos(DiscoveryTiming.WATCH_WAIT_MS));
        assertEquals("GET /api/targets?index=41&wait=1 HTTP/1.1", again.readRequestLine());
        again.respond(list(42, false, "s-1"));
        assertEquals("changes [s-1]", nextEvent());
        assertEquals(watchRequest(42), again.readRequestLine());
      }
    }
  }

  /** Changes of an older version would undo newer ones, so the whole list is requested instead. */
  @Test
  void ignoresChangesOfOlderVersion() throws Exception {
    startClient(41);
    try (AgentConnection watch = new AgentConnection(agent)) {
      watch.readRequestLine();
      watch.respond(list(43, false, "new"));
      assertEquals("changes [new]", nextEvent());
      watch.readRequestLine();
      watch.respond(list(42, false, "old"));
      assertEquals("GET /api/targets HTTP/1.1", watch.readRequestLine());
      watch.respond(list(44, true, "all"));
      assertEquals("whole [all]", nextEvent());
    }
  }

  @Test
  void parsesIndentedList() throws Exception {
    startClient(-1);
    try (AgentConnection watch = new AgentConnection(agent)) {
      watch.readRequestLine();
      watch.respond(
          list(5, true, "s-1")
              .replace("{", "{\n    ")
              .replace(",", ",\n\t ")
              .replace(":", " : ")
              .replace("127.0.0.1 : 1", "127.0.0.1:1"));
      assertEquals("whole [s-1]", nextEvent());
      assertEquals(watchRequest(5), watch.readRequestLine());
    }
  }

  /** The new agent is used as if it were the first one, whatever failed with the previous agent. */
  @Test
  void resetsStateWhenAgentIsSwitchedDuringSilentRequest() throws Exception {
    DiscoveryClient discovery = startClient(41);
    try (AgentConnection silent = new AgentConnection(agent);
        ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      silent.readRequestLine();
      for (int i = 0; i < 4; i++) {
        silent.respond("503 Service Unavailable", "");
        silent.readRequestLine();
      }
      group
          .next()
          .execute(() -> discovery.switchAgent((InetSocketAddress) other.getLocalSocketAddress()));
      try (AgentConnection moved = new AgentConnection(other)) {
        assertEquals("ended", silent.readRequestLine());
        assertEquals("GET /api/targets HTTP/1.1", moved.readRequestLine());
        moved.respond("503 Service Unavailable", "");
        long since = System.nanoTime();
        moved.readRequestLine();
        // With the failures of the previous agent the backoff would be at least 480 ms; the first
        // one is
        // at most 60 ms.
        assertTrue(System.nanoTime() - since < TimeUnit.MILLISECONDS.toNanos(480));
        moved.respond(list(2, true, "s-2"));
        assertEquals("whole [s-2]", nextEvent());
        assertEquals(watchRequest(2), moved.readRequestLine());
      }
    }
  }
}
