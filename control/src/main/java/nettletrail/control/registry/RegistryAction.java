package nettletrail.control.registry;

import java.util.List;
import nettletrail.protocol.Backend;
import org.apache.avro.specific.SpecificRecord;

/** What the caller of the core's registry has to do, in the order of the list. */
public sealed interface RegistryAction {
  /** Send a message to another core process; dropped silently when there is no link to it. */
  record SendToCore(String address, SpecificRecord message) implements RegistryAction {}

  /** Send a message to a door; dropped silently when there is no link to it. */
  record SendToDoor(String door, SpecificRecord message) implements RegistryAction {}

  /**
   * Make these withdrawn backends durable in place of those stored before, then call {@link
   * nettletrail.control.CoreRegistry#withdrawalsStored}. One write is in flight at a time.
   */
  record StoreWithdrawals(long version, List<Backend> withdrawals) implements RegistryAction {}

  /** Answer a backend's call with this HTTP status. */
  record AnswerBackend(long call, int status) implements RegistryAction {}
}
