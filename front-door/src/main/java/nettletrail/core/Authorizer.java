package nettletrail.core;

import io.netty.channel.EventLoop;
import java.util.function.Predicate;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * Whether a request may come in at all by what it brings to prove it, asked before the bound and the module hear of it, and
 * again before each further attempt. A request that must wait for the word holds nothing meanwhile. On the event loop only.
 */
public interface Authorizer {
    /** All may. */
    Authorizer NONE = new Authorizer() { };

    /** Makes one; it begins its work at once. */
    interface Factory {
        /**
         * @param name this front door's, unique in the installation
         * @param clock the loop's
         * @throws IllegalArgumentException if it can't with these settings; the message names the key
         */
        Authorizer create(String name, EventLoop loop, EventLoopClock clock, GatewaySettingsReader reader,
                Gateway.Settings settings);
    }

    /** What is said of a request. */
    sealed interface Decision { }

    /** It may go. */
    record Allowed() implements Decision { }

    /** One word more follows through {@link AuthorizationCallback}, not before this call has returned. */
    record Pending() implements Decision { }

    /**
     * It may not; nothing of it was sent on.
     *
     * @param status of the answer, 4xx or 503
     * @param challenge value of {@code WWW-Authenticate}, "" for none
     * @param message one line for whoever reads the answer; names no secrets
     * @param retryAfterNanos after which trying again may help; 0 for no word
     */
    record Denial(int status, String challenge, String message, long retryAfterNanos) implements Decision { }

    /** Hears the word on a request that waits: once, unless it was {@link #requestEnded}. */
    interface AuthorizationCallback {
        void allowed();

        void denied(Denial denial);
    }

    /** Hears of requests that may no longer go. */
    interface RevocationListener {
        /** Those that were not sent on yet are to be turned away. */
        void revoked(Predicate<InboundRequest> affected, Denial denial);
    }

    /**
     * May it go?
     *
     * @param id unique among those that wait
     * @param remainingNanos until the request's time is up
     */
    default Decision authorize(long id, InboundRequest request, long remainingNanos, AuthorizationCallback callback) {
        return new Allowed();
    }

    /** A request that waits has ended otherwise. */
    default void requestEnded(long id, InboundRequest request) { }

    /** Before the first ask. */
    default void setRevocationListener(RevocationListener listener) { }

    /** Ends its work; on the event loop or off it. */
    default void close() { }
}
