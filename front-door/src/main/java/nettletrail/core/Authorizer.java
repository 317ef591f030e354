package nettletrail.core;

import io.netty.channel.EventLoop;
import java.util.function.Predicate;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * Decides by its credentials whether a request may be processed. Asked before the limiter and the
 * decision module see the request, and again before each retry. A request that waits for the
 * decision holds no quota meanwhile. Used on the event loop only.
 */
public interface Authorizer {
  /** Allows every request. */
  Authorizer NONE = new Authorizer() {};

  /** Creates an authorizer, which starts at once. */
  interface Factory {
    /**
     * @param name the front door's name, unique in the installation
     * @param clock the event loop's clock
     * @throws IllegalArgumentException if the settings are unusable; the message names the key
     */
    Authorizer create(
        String name,
        EventLoop loop,
        EventLoopClock clock,
        GatewaySettingsReader reader,
        Gateway.Settings settings);
  }

  /** The decision on a request. */
  sealed interface Decision {}

  /** The request may proceed. */
  record Allowed() implements Decision {}

  /** The decision follows through {@link AuthorizationCallback}, after this call has returned. */
  record Pending() implements Decision {}

  /**
   * The request is denied; nothing of it was forwarded.
   *
   * @param status HTTP status of the response, 4xx or 503
   * @param challenge value of the {@code WWW-Authenticate} header, "" for none
   * @param message one line for the reader of the response; contains no secrets
   * @param retryAfterNanos delay in ns after which a retry may succeed; 0 if unknown
   */
  record Denial(int status, String challenge, String message, long retryAfterNanos)
      implements Decision {}

  /**
   * Receives the decision on a pending request: exactly once, unless {@link #requestEnded} was
   * called for it.
   */
  interface AuthorizationCallback {
    void allowed();

    void denied(Denial denial);
  }

  /** Receives revocations: requests that may no longer proceed. */
  interface RevocationListener {
    /** Denies the affected requests that have no attempt open. */
    void revoked(Predicate<InboundRequest> affected, Denial denial);
  }

  /**
   * Decides whether a request may proceed.
   *
   * @param id unique among the pending requests
   * @param remainingNanos ns until the request's deadline
   */
  default Decision authorize(
      long id, InboundRequest request, long remainingNanos, AuthorizationCallback callback) {
    return new Allowed();
  }

  /** A pending request has ended in another way: no decision is needed any more. */
  default void requestEnded(long id, InboundRequest request) {}

  /** Called once, before the first {@link #authorize}. */
  default void setRevocationListener(RevocationListener listener) {}

  /** Stops the authorizer. Any thread. */
  default void close() {}
}
