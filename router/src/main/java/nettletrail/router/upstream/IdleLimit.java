package nettletrail.router.upstream;

import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import nettletrail.router.text.DecimalNumber;

/** For how long a connection may stand idle before its next request. Pure; times are in ns. */
final class IdleLimit {
  /** For how long a connection is used whose backend does not say when it closes idle ones. */
  static final long DEFAULT_NANOS = TimeUnit.SECONDS.toNanos(4);

  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final String TIMEOUT = "timeout=";

  /**
   * Sooner than the backend by that: a request that crosses its close is lost, and may have run.
   */
  private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private IdleLimit() {}

  /** What an answer tells of its connection, less a margin. */
  static long of(HttpResponse answer) {
    String told = answer.headers().get(KEEP_ALIVE);
    if (told == null) {
      return DEFAULT_NANOS;
    }
    int at = told.indexOf(TIMEOUT);
    long seconds = at < 0 ? -1 : DecimalNumber.parseLeading(told, at + TIMEOUT.length());
    return seconds < 0 ? DEFAULT_NANOS : TimeUnit.SECONDS.toNanos(seconds) - MARGIN_NANOS;
  }
}
