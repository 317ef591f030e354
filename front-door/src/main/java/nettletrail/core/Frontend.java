package nettletrail.core;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * A further way in for requests, beside the socket front door and in the same process: it takes them on through the
 * same {@link Dispatcher}, so that the rules hold over all fronts together. All but {@link #open} and {@link #close}
 * is called on the event loop.
 */
public interface Frontend {
    /** Makes one; nothing is opened yet. */
    interface Factory {
        Frontend create(EventLoopGroup group, GatewaySettingsReader reader, Gateway.Settings settings);
    }

    /** What attempts of its requests are carried by. */
    AttemptTransport attemptTransport();

    /**
     * Begins to listen. Called off the event loop, before the front door is ready.
     *
     * @throws IOException if an address can't be listened on; the message names the key
     */
    void open(Dispatcher dispatcher) throws IOException;

    /** Takes nothing new from callers that heed it; what is open goes on. */
    void drain();

    /** After {@link #drain}: whether all that was asked is answered. */
    boolean drained();

    /** Ends at once. */
    void close();
}
