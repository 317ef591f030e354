package nettletrail.protocol.link;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a link needs a ping and when its peer is taken for dead. Times are nanoseconds of
 * {@link System#nanoTime}. Lives on the event loop.
 */
final class LinkLiveness {

  /** What a check asks for. */
  enum Action {
    /** Nothing is due. */
    NONE,
    /** Nothing was sent for a while, so the peer needs a ping. */
    PING,
    /** Nothing was received for the idle timeout. */
    CLOSE
  }

  private final long pingNanos;
  private final long idleTimeoutNanos;
  private long lastSentAt;
  private long lastReceivedAt;

  LinkLiveness(LinkSettings settings) {
    this.pingNanos = TimeUnit.MILLISECONDS.toNanos(settings.pingMillis());
    this.idleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(settings.idleTimeoutMillis());
  }

  /** A message was written. */
  void onSent(long now) {
    lastSentAt = now;
  }

  /** The connection is open, or a message was received. */
  void onReceived(long now) {
    lastReceivedAt = now;
  }

  /** Counts the idle timeout from now: this process itself did not run for a while. */
  void restartIdleTimeout(long now) {
    lastReceivedAt = now;
  }

  /** What is due now. */
  Action check(long now) {
    if (now - lastReceivedAt > idleTimeoutNanos) {
      return Action.CLOSE;
    }
    return now - lastSentAt >= pingNanos ? Action.PING : Action.NONE;
  }
}
