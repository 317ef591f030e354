package nettletrail.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.grpc.ManagedChannel;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import nettletrail.door.FrontDoor;
import nettletrail.proxy.StandInProxy;
import nettletrail.site.Ledger;
import nettletrail.site.StandInBackend;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the real decision module behind the front door and the external processor, with fake proxies
 * and backends.
 */
@Timeout(120)
class ExtProcIntegrationTest {
  private static final int MAX_UNDECIDED = 8;
  private static final int MAX_POLLS = 10_000;

  @TempDir private Path folder;
  private ExtProcTestServer server;
  private final Ledger ledger = new Ledger();
  private final List<StandInBackend> backends = new ArrayList<>();

  @BeforeEach
  void make() {
    server = new ExtProcTestServer(folder);
  }

  @AfterEach
  void end() {
    backends.forEach(StandInBackend::close);
    server.close();
  }

  private StandInBackend backend(StandInBackend.Manner manner, long sinceMs) {
    StandInBackend made =
        new StandInBackend("s-" + backends.size(), server.group, ledger, manner, backends.size());
    backends.add(made);
    server.agent.set(made.name(), made.address(), "SERVING", sinceMs);
    return made;
  }

  /** 3 s of load far above the limit: requests through both servers draw from one shared limit. */
  @Test
  void sharedLimitHoldsAcrossFrontDoorAndExternalProcessor() throws Exception {
    for (int i = 0; i < 3; i++) {
      backend(StandInBackend.Manner.good(1), 0);
    }
    server.start(FrontDoor.GATEWAY_FACTORY);
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
    Thread socket =
        new Thread(
            () -> {
              try (Socket client = new Socket("127.0.0.1", server.door().address().getPort())) {
                byte[] buffer = new byte[4_096];
                for (int i = 0; System.nanoTime() < until; i++) {
                  StringBuilder text =
                      new StringBuilder("POST /api HTTP/1.1\r\nHost: gw\r\nContent-Length: 0\r\n");
                  ExtProcTestServer.request(
                          "5" + Integer.toHexString(i + 4096), true, "business", 9, 3_000)
                      .headers()
                      .forEach(
                          (name, value) ->
                              text.append(
                                  name.startsWith("x-") ? name + ": " + value + "\r\n" : ""));
                  client
                      .getOutputStream()
                      .write((text + "\r\n").getBytes(StandardCharsets.US_ASCII));
                  client.getInputStream().read(buffer);
                }
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    socket.start();
    try (StandInProxy proxy =
        new StandInProxy(server.front().grpcAddress(), StandInProxy.Habits.ROUGH, 3, 1_000)) {
      for (int i = 0; System.nanoTime() < until; i++) {
        int number = i;
        proxy
            .loop()
            .execute(
                () ->
                    proxy.request(
                        ExtProcTestServer.request(
                            "a" + Integer.toHexString(number + 4096), true, "business", 9, 3_000)));
        Thread.sleep(2);
      }
      socket.join();
      settle(proxy);
    }
    double below = ledger.worstBelowNothing("business", 20, 30);
    assertTrue(below <= 10, "went " + below + " units below nothing, 10 are allowed");
    long fromSocket = ledger.runs().stream().filter(run -> run.id().contains("00005")).count();
    long fromProxy = ledger.runs().size() - fromSocket;
    assertTrue(fromSocket > 0 && fromProxy > 0, fromSocket + " and " + fromProxy + " ran");
    assertEquals(0, ledger.ranTwice().size());
  }

  /**
   * A faulty proxy and faulty backends: retries, duplicates, cancellations, resets, errors,
   * timeouts. Every request is answered, no order is forwarded or run twice, and all slots are free
   * at the end.
   */
  @Test
  void faultyProxyNeverRunsAnOrderTwice() throws Exception {
    for (int i = 0; i < 4; i++) {
      backend(new StandInBackend.Manner(10, 0.03, 0.03, 0.03, 0.01), 0);
    }
    server.with("orphan_ms", 100L).start(FrontDoor.GATEWAY_FACTORY);
    long seed = 20261201;
    System.out.println("seed " + seed);
    SplittableRandom random = new SplittableRandom(seed);
    StandInProxy.Habits habits = new StandInProxy.Habits(0.1, 0.15, 0.05, 0.1, 0.05, 4);
    try (StandInProxy proxy =
        new StandInProxy(server.front().grpcAddress(), habits, seed, 60_000)) {
      for (int i = 0; i < 1_500; i++) {
        boolean unsafe = random.nextInt(3) > 0;
        StandInProxy.Request request =
            ExtProcTestServer.request(
                "c" + Integer.toHexString(i + 4096), unsafe, "standard", i % 20, 800);
        proxy.loop().execute(() -> proxy.request(request));
        if (i % 4 == 0) {
          Thread.sleep(5);
          awaitFewerUndecidedThan(MAX_UNDECIDED, proxy);
        }
      }
      settle(proxy);
      StandInProxy.Figures figures = proxy.loop().submit(proxy::takeFigures).get();
      assertEquals(List.of(), figures.faults);
      assertEquals(0, figures.decidedTwice);
      assertEquals(0, figures.errors);
      assertTrue(
          figures.forwarded > 100 && figures.askedAgain > 100 && figures.withdrawn > 20,
          figures.forwarded + ", " + figures.askedAgain + ", " + figures.withdrawn);
    }
    assertEquals(0, ledger.ranTwice().size(), ledger.ranTwice().toString());
    for (int i = 0; i < 200 && openCount() > 0; i++) {
      Thread.sleep(20);
    }
    assertEquals(0, openCount(), "requests still open");
  }

  /** A busy machine decides later, and what waits for longer than its budget is refused. */
  private static void awaitFewerUndecidedThan(int limit, StandInProxy proxy) throws Exception {
    for (int poll = 0; poll < MAX_POLLS; poll++) {
      if (proxy.loop().submit(proxy::undecided).get() < limit) {
        return;
      }
      Thread.sleep(1);
    }
    fail(limit + " requests and more stay without a decision");
  }

  private int openCount() throws Exception {
    int[] openCount = new int[1];
    server
        .front()
        .processor()
        .runOnLoop(() -> openCount[0] = server.front().processor().openCount())
        .get();
    return openCount[0];
  }

  /**
   * Waits until no request awaits its decision, not until backends have finished. A duplicate may
   * come 150 ms after the first, so two successive polls must find no new request.
   */
  private static void settle(StandInProxy proxy) throws Exception {
    int undecided = 1;
    long previousRequests = -1;
    for (int i = 0; i < 100; i++) {
      Thread.sleep(250);
      long[] now = proxy.loop().submit(() -> new long[] {proxy.undecided(), proxy.asks()}).get();
      undecided = (int) now[0];
      if (undecided == 0 && now[1] == previousRequests) {
        return;
      }
      previousRequests = now[1];
    }
    assertEquals(0, undecided, "requests without a decision");
  }

  /** With eight concurrent proxies, a backend in slow start gets its reduced share and no burst. */
  @Test
  void slowStartHoldsAcrossAllProxies() throws Exception {
    for (int i = 0; i < 3; i++) {
      backend(StandInBackend.Manner.good(1), 0);
    }
    StandInBackend withoutWarmUp =
        backend(StandInBackend.Manner.good(1), System.currentTimeMillis());
    server.start(FrontDoor.GATEWAY_FACTORY);
    int toCold = 0;
    int all = 0;
    List<ManagedChannel> proxies = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      proxies.add(server.connection());
    }
    for (int round = 0; round < 25; round++) {
      List<TestProxyStream> asked = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        asked.add(
            new TestProxyStream(proxies.get(i))
                .sendRequestHeaders(
                    ExtProcTestServer.status("f" + Integer.toHexString(round * 8 + i))));
      }
      for (TestProxyStream each : asked) {
        var decision = each.next();
        if (decision.hasRequestHeaders()) {
          all++;
          toCold +=
              nettletrail.proxy.Messages.set(decision, "x-gateway-destination-endpoint")
                      .endsWith(":" + withoutWarmUp.address().getPort())
                  ? 1
                  : 0;
          each.outcome(200).next();
        }
      }
    }
    // It has a quarter of its capacity, of 3.25 in total: at most half of the overload factor of 2,
    // plus a burst of
    // 2.
    double most = all * 0.5 * 2.0 * 0.30 / 3.25 + 2 + 1;
    assertTrue(all > 150, all + " forwarded");
    assertTrue(toCold <= most, toCold + " of " + all + " went to the cold node, at most " + most);
    assertTrue(toCold > 0, "it needs requests to warm up");
  }
}
