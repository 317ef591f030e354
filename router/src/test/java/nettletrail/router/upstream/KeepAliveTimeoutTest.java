package nettletrail.router.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class KeepAliveTimeoutTest {
  private static long nanosOf(String keepAlive) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    if (keepAlive != null) {
      response.headers().set("Keep-Alive", keepAlive);
    }
    return KeepAliveTimeout.nanosOf(response);
  }

  @Test
  void withoutTheHeaderTheDefaultApplies() {
    assertEquals(KeepAliveTimeout.DEFAULT_NANOS, nanosOf(null));
  }

  @ParameterizedTest
  @ValueSource(strings = {"max=100", "timeout=", "timeout=x"})
  void withoutATimeoutTheDefaultApplies(String keepAlive) {
    assertEquals(KeepAliveTimeout.DEFAULT_NANOS, nanosOf(keepAlive));
  }

  @ParameterizedTest
  @CsvSource({"timeout=5, 4700", "'timeout=1, max=10', 700", "timeout=0, -300"})
  void theTimeoutIsReducedByAMargin(String keepAlive, long expectedMs) {
    assertEquals(TimeUnit.MILLISECONDS.toNanos(expectedMs), nanosOf(keepAlive));
  }
}
