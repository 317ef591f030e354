package nettletrail.router;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;
import nettletrail.configuration.Route;
import nettletrail.router.text.DecimalNumber;

/** The deadline of a request. Pure. */
final class RequestDeadline {
  private static final long NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

  private RequestDeadline() {}

  /** How long the client waits, in ms; -1 if it doesn't state it. */
  static long timeLeftMs(HttpHeaders headers) {
    return DecimalNumber.parse(headers.get(RequestHeaders.TIME_LEFT));
  }

  /**
   * The earlier of the route's timeout and the end of the client's time left, in ns.
   *
   * @param arrivedAt when the request's head was decoded, ns
   */
  static long of(Route route, HttpHeaders headers, long arrivedAt) {
    long max = route.timeoutMs();
    long timeLeft = timeLeftMs(headers);
    return arrivedAt + (timeLeft < 0 ? max : Math.min(max, timeLeft)) * NANOS_PER_MS;
  }
}
