package nettletrail.emulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettletrail.emulator.simulation.VirtualTime;
import org.junit.jupiter.api.Test;

/** The ends of faults that {@link FaultInjector} injects. */
class FaultInjectorTest {
  private static final long SEED = 7;

  private final EmulatedFleet fleet = new EmulatedFleet(SEED, FleetOptions.small());

  @Test
  void givenAShutdownInProgress_whenAllFaultsEnd_thenTheProcessRunsAndStaysUp() {
    fleet.startAll();
    fleet.time().runFor(2 * VirtualTime.SECOND);
    CoreMachine core = fleet.cores().get(0);

    fleet.faults().shutDown(core);
    fleet.faults().repairAll();
    fleet.time().runFor(VirtualTime.SECOND);

    assertTrue(core.machine().isUp());
  }

  @Test
  void givenAProcessThatWasKilledDuringItsShutdown_whenAllFaultsEnd_thenItsSuccessorIsNotKilled() {
    fleet.startAll();
    fleet.time().runFor(2 * VirtualTime.SECOND);
    CoreMachine core = fleet.cores().get(0);

    fleet.faults().shutDown(core);
    fleet.faults().restart(core, VirtualTime.MILLISECOND);
    fleet.time().runFor(10 * VirtualTime.MILLISECOND);
    int successor = core.machine().incarnation().number();
    fleet.faults().repairAll();
    fleet.time().runFor(VirtualTime.SECOND);

    assertEquals(successor, core.machine().incarnation().number());
  }
}
