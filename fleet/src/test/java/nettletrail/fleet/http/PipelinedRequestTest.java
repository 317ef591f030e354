package nettletrail.fleet.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import nettletrail.fleet.http.RawHttpClient.Response;
import nettletrail.protocol.Backend;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** No request of a pipelined connection gets the response to another one. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PipelinedRequestTest {
  private static final long TIMEOUT_SECONDS = 20;
  private static final int MAX_BODY_BYTES = 1_000;
  private static final String GET = "GET /nettletrail/config HTTP/1.1\r\nHost: core\r\n";
  private static final String PUT = "PUT /nettletrail/config HTTP/1.1\r\nHost: core\r\n";

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final BlockingQueue<Long> received = new LinkedBlockingQueue<>();
  private ControlServer server;
  private InetSocketAddress address;

  @BeforeEach
  void listen() throws Exception {
    ControlSettings settings = new ControlSettings(4, 2048, MAX_BODY_BYTES, 4, 30_000, 30_000);
    server = new ControlServer(loop, settings, new RecordingCalls());
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    address = (InetSocketAddress) server.listen(any).sync().channel().localAddress();
  }

  @AfterEach
  void close() {
    server.close();
    group
        .shutdownGracefully(0, 1, TimeUnit.SECONDS)
        .awaitUninterruptibly(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private final class RecordingCalls implements ControlRequestHandler {
    @Override
    public void backend(long call, String method, Backend backend) {
      received.add(call);
    }

    @Override
    public void configuration(long call, String method, String ifMatch, byte[] body) {
      received.add(call);
    }

    @Override
    public void status(long call, String resource) {
      received.add(call);
    }
  }

  private long nextCall() throws InterruptedException {
    Long call = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(call);
    return call;
  }

  private void answer(long call, String text) throws Exception {
    byte[] json = ("{\"text\":\"" + text + "\"}").getBytes(StandardCharsets.UTF_8);
    loop.submit(() -> server.answer(call, 200, json)).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private static void assertText(String text, Response answer) {
    assertEquals(200, answer.status());
    assertEquals("{\"text\":\"" + text + "\"}", answer.body());
  }

  @Test
  void bodyThatIsTooLargeIsRejectedInItsTurn() throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      int length = MAX_BODY_BYTES + 1;
      client.write(GET + "\r\n" + PUT + "Content-Length: " + length + "\r\n\r\n");
      answer(nextCall(), "first");
      assertText("first", client.read());
      assertEquals(413, client.read().status());
      assertTrue(client.isClosedByServer());
    }
  }

  @Test
  void continueIsNotTheResponseToAnEarlierRequest() throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      client.write(
          GET + "\r\n" + PUT + "Expect: 100-continue\r\nContent-Length: 2\r\nIf-Match: 1\r\n\r\n");
      answer(nextCall(), "first");
      assertText("first", client.read());
      client.write("{}");
      answer(nextCall(), "second");
      assertText("second", client.read());
    }
  }

  @Test
  void rejectedExpectationIsNotTheResponseToAnEarlierRequest() throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      int length = MAX_BODY_BYTES + 1;
      String fields = "Expect: 100-continue\r\nContent-Length: " + length + "\r\n\r\n";
      client.write(GET + "\r\n" + PUT + fields);
      answer(nextCall(), "first");
      assertText("first", client.read());
      assertEquals(413, client.read().status());
      assertTrue(client.isClosedByServer());
    }
  }

  @Test
  void callBehindOneThatClosesItsConnectionIsNotHandled() throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      client.write(GET + "Connection: close\r\n\r\n" + GET + "\r\n");
      answer(nextCall(), "first");
      assertText("first", client.read());
      assertTrue(client.isClosedByServer());
      assertTrue(received.isEmpty());
    }
  }

  @Test
  void lateAnswerToADisconnectedClientIsDropped() throws Exception {
    long late;
    try (RawHttpClient leaving = new RawHttpClient(address)) {
      leaving.write(GET + "\r\n");
      late = nextCall();
    }
    try (RawHttpClient staying = new RawHttpClient(address)) {
      staying.write(GET + "\r\n" + GET + "\r\n");
      long first = nextCall();
      long second = nextCall();
      answer(second, "second");
      answer(late, "late");
      answer(first, "first");
      assertText("first", staying.read());
      assertText("second", staying.read());
    }
  }

  @Test
  void secondAnswerToACallIsDropped() throws Exception {
    try (RawHttpClient client = new RawHttpClient(address)) {
      client.write(GET + "\r\n" + GET + "\r\n");
      long first = nextCall();
      long second = nextCall();
      answer(first, "first");
      answer(first, "again");
      answer(second, "second");
      assertText("first", client.read());
      assertText("second", client.read());
    }
  }
}
