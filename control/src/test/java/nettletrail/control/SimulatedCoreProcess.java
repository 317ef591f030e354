package nettletrail.control;

import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import nettletrail.control.registry.RegistryAction.StoreWithdrawals;

/** One core process of a {@link ControlFleet}. */
final class SimulatedCoreProcess extends SimulatedOwnership {
  private static final long CONFIRMATION_AGE_NANOS = 20 * ControlFleet.MILLIS;

  private final ControlFleet fleet;
  CoreRegistry registry;
  long incarnation;
  boolean running = true;

  /** Outlasts each incarnation. */
  final SimulatedWithdrawalDisk disk = new SimulatedWithdrawalDisk();

  /** Whether a majority confirms the configuration at each tick. */
  boolean confirming;

  SimulatedCoreProcess(String address, ControlFleet fleet, Supplier<Set<String>> coreNames) {
    super(address, fleet::shardOwners, coreNames);
    this.fleet = fleet;
    start();
  }

  /** Starts a new incarnation, which knows what its disk remembers. */
  void start() {
    running = true;
    incarnation = fleet.nextIncarnation();
    registry =
        new CoreRegistry(
            new CoreRegistrySettings(
                address, "zone", incarnation, ControlFleet.HEARTBEAT_MS, fleet.terms()),
            this,
            disk.stored(),
            fleet.now);
    fleet.schedule(fleet.firstTickDelay(), () -> tick(incarnation));
  }

  /** Begins a write; what ends while another incarnation runs is neither stored nor reported. */
  void store(StoreWithdrawals write) {
    long ofIncarnation = incarnation;
    fleet.schedule(
        disk.writeNanos,
        () -> {
          if (running && incarnation == ofIncarnation) {
            boolean durable = disk.write(write);
            fleet.perform(this, registry.withdrawalsStored(write.version(), durable, fleet.now));
          }
        });
  }

  private void tick(long ofIncarnation) {
    if (!running || incarnation != ofIncarnation) {
      return;
    }
    if (confirming) {
      confirmedAt = OptionalLong.of(fleet.now - CONFIRMATION_AGE_NANOS);
    }
    fleet.perform(this, registry.tick(fleet.now));
    fleet.schedule(ControlFleet.TICK_NANOS, () -> tick(ofIncarnation));
  }
}
