package nettletrail.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.OptionalInt;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a process tells of itself at its metrics port. */
@Timeout(30)
class MetricsServerTest {
  private static final String HOST = "127.0.0.1";

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final ProcessMetrics metrics = new ProcessMetrics();

  @AfterEach
  void stop() {
    group.shutdownGracefully();
  }

  private int listen() throws Exception {
    int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    loop.submit(() -> MetricsServer.listen(loop, HOST, port, metrics)).get();
    return port;
  }

  private static HttpResponse<String> get(int port, String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + path)).build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }

  @Test
  void givenMessagesWhenTheFiguresAreReadThenTheyAreCountedByKindAndDirection() throws Exception {
    loop.submit(
            () -> {
              metrics.sent("Ping", 12);
              metrics.sent("Ping", 13);
              metrics.received("FeedAck", 40, 2_000_000_000L);
            })
        .get();
    HttpResponse<String> answer = get(listen(), "/metrics");
    assertEquals(200, answer.statusCode());
    assertTrue(answer.headers().firstValue("Content-Type").orElse("").startsWith("text/plain"));
    String text = answer.body();
    assertHas(text, "nettletrail_link_messages_total{direction=\"sent\",kind=\"Ping\"} 2.0");
    assertHas(text, "nettletrail_link_bytes_total{direction=\"sent\",kind=\"Ping\"} 25.0");
    assertHas(text, "nettletrail_link_bytes_total{direction=\"received\",kind=\"FeedAck\"} 40.0");
    assertHas(text, "nettletrail_link_handling_seconds_total{kind=\"FeedAck\"} 2.0");
  }

  private static void assertHas(String text, String line) {
    assertTrue(text.lines().anyMatch(line::equals), line + " in " + text);
  }

  @Test
  void givenAnotherPathWhenItIsReadThenThereIsNothing() throws Exception {
    assertEquals(404, get(listen(), "/other").statusCode());
  }

  @Test
  void givenAPortThatIsTakenWhenTheProcessListensThenItGoesOnWithout() throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, java.net.InetAddress.getByName(HOST))) {
      loop.submit(() -> MetricsServer.listen(loop, HOST, taken.getLocalPort(), metrics)).get();
      assertEquals(1, loop.submit(() -> 1).get());
    }
  }

  @Test
  void givenArgumentsOfARoleWhenTheyAreReadThenThePortIsCheckedAndUnknownOnesAreRefused()
      throws Exception {
    assertEquals(OptionalInt.empty(), MetricsPort.of(new String[] {"door"}));
    assertEquals(
        OptionalInt.of(9464), MetricsPort.of(new String[] {"core", "--metrics-port", "9464"}));
    for (String[] bad :
        new String[][] {
          {"core", "--metrics-port"},
          {"core", "--port", "1"},
          {"core", "--metrics-port", "0"},
          {"core", "--metrics-port", "65536"},
          {"core", "--metrics-port", "x"}
        }) {
      assertThrows(StartException.class, () -> MetricsPort.of(bad));
    }
  }
}
