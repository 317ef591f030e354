package nettletrail.protocol.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LinkLivenessTest {
  private static final LinkSettings SETTINGS = LinkSettings.defaults();
  private static final long PING = TimeUnit.MILLISECONDS.toNanos(SETTINGS.pingMillis());
  private static final long IDLE_TIMEOUT =
      TimeUnit.MILLISECONDS.toNanos(SETTINGS.idleTimeoutMillis());

  /** Readings of the clock may be negative, so nothing may compare them with 0. */
  private static final long START = -IDLE_TIMEOUT;

  private final LinkLiveness liveness = new LinkLiveness(SETTINGS);

  @Test
  void pingIsDueOnceNothingWasSentForThePingInterval() {
    liveness.onReceived(START);
    liveness.onSent(START);
    assertEquals(LinkLiveness.Action.NONE, liveness.check(START + PING - 1));
    assertEquals(LinkLiveness.Action.PING, liveness.check(START + PING));
    liveness.onSent(START + PING);
    assertEquals(LinkLiveness.Action.NONE, liveness.check(START + PING));
  }

  @Test
  void linkIsClosedOnceNothingWasReceivedForLongerThanTheIdleTimeout() {
    liveness.onReceived(START);
    liveness.onSent(START + IDLE_TIMEOUT);
    assertEquals(LinkLiveness.Action.NONE, liveness.check(START + IDLE_TIMEOUT));
    assertEquals(LinkLiveness.Action.CLOSE, liveness.check(START + IDLE_TIMEOUT + 1));
  }

  @Test
  void restartedIdleTimeoutCountsFromThere() {
    liveness.onReceived(START);
    liveness.onSent(START + IDLE_TIMEOUT);
    liveness.restartIdleTimeout(START + 1);
    assertEquals(LinkLiveness.Action.NONE, liveness.check(START + IDLE_TIMEOUT + 1));
  }
}
