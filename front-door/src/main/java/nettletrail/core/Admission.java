package nettletrail.core;

import io.netty.channel.EventLoop;
import java.util.function.Predicate;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * Whether a request may come in at all by what it brings to prove it, asked before the bound and the module hear of it, and
 * again before each further attempt. A request that must wait for the word holds nothing meanwhile. On the event loop only.
 */
public interface Admission {
    /** All may. */
    Admission NONE = new Admission() { };

    /** Makes one; it begins its work at once. */
    interface Maker {
        /**
         * @param name this front door's, unique in the installation
         * @param clock the loop's
         * @throws IllegalArgumentException if it can't with these settings; the message names the key
         */
        Admission make(String name, EventLoop loop, LoopClock clock, GatewaySettingsReader reader,
                Gateway.Settings settings);
    }

    /** What is said of a request. */
    sealed interface Word { }

    /** It may go. */
    record Pass() implements Word { }

    /** One word more follows through {@link Waiting}, not before this call has returned. */
    record Wait() implements Word { }

    /**
     * It may not; nothing of it was sent on.
     *
     * @param status of the answer, 4xx or 503
     * @param challenge value of {@code WWW-Authenticate}, "" for none
     * @param text one line for whoever reads the answer; names no secrets
     * @param retryAfterNs after which trying again may help; 0 for no word
     */
    record Denial(int status, String challenge, String text, long retryAfterNs) implements Word { }

    /** Hears the word on a request that waits: once, unless it was {@link #left}. */
    interface Waiting {
        void admitted();

        void denied(Denial denial);
    }

    /** Hears of requests that may no longer go. */
    interface Withdrawn {
        /** Those that were not sent on yet are to be turned away. */
        void turnAway(Predicate<Arrival> whose, Denial denial);
    }

    /**
     * May it go?
     *
     * @param id unique among those that wait
     * @param leftNs until the request's time is up
     */
    default Word ask(long id, Arrival arrival, long leftNs, Waiting waiting) {
        return new Pass();
    }

    /** A request that waits has ended otherwise. */
    default void left(long id, Arrival arrival) { }

    /** Before the first ask. */
    default void tells(Withdrawn withdrawn) { }

    /** Ends its work; on the event loop or off it. */
    default void close() { }
}
