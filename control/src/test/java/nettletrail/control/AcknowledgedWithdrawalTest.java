package nettletrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import org.junit.jupiter.api.Test;

/**
 * Guards against a backend that gets requests again although its end was acknowledged: all
 * processes that knew of the end are lost, and a heartbeat from before it arrives late.
 */
class AcknowledgedWithdrawalTest {
  private static final int CORES = 3;
  private static final int DOORS = 2;
  private static final long LAST_HEARTBEAT = 4;
  private static final long WITHDRAWAL = 5;
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private ControlFleet fleet = new ControlFleet(CORES, DOORS, 1);

  @Test
  void deregistrationIsKeptWhenAllProcessesAreKilledAndAHeartbeatIsLate() {
    registered();
    assertAcknowledged(fleet.call(0, "DELETE", backend(BackendState.READY, WITHDRAWAL)));
    killAllAndRestart();
    assertOnEachDoor(Map.of(), "before the late heartbeat");
    lateHeartbeatAtEachCoreProcess();
    assertOnEachDoor(Map.of(), "after the late heartbeat");
  }

  @Test
  void drainingIsKeptWhenAllProcessesAreKilledAndAHeartbeatIsLate() {
    registered();
    assertAcknowledged(fleet.call(0, "PUT", backend(BackendState.CLOSING, WITHDRAWAL)));
    killAllAndRestart();
    lateHeartbeatAtEachCoreProcess();
    assertOnEachDoor(Map.of("b", BackendState.CLOSING), "after the late heartbeat");
  }

  @Test
  void withdrawalIsKeptWhenAllProcessesAreKilledAndAnyOneDiskIsLost() {
    for (int lost = 0; lost < CORES; lost++) {
      fleet = new ControlFleet(CORES, DOORS, lost);
      registered();
      assertAcknowledged(fleet.call(1, "DELETE", backend(BackendState.READY, WITHDRAWAL)));
      fleet.core(lost).disk.wipe();
      killAllAndRestart();
      lateHeartbeatAtEachCoreProcess();
      assertOnEachDoor(Map.of(), "without the disk of core-" + lost);
    }
  }

  @Test
  void withdrawalIsKeptWhenTheProcessesAreKilledAgainAndAgain() {
    registered();
    assertAcknowledged(fleet.call(0, "DELETE", backend(BackendState.READY, WITHDRAWAL)));
    for (int lost = 0; lost < CORES; lost++) {
      fleet.core(lost).disk.wipe();
      killAllAndRestart();
    }
    lateHeartbeatAtEachCoreProcess();
    assertOnEachDoor(Map.of(), "each disk was lost once, with time to catch up between");
  }

  @Test
  void withdrawalIsAcknowledgedOnlyOnceAMajorityHasItOnDisk() {
    registered();
    fleet.core(0).disk.full = true;
    fleet.core(1).disk.writeNanos = 200 * ControlFleet.MILLIS;
    fleet.core(2).disk.writeNanos = 300 * ControlFleet.MILLIS;
    long call = fleet.call(0, "PUT", backend(BackendState.CLOSING, WITHDRAWAL));
    fleet.run(290);
    assertOnEachDoor(Map.of("b", BackendState.CLOSING), "at once");
    assertNull(fleet.answers.get(call));
    fleet.run(150);
    assertEquals(OK, fleet.answers.get(call));
  }

  @Test
  void withdrawalIsRejectedWhileTwoOfThreeDisksAreFullAndAcknowledgedAfterwards() {
    registered();
    fleet.core(0).disk.full = true;
    fleet.core(2).disk.full = true;
    long rejected = fleet.call(0, "DELETE", backend(BackendState.READY, WITHDRAWAL));
    fleet.run(900);
    assertEquals(UNAVAILABLE, fleet.answers.get(rejected));
    fleet.core(2).disk.full = false;
    fleet.run(2_000);
    assertAcknowledged(fleet.call(1, "DELETE", backend(BackendState.READY, WITHDRAWAL)));
    killAllAndRestart();
    lateHeartbeatAtEachCoreProcess();
    assertOnEachDoor(Map.of(), "after the late heartbeat");
  }

  @Test
  void drainingBackendThatStaysIsReadyAgainAfterALossOfAllProcesses() {
    registered();
    assertAcknowledged(fleet.call(0, "PUT", backend(BackendState.CLOSING, WITHDRAWAL)));
    fleet.call(1, "PUT", backend(BackendState.READY, WITHDRAWAL + 1));
    fleet.run(50);
    killAllAndRestart();
    fleet.call(2, "PUT", backend(BackendState.READY, WITHDRAWAL + 2));
    fleet.run(200);
    assertOnEachDoor(Map.of("b", BackendState.READY), "after its next heartbeat");
  }

  private void registered() {
    fleet.run(1_000);
    fleet.call(0, "PUT", backend(BackendState.READY, LAST_HEARTBEAT));
    fleet.run(200);
    assertOnEachDoor(Map.of("b", BackendState.READY), "before the end");
  }

  private void assertAcknowledged(long call) {
    fleet.run(50);
    assertEquals(OK, fleet.answers.get(call));
  }

  private void killAllAndRestart() {
    processes().forEach(fleet::kill);
    fleet.run(700);
    processes().forEach(fleet::restart);
    fleet.run(1_000);
  }

  private static List<String> processes() {
    return List.of("core-0", "core-1", "core-2", "door-0", "door-1");
  }

  private void lateHeartbeatAtEachCoreProcess() {
    for (int core = 0; core < CORES; core++) {
      fleet.call(core, "PUT", backend(BackendState.READY, LAST_HEARTBEAT));
    }
    fleet.run(500);
  }

  private void assertOnEachDoor(Map<String, BackendState> expected, String when) {
    for (int door = 0; door < DOORS; door++) {
      Map<String, BackendState> listed = new TreeMap<>();
      for (Backend backend : fleet.door(door).control.backends("lm")) {
        listed.put(backend.getId(), backend.getState());
      }
      assertEquals(expected, listed, "door " + door + " " + when);
    }
  }

  private static Backend backend(BackendState state, long callSequence) {
    return ControlFleet.backend("b", state, callSequence);
  }
}
