package nettletrail.protocol.link;

import org.apache.avro.specific.SpecificRecord;

/** Told what happens on the links; all calls come on the links' event loop. */
public interface LinkListener {
  /** A link is up: both hellos have been exchanged, so messages can be sent. */
  void up(Peer peer);

  /** A link that was up is down. Another link to the same key may still be up. */
  void down(Peer peer);

  /** A message came; never a hello, a ping or a pong. */
  void received(Peer peer, SpecificRecord body);
}
