package nettletrail.protocol.link;

import nettletrail.protocol.Hello;
import org.apache.avro.specific.SpecificRecord;

/**
 * The handshake of one connection: each side sends its hello first, and checks that the other's
 * first message is a hello of the same protocol version.
 */
final class HelloHandshake {
  private final Hello ownHello;

  /** The dialled address, or null for an accepted connection. */
  private final String dialledAddress;

  HelloHandshake(Hello ownHello, String dialledAddress) {
    this.ownHello = ownHello;
    this.dialledAddress = dialledAddress;
  }

  /**
   * Checks the first message of the other side.
   *
   * @param sender names the other side in the error
   * @return the peer that the hello describes
   * @throws ProtocolException with step HELLO if it is no hello, or one of another version
   */
  Peer accept(SpecificRecord firstMessage, String sender) throws ProtocolException {
    if (!(firstMessage instanceof Hello hello)) {
      throw new ProtocolException(
          LinkStep.HELLO, sender, "the first message is a " + firstMessage.getSchema().getName());
    }
    if (hello.getVersion() != ownHello.getVersion()) {
      throw new ProtocolException(
          LinkStep.HELLO,
          sender,
          "protocol version "
              + hello.getVersion()
              + ", this process speaks "
              + ownHello.getVersion());
    }
    return new Peer(keyOf(hello), hello.getRole(), dialledAddress != null, hello);
  }

  /** A door has no address that it could be dialled at, so its node name identifies it. */
  private String keyOf(Hello hello) {
    if (dialledAddress != null) {
      return dialledAddress;
    }
    return HelloMessages.isOfDoor(hello) ? hello.getNode() : hello.getAddress();
  }
}
