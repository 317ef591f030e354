package nettletrail.router;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;
import nettletrail.configuration.Route;
import nettletrail.router.text.DecimalNumber;

/** When a request must be answered. Pure. */
final class RequestDeadline {
  private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

  private RequestDeadline() {}

  /** How long the client waits, ms; -1 if it does not say. */
  static long timeLeftMs(HttpHeaders headers) {
    return DecimalNumber.parse(headers.get(RequestHeaders.TIME_LEFT));
  }

  /**
   * The sooner of the route's timeout and the end of the time that the client waits.
   *
   * @param arrivedAt when its head came, ns
   */
  static long of(Route route, HttpHeaders headers, long arrivedAt) {
    long max = route.timeoutMs();
    long told = timeLeftMs(headers);
    return arrivedAt + (told < 0 ? max : Math.min(max, told)) * NANOS_PER_MS;
  }
}
