package nettletrail.protocol.link;

import org.apache.avro.specific.SpecificRecord;

/**
 * Receives the events of a process's links. All calls come on the links' event loop, so they must
 * not block. For one key and direction, {@link #up} and {@link #down} alternate.
 */
public interface LinkListener {
  /** A link is up: both hellos have been exchanged, so messages can be sent. */
  void up(Peer peer);

  /** A link that was up is down. Another link to the same key may still be up. */
  void down(Peer peer);

  /** A message arrived on a link that is up; never a hello, a ping or a pong. */
  void received(Peer peer, SpecificRecord body);
}
