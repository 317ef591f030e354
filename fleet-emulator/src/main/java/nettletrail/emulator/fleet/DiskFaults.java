package nettletrail.emulator.fleet;

import nettletrail.emulator.simulation.SimulatedDisk;
import nettletrail.emulator.simulation.Simulation;

/** Injects faults into the disks of core machines: latency, hangs and lack of space. */
public final class DiskFaults {
  private final Simulation simulation;
  private final StabilityTracker stability;

  DiskFaults(Simulation simulation, StabilityTracker stability) {
    this.simulation = simulation;
    this.stability = stability;
  }

  /**
   * Sets the latency of every call.
   *
   * @param latencyNanos in nanoseconds; {@link SimulatedDisk#DEFAULT_LATENCY} ends the fault
   */
  public void slowDisk(CoreMachine core, long latencyNanos) {
    log("calls to the disk of %s take %d ns", core, latencyNanos);
    stability.setLastingFault(core.machine(), latencyNanos > SimulatedDisk.DEFAULT_LATENCY);
    core.machine().disk().setLatency(latencyNanos);
  }

  /** Calls of a disk hang for a span in nanoseconds. */
  public void hangDisk(CoreMachine core, long spanNanos) {
    log("disk of %s hangs for %d ns", core, spanNanos);
    stability.beginFault(core.machine());
    core.machine().disk().hangUntil(simulation.time().now() + spanNanos);
    simulation.time().after(spanNanos, () -> stability.endFault(core.machine()));
  }

  /** Leaves a disk with so many free bytes; writes beyond them fail. */
  public void fillDisk(CoreMachine core, long freeBytes) {
    log("disk of %s has %d bytes left", core, freeBytes);
    stability.beginFault(core.machine());
    core.machine().disk().setFreeBytes(freeBytes);
  }

  /** Gives a full disk free space again. */
  public void freeDisk(CoreMachine core) {
    log("disk of %s has free space", core);
    stability.endFault(core.machine());
    core.machine().disk().setUnlimited();
  }

  private void log(String format, Object... arguments) {
    simulation.log().add(format, arguments);
  }
}
