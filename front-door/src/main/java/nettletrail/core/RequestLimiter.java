package nettletrail.core;

import io.netty.channel.EventLoop;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * A bound on what may be let in beside those that the module holds: it can turn a request away before the module hears of
 * it, and loosens nothing. Called on the event loop only; answers at once, without a call to anyone.
 */
public interface RequestLimiter {
    /** Turns nobody away. */
    RequestLimiter NONE = new RequestLimiter() { };

    /** Makes one; it begins its work at once. */
    interface Factory {
        /**
         * @param name this front door's, unique in the installation
         * @throws IllegalArgumentException if it can't with these settings; the message names the key
         */
        RequestLimiter create(String name, EventLoop loop, GatewaySettingsReader reader, Gateway.Settings settings);
    }

    /** Whether the request may be let in; if so its units are taken. */
    default boolean tryAcquire(InboundRequest request) {
        return true;
    }

    /** For a request just turned away: ns after which one like it may be let in; 0 for no word. */
    default long retryAfterNanos(InboundRequest request) {
        return 0;
    }

    /** A request that was let in has ended, and nothing of it can have come whole to a backend. */
    default void release(InboundRequest request) { }

    /** The true units of one that was let in. */
    default void unitsCharged(InboundRequest request, double units) { }

    /** The meter's word for the request's customer, in percent of its plan's rate, over all front doors. */
    default void quotaUsed(InboundRequest request, int usedPercent) { }

    /** Which other front doors there are, before the first request. */
    default void setMembership(Membership membership) { }

    /** Ends its work; on the event loop or off it. */
    default void close() { }
}
