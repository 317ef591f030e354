package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import nettletrail.router.ClientRequestValidator.Invalid;
import org.junit.jupiter.api.Test;

class ClientRequestValidatorTest {
  private static FullHttpRequest request(HttpMethod method, String body) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            method,
            "/once/x",
            Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
    request.headers().set("Host", "a.example");
    return request;
  }

  @Test
  void aCompleteRequestIsValid() {
    assertNull(ClientRequestValidator.validate(request(HttpMethod.POST, "body")));
  }

  @Test
  void aTransferCodingThatIsNotChunkedClosesTheConnection() {
    FullHttpRequest request = request(HttpMethod.POST, "body");
    request.headers().set("Transfer-Encoding", "gzip");
    assertEquals(
        new Invalid(HttpResponseStatus.BAD_REQUEST, true),
        ClientRequestValidator.validate(request));
  }

  @Test
  void aGetWithABodyClosesTheConnection() {
    assertEquals(
        new Invalid(HttpResponseStatus.BAD_REQUEST, true),
        ClientRequestValidator.validate(request(HttpMethod.GET, "body")));
  }

  @Test
  void aDuplicateHeaderIsRejectedOnAnOpenConnection() {
    FullHttpRequest request = request(HttpMethod.POST, "");
    request.headers().add("X-Attempt-Id", "id-1").add("X-Attempt-Id", "id-2");
    assertEquals(
        new Invalid(HttpResponseStatus.BAD_REQUEST, false),
        ClientRequestValidator.validate(request));
  }
}
