package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Which limit on heads holds for which request, at each place where a change may fall. */
class HeaderLimitHandlerTest {
  private static final int SMALL = 1_000;
  private static final int LARGE = 4_000;
  private static final String BODY = "0123456789";

  private final AtomicInteger limit = new AtomicInteger();
  private EmbeddedChannel channel = new EmbeddedChannel();

  @AfterEach
  void releaseChannel() {
    channel.finishAndReleaseAll();
  }

  private void open(int headerBytes) {
    limit.set(headerBytes);
    channel.finishAndReleaseAll();
    HeaderLimitHandler handler = new HeaderLimitHandler(limit::get);
    channel = new EmbeddedChannel(handler, handler.decoder());
  }

  private static String request(int valueBytes) {
    return "POST /x HTTP/1.1\r\nHost: a\r\nX-Filler: "
        + "f".repeat(valueBytes)
        + "\r\nContent-Length: "
        + BODY.length()
        + "\r\n\r\n"
        + BODY;
  }

  private void read(String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
  }

  /** Of each head that was decoded since the last call, whether it is valid. */
  private List<Boolean> valid() {
    List<Boolean> valid = new ArrayList<>();
    for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
      if (message instanceof HttpRequest head) {
        valid.add(head.decoderResult().isSuccess());
      }
      ReferenceCountUtil.release(message);
    }
    return valid;
  }

  @Test
  void largerLimitHoldsForTheNextRequest() {
    open(SMALL);
    read(request(10));
    limit.set(LARGE);
    read(request(2_000));
    assertEquals(List.of(true, true), valid());
  }

  @Test
  void smallerLimitHoldsForTheNextRequest() {
    open(LARGE);
    read(request(2_000));
    limit.set(SMALL);
    read(request(2_000));
    assertEquals(List.of(true, false), valid());
  }

  @Test
  void requestKeepsTheLimitOfItsFirstByteWhereverItIsSplit() {
    String bytes = request(2_000);
    for (int split = 1; split < bytes.length(); split++) {
      open(LARGE);
      read(request(10));
      read(bytes.substring(0, split));
      limit.set(SMALL);
      read(bytes.substring(split));
      assertEquals(List.of(true, true), valid(), "split after " + split);
      read(bytes);
      assertEquals(List.of(false), valid(), "split after " + split);
    }
  }

  @Test
  void pipelinedHeadKeepsTheLimitOfItsFirstByte() {
    String bytes = request(2_000);
    open(SMALL);
    read(request(10) + bytes.substring(0, 5));
    limit.set(LARGE);
    read(bytes.substring(5));
    assertEquals(List.of(true, false), valid());
  }

  @Test
  void bytesReceivedAreReportedByTheDecoderOfTheMoment() {
    open(SMALL);
    read(request(10));
    HeaderLimitHandler handler = channel.pipeline().get(HeaderLimitHandler.class);
    assertTrue(handler.decoder().pollBytesReceived());
    limit.set(LARGE);
    read("P");
    assertTrue(handler.decoder().pollBytesReceived());
    assertFalse(handler.decoder().pollBytesReceived());
  }
}
