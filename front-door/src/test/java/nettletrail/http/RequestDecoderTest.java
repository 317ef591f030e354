package nettletrail.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Folded lines are detected wherever the network splits the bytes, and only in heads. */
class RequestDecoderTest {
  private static final String HEAD = "GET /a HTTP/1.1\r\nHost: h\r\nX-Lane: look\r\n";

  /** Decodes the bytes in two parts; returns for each head whether decoding failed. */
  private static List<Boolean> decodeFailures(String bytes, int splitAt) {
    EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder());
    List<Boolean> failures = new ArrayList<>();
    try {
      for (String part : List.of(bytes.substring(0, splitAt), bytes.substring(splitAt))) {
        channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
      }
      for (Object read = channel.readInbound(); read != null; read = channel.readInbound()) {
        if (read instanceof HttpRequest head) {
          failures.add(head.decoderResult().isFailure());
        } else {
          assertTrue(((HttpContent) read).decoderResult().isSuccess());
        }
        ReferenceCountUtil.release(read);
      }
    } finally {
      channel.finishAndReleaseAll();
    }
    return failures;
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        HEAD + " folded\r\n\r\n",
        HEAD + "\tfolded\r\n\r\n",
        "GET /a HTTP/1.1\r\n Host: h\r\nX-Lane: look\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nX-Lane:\r\n look\r\n\r\n",
        "GET /a HTTP/1.1\nHost: h\n look\n\n",
        "\r\n GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
      })
  void rejectsLineThatBeginsWithWhiteSpaceForEverySplit(String bytes) {
    for (int splitAt = 0; splitAt <= bytes.length(); splitAt++) {
      assertEquals(List.of(true), decodeFailures(bytes, splitAt), "split at " + splitAt);
    }
  }

  @Test
  void acceptsWhiteSpaceAtLineStartInBody() {
    String body = "\r\n x: y\n\tz\r\n";
    String bytes =
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body
            + "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(body.length())
            + "\r\n"
            + body
            + "\r\n0\r\n\r\n"
            + HEAD
            + "\r\n";
    for (int splitAt = 0; splitAt <= bytes.length(); splitAt++) {
      assertEquals(
          List.of(false, false, false), decodeFailures(bytes, splitAt), "split at " + splitAt);
    }
  }

  @Test
  void rejectsOnlyTheHeadThatContainsFoldedLine() {
    List<Boolean> failures = decodeFailures(HEAD + "\r\n" + HEAD + " folded\r\n\r\n", 0);
    assertEquals(List.of(false, true), failures);
    assertFalse(
        decodeFailures("\r\n\r\n" + HEAD + "\r\n", 0).get(0),
        "empty lines before a head are allowed");
  }
}
