package nettletrail.core;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * A further listener for requests, in the same process as the HTTP front door. It accepts requests
 * through the same {@link Dispatcher}, so that limits hold over all frontends together. All but
 * {@link #open} and {@link #close} is called on the event loop.
 */
public interface Frontend {
  /** Creates a frontend without opening it. */
  interface Factory {
    Frontend create(EventLoopGroup group, GatewaySettingsReader reader, Gateway.Settings settings);
  }

  /** The transport of its requests' attempts. */
  AttemptTransport attemptTransport();

  /**
   * Starts listening. Called off the event loop, before the front door is ready.
   *
   * @throws IOException if an address can't be bound; the message names the settings key
   */
  void open(Dispatcher dispatcher) throws IOException;

  /** Asks callers to send nothing new; open requests continue. */
  void drain();

  /** After {@link #drain}: whether every request has been answered. */
  boolean drained();

  /** Closes at once. */
  void close();
}
