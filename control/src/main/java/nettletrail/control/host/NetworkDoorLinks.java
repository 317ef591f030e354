package nettletrail.control.host;

import nettletrail.protocol.link.Links;
import org.apache.avro.specific.SpecificRecord;

/** A door's links over sockets. On the event loop of the links. */
public final class NetworkDoorLinks implements DoorHostLinks {
  private final Links links;

  /** The links stay the caller's, who closes them. */
  public NetworkDoorLinks(Links links) {
    this.links = links;
  }

  @Override
  public void dial(String address) {
    links.dial(address);
  }

  @Override
  public void undial(String address) {
    links.stopDialling(address);
  }

  @Override
  public void send(String address, SpecificRecord message) {
    links.send(address, message);
  }

  @Override
  public boolean isUp(String address) {
    return links.isUp(address);
  }
}
