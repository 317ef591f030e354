package nettletrail.control.host;

import java.util.List;
import nettletrail.protocol.Member;
import org.apache.avro.specific.SpecificRecord;

/** The links of a core process. A message to a peer without a link is lost silently. */
public interface CoreHostLinks {
  /**
   * Sends a message to another core process.
   *
   * @param address the peer's address as it is dialled
   * @param validUntil instant of the steady clock, in nanoseconds, from which on the message must
   *     not leave; {@link nettletrail.control.shard.CoreAction#ALWAYS} for no such instant
   */
  void sendToCore(String address, SpecificRecord message, long validUntil);

  /**
   * Sends a message to a door.
   *
   * @param door the key of the door's link
   */
  void sendToDoor(String door, SpecificRecord message);

  /** Whether any link with this peer is up. */
  boolean isUp(String peer);

  /** A link with the core process at this address is up; the registry is notified afterwards. */
  void coreLinkUp(String address);

  /**
   * Dials members without a link. Called after every tick.
   *
   * @param members the core processes, this one included; empty while they are unknown
   */
  void followMembers(List<Member> members);
}
