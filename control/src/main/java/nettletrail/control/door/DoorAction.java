package nettletrail.control.door;

import java.nio.ByteBuffer;
import org.apache.avro.specific.SpecificRecord;

/** What the caller of {@link DoorControl} has to do, in the order of the returned list. */
public sealed interface DoorAction {
  /** Keep a link to this core process, and redial whenever it is lost, until {@link Undial}. */
  record Dial(String address) implements DoorAction {}

  /** Close the link to this core process. */
  record Undial(String address) implements DoorAction {}

  /** Send a message to a core process; dropped when the link to it is down. */
  record SendToCore(String address, SpecificRecord message) implements DoorAction {}

  /**
   * A newer configuration is active.
   *
   * @param sequence the version of the configuration shard that committed it
   * @param edition the operator's number
   * @param document as it is stored and sent, compressed; read only
   */
  record ConfigurationChanged(long sequence, long edition, ByteBuffer document)
      implements DoorAction {}

  /** The backends of a service changed, in number or in content. */
  record BackendsChanged(String service) implements DoorAction {}
}
