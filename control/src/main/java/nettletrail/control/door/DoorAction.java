package nettletrail.control.door;

import java.nio.ByteBuffer;
import org.apache.avro.specific.SpecificRecord;

/** What the caller of the door's control plane has to do, in the order given. */
public sealed interface DoorAction {
  /** Keep a link to this core process, dialling again whenever it is lost, until {@link Undial}. */
  record Dial(String address) implements DoorAction {}

  /** Drop the link to this core process. */
  record Undial(String address) implements DoorAction {}

  /** Send a message to a core process; lost silently when there is no link to it. */
  record SendToCore(String address, SpecificRecord message) implements DoorAction {}

  /**
   * A newer configuration is in force. The document is as it is stored and sent, to be read only.
   */
  record ConfigurationChanged(long sequence, long edition, ByteBuffer document)
      implements DoorAction {}

  /** The backends of a service are other ones, or other in content. */
  record BackendsChanged(String service) implements DoorAction {}
}
