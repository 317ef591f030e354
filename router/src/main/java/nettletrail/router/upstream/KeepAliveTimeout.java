package nettletrail.router.upstream;

import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import nettletrail.router.text.DecimalNumber;

/** How long a connection may be idle before its next request, from {@code Keep-Alive}; in ns. */
final class KeepAliveTimeout {
  /** For backends that don't send {@code Keep-Alive: timeout=...}. */
  static final long DEFAULT_NANOS = TimeUnit.SECONDS.toNanos(4);

  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final String TIMEOUT = "timeout=";

  /**
   * Subtracted from the backend's timeout: a request that races with its close fails, and may have
   * run.
   */
  private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private KeepAliveTimeout() {}

  /** The timeout that a response states, less a margin; 0 or less if it must not be reused. */
  static long nanosOf(HttpResponse response) {
    String keepAlive = response.headers().get(KEEP_ALIVE);
    if (keepAlive == null) {
      return DEFAULT_NANOS;
    }
    int start = keepAlive.indexOf(TIMEOUT);
    long seconds =
        start < 0
            ? DecimalNumber.NONE
            : DecimalNumber.parseLeading(keepAlive, start + TIMEOUT.length());
    return seconds < 0 ? DEFAULT_NANOS : TimeUnit.SECONDS.toNanos(seconds) - MARGIN_NANOS;
  }
}
