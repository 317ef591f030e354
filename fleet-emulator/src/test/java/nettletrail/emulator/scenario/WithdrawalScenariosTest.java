package nettletrail.emulator.scenario;

import static nettletrail.emulator.scenario.Scenario.MILLISECOND;
import static nettletrail.emulator.scenario.Scenario.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.fleet.CoreMachine;
import nettletrail.emulator.fleet.DoorMachine;
import nettletrail.protocol.BackendState;
import org.junit.jupiter.api.Test;

/**
 * Guards against a backend that gets requests again after its end was acknowledged: all processes
 * are lost, with or without one disk, and a heartbeat from before the end is late.
 */
class WithdrawalScenariosTest {
  private static final long BACK_AFTER = 700 * MILLISECOND;
  private static final long LATE = 3 * SECOND;

  /** Before the draining backend deregisters. */
  private static final long EARLY = 600 * MILLISECOND;

  private final Scenario scenario = Scenario.givenFleet(31, 3, 2);

  @Test
  void allProcessesAreKilledAfterADeregistration() {
    BackendActor backend = deregisteredBackend();
    killAll();
    assertNeverReadyAgain(backend, LATE);
  }

  @Test
  void allProcessesAreKilledWhileABackendIsDraining() {
    BackendActor backend = drainingBackend();
    killAll();
    assertNeverReadyAgain(backend, EARLY);
  }

  @Test
  void allMachinesLosePower() {
    BackendActor backend = deregisteredBackend();
    losePowerOfAll();
    assertNeverReadyAgain(backend, LATE);
  }

  @Test
  void oneDiskIsLostAndAllOtherMachinesLosePower() {
    for (int lost = 0; lost < scenario.fleet().cores().size(); lost++) {
      BackendActor backend = deregisteredBackend();
      CoreMachine wiped = scenario.fleet().cores().get(lost);
      losePowerOfAll();
      scenario.faults().wipe(wiped);
      assertNeverReadyAgain(backend, LATE);
    }
  }

  private void killAll() {
    scenario.coreMachines().forEach(scenario.faults()::kill);
    scenario.doorMachines().forEach(scenario.faults()::kill);
  }

  private void losePowerOfAll() {
    scenario.coreMachines().forEach(scenario.faults()::losePower);
    scenario.doorMachines().forEach(scenario.faults()::losePower);
  }

  /** Returns as soon as the deregistration is acknowledged. */
  private BackendActor deregisteredBackend() {
    BackendActor backend = drainingBackend();
    assertTrue(scenario.waitFor(() -> backend.stage() == BackendActor.Stage.ENDED));
    return backend;
  }

  /** Returns as soon as the closing is acknowledged; the backend serves on for some seconds. */
  private BackendActor drainingBackend() {
    BackendActor backend = scenario.fleet().addBackend();
    scenario.pass(2 * SECOND);
    assertTrue(scenario.lists(scenario.door(0), backend, BackendState.READY));
    backend.close();
    assertTrue(scenario.waitFor(backend::isEndAcknowledged));
    return backend;
  }

  private void assertNeverReadyAgain(BackendActor backend, long lateBy) {
    scenario.pass(BACK_AFTER);
    scenario.fleet().cores().forEach(scenario.faults()::start);
    scenario.fleet().doors().forEach(scenario.faults()::start);
    scenario.pass(lateBy);
    for (CoreMachine core : scenario.fleet().cores()) {
      backend.repeatFirstHeartbeat(core.process().controlAddress());
    }
    for (int step = 0; step < 40; step++) {
      scenario.pass(100 * MILLISECOND);
      for (DoorMachine door : scenario.fleet().doors()) {
        assertFalse(scenario.lists(door, backend, BackendState.READY), door + " step " + step);
      }
    }
    assertEquals(List.of(), scenario.violations());
  }
}
