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
import nettletrail.fleet.http.HttpCaller.Answer;
import nettletrail.protocol.Backend;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** No call of the control interface gets the answer to another one. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class CallOrderTest {
  private static final long PATIENCE_SECONDS = 20;
  private static final int MAX_BODY_BYTES = 1_000;
  private static final String GET = "GET /nettletrail/config HTTP/1.1\r\nHost: core\r\n";
  private static final String PUT = "PUT /nettletrail/config HTTP/1.1\r\nHost: core\r\n";

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final BlockingQueue<Long> taken = new LinkedBlockingQueue<>();
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
        .awaitUninterruptibly(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }

  private final class RecordingCalls implements ControlCalls {
    @Override
    public void backend(long call, String method, Backend backend) {
      taken.add(call);
    }

    @Override
    public void configuration(long call, String method, String ifMatch, byte[] body) {
      taken.add(call);
    }

    @Override
    public void status(long call, String resource) {
      taken.add(call);
    }
  }

  private long take() throws InterruptedException {
    Long call = taken.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    assertNotNull(call);
    return call;
  }

  private void answer(long call, String text) throws Exception {
    byte[] json = ("{\"text\":\"" + text + "\"}").getBytes(StandardCharsets.UTF_8);
    loop.submit(() -> server.answer(call, 200, json)).get(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }

  private static void assertText(String text, Answer answer) {
    assertEquals(200, answer.status());
    assertEquals("{\"text\":\"" + text + "\"}", answer.body());
  }

  @Test
  void bodyThatIsTooLargeIsRefusedInItsTurn() throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      int length = MAX_BODY_BYTES + 1;
      caller.write(GET + "\r\n" + PUT + "Content-Length: " + length + "\r\n\r\n");
      answer(take(), "first");
      assertText("first", caller.read());
      assertEquals(413, caller.read().status());
      assertTrue(caller.isClosedByServer());
    }
  }

  @Test
  void continueIsNotTheAnswerToAnEarlierCall() throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      caller.write(
          GET + "\r\n" + PUT + "Expect: 100-continue\r\nContent-Length: 2\r\nIf-Match: 1\r\n\r\n");
      answer(take(), "first");
      assertText("first", caller.read());
      caller.write("{}");
      answer(take(), "second");
      assertText("second", caller.read());
    }
  }

  @Test
  void refusedExpectationIsNotTheAnswerToAnEarlierCall() throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      int length = MAX_BODY_BYTES + 1;
      String fields = "Expect: 100-continue\r\nContent-Length: " + length + "\r\n\r\n";
      caller.write(GET + "\r\n" + PUT + fields);
      answer(take(), "first");
      assertText("first", caller.read());
      assertEquals(413, caller.read().status());
      assertTrue(caller.isClosedByServer());
    }
  }

  @Test
  void callBehindOneThatEndsItsConnectionIsNotTaken() throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      caller.write(GET + "Connection: close\r\n\r\n" + GET + "\r\n");
      answer(take(), "first");
      assertText("first", caller.read());
      assertTrue(caller.isClosedByServer());
      assertTrue(taken.isEmpty());
    }
  }

  @Test
  void lateAnswerToACallerThatLeftIsNobodys() throws Exception {
    long late;
    try (HttpCaller leaving = new HttpCaller(address)) {
      leaving.write(GET + "\r\n");
      late = take();
    }
    try (HttpCaller staying = new HttpCaller(address)) {
      staying.write(GET + "\r\n" + GET + "\r\n");
      long first = take();
      long second = take();
      answer(second, "second");
      answer(late, "late");
      answer(first, "first");
      assertText("first", staying.read());
      assertText("second", staying.read());
    }
  }

  @Test
  void secondAnswerToACallIsNotTheNextCalls() throws Exception {
    try (HttpCaller caller = new HttpCaller(address)) {
      caller.write(GET + "\r\n" + GET + "\r\n");
      long first = take();
      long second = take();
      answer(first, "first");
      answer(first, "again");
      answer(second, "second");
      assertText("first", caller.read());
      assertText("second", caller.read());
    }
  }
}
