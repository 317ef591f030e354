package nettletrail.core;

import io.netty.channel.EventLoop;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * A rate limit in addition to the decision module's quotas: it can reject a request before the
 * module sees it, and relaxes none of the module's limits. Called on the event loop only; never
 * blocks and makes no remote call.
 */
public interface RequestLimiter {
  /** Rejects nothing. */
  RequestLimiter NONE = new RequestLimiter() {};

  /** Creates a limiter, which starts at once. */
  interface Factory {
    /**
     * @param name the front door's name, unique in the installation
     * @throws IllegalArgumentException if the settings are unusable; the message names the key
     */
    RequestLimiter create(
        String name, EventLoop loop, GatewaySettingsReader reader, Gateway.Settings settings);
  }

  /** Takes the request's units if the limit allows; false if the request must be rejected. */
  default boolean tryAcquire(InboundRequest request) {
    return true;
  }

  /** For a request just rejected: ns after which a retry may be accepted; 0 if unknown. */
  default long retryAfterNanos(InboundRequest request) {
    return 0;
  }

  /**
   * Returns the units of an accepted request that ended and cannot have reached a backend
   * completely.
   */
  default void release(InboundRequest request) {}

  /** The units that an accepted request actually cost, as reported by the backend. */
  default void unitsCharged(InboundRequest request, double units) {}

  /** Metered use of the request's customer over all front doors, in percent of its plan's rate. */
  default void quotaUsed(InboundRequest request, int usedPercent) {}

  /** Gives access to the other front doors; called before the first request. */
  default void setMembership(Membership membership) {}

  /** Stops the limiter. Any thread. */
  default void close() {}
}
