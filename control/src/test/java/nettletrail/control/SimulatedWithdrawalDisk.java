package nettletrail.control;

import java.util.List;
import nettletrail.control.registry.RegistryAction.StoreWithdrawals;
import nettletrail.protocol.Backend;

/** The disk of one core process of a {@link ControlFleet}; it outlasts the process. */
final class SimulatedWithdrawalDisk {
  /** How long a write takes, in nanoseconds. */
  long writeNanos = 5 * ControlFleet.MILLIS;

  /** Whether it refuses every write, as a full disk does. */
  boolean full;

  private List<Backend> stored = List.of();

  /** A write ends now; returns whether it is durable. */
  boolean write(StoreWithdrawals write) {
    if (!full) {
      stored = write.withdrawals();
    }
    return !full;
  }

  List<Backend> stored() {
    return stored;
  }

  /** The disk is lost and replaced by an empty one. */
  void wipe() {
    stored = List.of();
  }
}
