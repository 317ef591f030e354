package nettletrail.fleet;

import java.util.function.LongSupplier;
import org.apache.avro.specific.SpecificRecord;

/**
 * Sends messages on links, and drops those that are valid no more at the moment of sending. A
 * process may be stopped for any time between the decision to send and the sending; what rests on a
 * lease must not leave after its end.
 */
final class ValidMessageSender {
  /** Sends a message to a peer; false if it was dropped. */
  interface Channel {
    boolean send(String peer, SpecificRecord message);
  }

  private final Channel channel;
  private final LongSupplier steadyClock;

  /**
   * A sender.
   *
   * @param steadyClock read anew for each message, in nanoseconds
   */
  ValidMessageSender(Channel channel, LongSupplier steadyClock) {
    this.channel = channel;
    this.steadyClock = steadyClock;
  }

  /** Sends a message unless it is valid no more; validUntil is an instant of the steady clock. */
  void send(String peer, SpecificRecord message, long validUntil) {
    if (steadyClock.getAsLong() < validUntil) {
      channel.send(peer, message);
    }
  }
}
