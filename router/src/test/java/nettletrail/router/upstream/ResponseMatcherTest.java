package nettletrail.router.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import nettletrail.router.upstream.ResponseMatcher.Match;
import nettletrail.upstream.HeadBytes;
import org.junit.jupiter.api.Test;

class ResponseMatcherTest {
  private static final boolean NEW = false;
  private static final boolean REUSED = true;

  private final ResponseMatcher matcher = new ResponseMatcher();

  /** An attempt of which only the id matters. */
  private record IdOnlyAttempt(String attemptId) implements Attempt {
    @Override
    public boolean confirmSend() {
      return true;
    }

    @Override
    public HeadBytes head() {
      throw new UnsupportedOperationException();
    }

    @Override
    public ByteBuf body() {
      return Unpooled.EMPTY_BUFFER;
    }

    @Override
    public boolean isHeadRequest() {
      return false;
    }

    @Override
    public void responseStarted(HttpResponse head) {}

    @Override
    public void responseContent(ByteBuf content) {}

    @Override
    public void responseReadComplete() {}

    @Override
    public void responseEnded() {}

    @Override
    public void failed(AttemptFailure failure) {}
  }

  private static HttpResponse response(HttpResponseStatus status, String attemptId) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set("Content-Length", 0);
    if (attemptId != null) {
      response.headers().set("X-Attempt-Id", attemptId);
    }
    return response;
  }

  private Match start(HttpResponseStatus status, String echoedId, boolean reused) {
    return matcher.responseStarted(response(status, echoedId), new IdOnlyAttempt("id-1"), reused);
  }

  @Test
  void aResponseWithTheIdIsTheCurrentOne() {
    assertEquals(Match.CURRENT, start(HttpResponseStatus.OK, "id-1", REUSED));
    assertTrue(matcher.isInResponse());
    assertTrue(matcher.matchesContent(LastHttpContent.EMPTY_LAST_CONTENT));
    matcher.responseEnded();
    assertFalse(matcher.isInResponse());
  }

  @Test
  void aRequestWithoutAnIdAcceptsAnyResponse() {
    HttpResponse response = response(HttpResponseStatus.OK, "other");
    assertEquals(Match.CURRENT, matcher.responseStarted(response, new IdOnlyAttempt(null), REUSED));
  }

  @Test
  void aResponseWithoutAnIdIsTheCurrentOneOnlyOnANewConnection() {
    assertEquals(Match.CURRENT, start(HttpResponseStatus.OK, null, NEW));
    assertEquals(Match.INVALID, start(HttpResponseStatus.OK, null, REUSED));
  }

  @Test
  void aResponseWithAnotherIdIsInvalidOnANewConnection() {
    assertEquals(Match.INVALID, start(HttpResponseStatus.OK, "other", NEW));
  }

  @Test
  void oneResponseToAnEarlierRequestIsSkipped() {
    assertEquals(Match.SKIPPED, start(HttpResponseStatus.OK, "other", REUSED));
    assertFalse(matcher.matchesContent(LastHttpContent.EMPTY_LAST_CONTENT));
    assertFalse(matcher.isInResponse());
    assertTrue(matcher.hasSkipped());
    assertEquals(Match.CURRENT, start(HttpResponseStatus.OK, "id-1", REUSED));
    assertTrue(matcher.matchesContent(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  @Test
  void aSecondResponseToAnEarlierRequestIsInvalid() {
    start(HttpResponseStatus.OK, "other", REUSED);
    matcher.matchesContent(LastHttpContent.EMPTY_LAST_CONTENT);
    assertEquals(Match.INVALID, start(HttpResponseStatus.OK, "another", REUSED));
  }

  @Test
  void anInterimResponseIsSkippedWithoutAnId() {
    assertEquals(Match.SKIPPED, start(HttpResponseStatus.CONTINUE, null, REUSED));
    assertFalse(matcher.matchesContent(LastHttpContent.EMPTY_LAST_CONTENT));
    assertFalse(matcher.isInResponse());
    assertFalse(matcher.hasSkipped());
  }

  @Test
  void aSwitchOfTheProtocolIsInvalid() {
    assertEquals(Match.INVALID, start(HttpResponseStatus.SWITCHING_PROTOCOLS, "id-1", NEW));
  }
}
