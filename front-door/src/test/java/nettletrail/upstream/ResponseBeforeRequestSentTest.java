package nettletrail.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import nettletrail.core.BackendAttempt;
import nettletrail.core.BackendReport;
import nettletrail.core.Endpoint;
import nettletrail.core.InboundRequest;
import nettletrail.core.RequestClient;
import nettletrail.decision.Gateway;
import nettletrail.decision.Gateway.Outcome;
import nettletrail.decision.GatewaySettingsReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A response that arrives while the request is still being written: the backend reads nothing and
 * its receive window is closed, so the last byte can't have been sent. The response belongs to
 * another request or is invalid, and whatever it looks like, the request has not run.
 */
@Timeout(30)
class ResponseBeforeRequestSentTest {
  private static final int SMALL_BUFFER_BYTES = 4 << 10;

  private static final class RecordedAttempt extends BackendAttempt {
    final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    private final InboundRequest arrival;

    RecordedAttempt(InboundRequest arrival) {
      super(Endpoint.idOf("s-1"));
      this.arrival = arrival;
    }

    @Override
    public InboundRequest request() {
      return arrival;
    }

    @Override
    public RequestClient client() {
      throw new AssertionError("the pool must not respond to the client");
    }

    @Override
    public long remainingMs() {
      return 30_000;
    }

    @Override
    public long remainingNanos() {
      return TimeUnit.SECONDS.toNanos(30);
    }

    @Override
    public void sendStarted() {}

    @Override
    public void ended(Outcome how, BackendReport report, ByteBuf body, String contentType) {
      assertTrue(outcome.complete(how), "ended twice");
    }

    @Override
    public void endedWithRequest(Outcome how, BackendReport report) {
      throw new AssertionError();
    }
  }

  private static Outcome outcomeFor(String response, int bodyBytes, boolean readRequest)
      throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    ByteBuf body = Unpooled.wrappedBuffer(new byte[bodyBytes]);
    try (ServerSocket backend = new ServerSocket()) {
      backend.setReceiveBufferSize(SMALL_BUFFER_BYTES);
      backend.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      BackendPool pool =
          new BackendPool(
              group.next(),
              new BackendReport.Reader(new GatewaySettingsReader("")),
              new Bootstrap()
                  .group(group.next())
                  .channel(NioSocketChannel.class)
                  .option(ChannelOption.SO_SNDBUF, SMALL_BUFFER_BYTES),
              Long.MAX_VALUE,
              8);
      RecordedAttempt attempt =
          new RecordedAttempt(
              new InboundRequest(
                  HttpMethod.POST,
                  "/api",
                  "0".repeat(16),
                  0,
                  0,
                  1,
                  1,
                  1,
                  30_000,
                  body,
                  Long.MAX_VALUE,
                  null));
      group
          .next()
          .submit(
              () -> {
                pool.endpointsUpdated(
                    true,
                    List.of(
                        new Endpoint(
                            Endpoint.idOf("s-1"),
                            "s-1",
                            backend.getLocalSocketAddress(),
                            "a",
                            "m1",
                            0,
                            Gateway.DiscoveryState.READY,
                            1,
                            0)));
                pool.start(attempt);
              })
          .sync();
      try (Socket server = backend.accept()) {
        if (readRequest) {
          server
              .getInputStream()
              .readNBytes(bodyBytes); // part of the head, which is longer than that
        }
        server.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        return attempt.outcome.get(20, TimeUnit.SECONDS);
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
      body.release();
    }
  }

  @ParameterizedTest
  @CsvSource({
    "200 OK,CONNECT_FAILED",
    "500 Oh,CONNECT_FAILED",
    "503 Full,CONNECT_FAILED",
    "no HTTP,CONNECT_FAILED"
  })
  void reportsThatRequestDidNotRun(String status, Outcome expected) throws Exception {
    String response =
        status.equals("no HTTP")
            ? "\u0001\u0002 ?\r\n\r\n"
            : "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok";
    assertEquals(expected, outcomeFor(response, 8 << 20, false));
  }

  @Test
  void acceptsRejectionBeforeWholeRequestIsSent() throws Exception {
    assertEquals(
        Outcome.FULL,
        outcomeFor(
            "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", 8 << 20, false));
  }

  @Test
  void acceptsResponseAfterWholeRequestIsSent() throws Exception {
    assertEquals(
        Outcome.OK, outcomeFor("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 16, true));
  }
}
