package nettletrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import nettletrail.control.registry.RegistryAction;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.RegistryUpdateReply;
import org.junit.jupiter.api.Test;

/** Scenarios of backends, core processes and doors over a network in memory. */
class RegistryScenarioTest {
  private final ControlFleet fleet = new ControlFleet(3, 3, 1);

  @Test
  void doorsWithOneSeedConnectToAllCoreProcessesAndCountEachOther() {
    fleet.run(2_000);
    for (int door = 0; door < 3; door++) {
      assertEquals(3, fleet.door(door).dialled.size());
      assertTrue(fleet.door(door).control.isCoreReachable());
      assertEquals(3, fleet.door(door).control.doorCount());
    }
  }

  @Test
  void allDoorsSeeABackendThatCalledOneCoreProcess() {
    fleet.run(1_000);
    long call = fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.READY, 1));
    assertEquals(200, fleet.answers.get(call));
    fleet.run(20);
    for (int door = 0; door < 3; door++) {
      assertEquals(List.of("b"), ids(door));
    }
  }

  @Test
  void drainingIsAcknowledgedOnceReplicatedAndALateCallDoesNotUndoIt() {
    fleet.run(1_000);
    fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.READY, 1));
    fleet.run(100);
    long call = fleet.call(1, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 2));
    assertNull(fleet.answers.get(call));
    fleet.run(20);
    assertEquals(200, fleet.answers.get(call));
    assertEquals(BackendState.CLOSING, state(0));
    long late = fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.READY, 1));
    fleet.run(20);
    assertEquals(200, fleet.answers.get(late));
    assertEquals(BackendState.CLOSING, state(0));
  }

  @Test
  void isolatedCoreProcessRejectsDrainingAndAnotherOneAcknowledgesIt() {
    fleet.run(1_000);
    fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.READY, 1));
    fleet.run(100);
    fleet.isolate("core-0");
    long call = fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 2));
    fleet.run(700);
    assertNull(fleet.answers.get(call));
    fleet.run(200);
    assertEquals(503, fleet.answers.get(call));
    long again = fleet.call(1, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 3));
    fleet.run(20);
    assertEquals(200, fleet.answers.get(again));
  }

  @Test
  void deregistrationReachesAllDoorsButIsAcknowledgedOnlyOnceAMajorityHasItOnDisk() {
    fleet.run(3_000);
    fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.READY, 1));
    fleet.kill("core-1");
    fleet.kill("core-2");
    fleet.run(100);
    long call = fleet.call(0, "DELETE", ControlFleet.backend("b", BackendState.READY, 1));
    fleet.run(20);
    assertTrue(ids(0).isEmpty());
    fleet.run(900);
    assertEquals(503, fleet.answers.get(call));
    fleet.restart("core-1");
    fleet.run(300);
    long again = fleet.call(0, "DELETE", ControlFleet.backend("b", BackendState.READY, 1));
    fleet.run(20);
    assertEquals(200, fleet.answers.get(again));
  }

  @Test
  void offsetsOfAFormerIncarnationsFeedAcknowledgeNoDraining() {
    heartbeat(4_000, List.of("a", "b"));
    changeOften("a", 20);
    fleet.kill("core-0");
    fleet.run(500);
    fleet.restart("core-0");
    fleet.run(1_000);
    fleet.isolate("core-0");
    long call = fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 50));
    fleet.run(700);
    assertNull(fleet.answers.get(call));
    fleet.run(200);
    assertEquals(503, fleet.answers.get(call));
  }

  @Test
  void coreProcessThatReachesNoMajorityNeverAcknowledgesDraining() {
    heartbeat(4_000, List.of("a", "b"));
    fleet.kill("core-0");
    List.of("core-1", "core-2", "door-1", "door-2")
        .forEach(peer -> fleet.partition("core-0", peer));
    fleet.restart("core-0");
    fleet.run(1_000);
    assertEquals(1, fleet.core(0).registry.liveDoors(fleet.now));
    long call = fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 50));
    fleet.run(900);
    assertEquals(503, fleet.answers.get(call));
    fleet.run(1_500);
    long later = fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 51));
    fleet.run(900);
    assertEquals(503, fleet.answers.get(later), "its one door has it, one disk of three too");
    assertEquals(BackendState.CLOSING, stateOf("b", 0));
  }

  @Test
  void lateRepliesToAFormerIncarnationAcknowledgeNoDraining() {
    heartbeat(4_000, List.of("a", "b"));
    fleet.kill("core-0");
    fleet.restart("core-0");
    fleet.run(1_000);
    fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 50));
    CoreRegistry restarted = fleet.core(0).registry;
    for (long number = 1; number <= 100; number++) {
      RegistryUpdateReply late = new RegistryUpdateReply("core-1", number);
      List<RegistryAction> actions = restarted.receiveFromCore("core-1", late, fleet.now);
      assertTrue(actions.stream().noneMatch(RegistryAction.AnswerBackend.class::isInstance));
    }
  }

  @Test
  void lateCallAtARestartedCoreProcessDoesNotUndoAnExpiredDraining() {
    heartbeat(4_000, List.of("a", "b", "c"));
    fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 50));
    heartbeat(8_000, List.of("a", "c"));
    assertEquals(List.of("a", "c"), ids(0));
    fleet.kill("core-2");
    fleet.restart("core-2");
    fleet.run(300);
    fleet.call(2, "PUT", ControlFleet.backend("b", BackendState.READY, 49));
    fleet.run(100);
    assertEquals(BackendState.CLOSING, stateOf("b", 0));
  }

  @Test
  void hintedHandoffRepairsAPeerAfterAPartitionAndKeepsTombstones() {
    fleet.run(1_000);
    fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.READY, 1));
    fleet.run(100);
    fleet.isolate("core-2");
    fleet.call(0, "DELETE", ControlFleet.backend("b", BackendState.READY, 1));
    fleet.call(0, "PUT", ControlFleet.backend("c", BackendState.READY, 1));
    fleet.run(3_000);
    assertEquals(List.of("b"), coreIds(2));
    fleet.heal();
    fleet.run(500);
    assertEquals(List.of("c"), coreIds(2));
    fleet.call(2, "PUT", ControlFleet.backend("b", BackendState.READY, 1));
    fleet.run(500);
    assertEquals(List.of("c"), ids(0));
  }

  @Test
  void restartedCoreProcessLearnsAllRecordsFromItsPeers() {
    fleet.run(1_000);
    fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.READY, 1));
    fleet.call(0, "PUT", ControlFleet.backend("c", BackendState.CLOSING, 1));
    fleet.call(0, "DELETE", ControlFleet.backend("d", BackendState.READY, 1));
    fleet.run(100);
    fleet.kill("core-2");
    fleet.run(100);
    fleet.restart("core-2");
    fleet.run(300);
    assertEquals(List.of("b", "c"), coreIds(2));
    assertEquals(3, fleet.core(2).registry.backends().size());
  }

  @Test
  void doorsDropAnExpiredBackendAndSeeItAgainAfterItsNextCall() {
    heartbeat(8_000, List.of("a", "b", "c"));
    assertEquals(List.of("a", "b", "c"), ids(0));
    heartbeat(8_000, List.of("a", "b"));
    assertEquals(List.of("a", "b"), ids(0));
    assertEquals(List.of("a", "b"), ids(2));
    heartbeat(2_000, List.of("a", "b", "c"));
    assertEquals(List.of("a", "b", "c"), ids(0));
  }

  @Test
  void noBackendExpiresWhileAllAreOutOfContact() {
    heartbeat(8_000, List.of("a", "b", "c"));
    fleet.run(30_000);
    assertEquals(List.of("a", "b", "c"), ids(0));
    heartbeat(3_000, List.of("a", "b", "c"));
    assertEquals(List.of("a", "b", "c"), ids(0));
  }

  @Test
  void doorsKeepTheirBackendsThroughARestartOfAllCoreProcesses() {
    heartbeat(4_000, List.of("a", "b"));
    for (int core = 0; core < 3; core++) {
      fleet.kill("core-" + core);
    }
    fleet.run(500);
    assertEquals(List.of("a", "b"), ids(1));
    for (int core = 0; core < 3; core++) {
      fleet.restart("core-" + core);
    }
    fleet.run(1_500);
    assertEquals(List.of("a", "b"), ids(1));
    heartbeat(30_000, List.of("a"));
    assertEquals(List.of("a"), ids(1));
  }

  @Test
  void doorsReportWithdrawalsThatAllCoreProcessesHaveLost() {
    heartbeat(4_000, List.of("a", "b", "c"));
    fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 50));
    fleet.call(1, "DELETE", ControlFleet.backend("c", BackendState.READY, 50));
    fleet.run(200);
    restartCore();
    fleet.run(2_500);
    fleet.call(2, "PUT", ControlFleet.backend("b", BackendState.READY, 49));
    fleet.call(2, "PUT", ControlFleet.backend("c", BackendState.READY, 51));
    fleet.run(200);
    fleet.kill("door-2");
    fleet.restart("door-2");
    fleet.run(1_000);
    assertEquals(BackendState.CLOSING, fleet.core(2).registry.backends().get(0).getState());
    assertEquals(List.of("b"), ids(2));
    assertEquals(BackendState.CLOSING, state(2));
  }

  @Test
  void doorsReportAWithdrawalThatOnlyCrashedCoreProcessesKnew() {
    heartbeat(4_000, List.of("a", "b"));
    fleet.partition("core-0", "core-1");
    fleet.partition("core-0", "core-2");
    long call = fleet.call(1, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 50));
    fleet.run(20);
    assertEquals(200, fleet.answers.get(call));
    fleet.kill("core-1");
    fleet.kill("core-2");
    fleet.run(1_500);
    fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.READY, 49));
    fleet.addDoor(3);
    fleet.run(1_000);
    assertEquals(BackendState.CLOSING, stateOf("b", 3));
  }

  @Test
  void doorsReportNoWithdrawalThatAllCoreProcessesKnow() {
    heartbeat(4_000, List.of("a", "b"));
    fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 50));
    fleet.run(20);
    fleet.messagesFromDoors.clear();
    heartbeat(6_000, List.of("a"));
    assertEquals(0, fleet.messagesFromDoors.getOrDefault("RegistryUpdate", 0));
  }

  @Test
  void doorPartitionedFromOneCoreProcessFollowsTheOthers() {
    heartbeat(4_000, List.of("a"));
    fleet.partition("core-0", "door-1");
    fleet.call(0, "PUT", ControlFleet.backend("d", BackendState.READY, 1));
    fleet.run(100);
    assertEquals(List.of("a", "d"), ids(1));
    fleet.isolate("door-1");
    fleet.run(60_000);
    assertEquals(List.of("a", "d"), ids(1));
  }

  @Test
  void keysAreValidUntilTheRevocationTimeWhileTheCoreRepliesWithoutAConfirmation() {
    fleet.run(1_000);
    fleet.commit(3, Map.of());
    fleet.run(1_500);
    for (int core = 0; core < 3; core++) {
      fleet.core(core).confirming = false;
    }
    fleet.run(4_000);
    assertTrue(fleet.door(0).control.areKeysValid(fleet.now));
    fleet.run(1_000);
    assertFalse(fleet.door(0).control.areKeysValid(fleet.now));
  }

  @Test
  void committedConfigurationIsUsedOnceConfirmedAndKeysAreValidWhileConfirmed() {
    fleet.run(1_000);
    assertFalse(fleet.door(0).control.areKeysValid(fleet.now));
    fleet.commit(3, Map.of());
    fleet.run(10);
    assertEquals(List.of(), fleet.door(0).configurations);
    fleet.run(150);
    assertEquals(List.of(3L), fleet.door(0).configurations);
    fleet.run(1_000);
    assertTrue(fleet.door(0).control.areKeysValid(fleet.now));
    fleet.isolate("door-0");
    fleet.run(2_500);
    assertTrue(fleet.door(0).control.areKeysValid(fleet.now));
    fleet.run(600);
    assertFalse(fleet.door(0).control.areKeysValid(fleet.now));
    fleet.commit(4, Map.of());
    fleet.heal();
    fleet.run(1_000);
    assertEquals(List.of(3L, 4L), fleet.door(0).configurations);
    assertTrue(fleet.door(0).control.areKeysValid(fleet.now));
    fleet.commit(5, Map.of());
    fleet.run(10);
    assertEquals(List.of(3L, 4L, 5L), fleet.door(0).configurations);
  }

  @Test
  void crashedDoorIsNotCountedAfterItsLeaseExpired() {
    fleet.run(2_000);
    fleet.kill("door-2");
    fleet.run(2_000);
    assertEquals(3, fleet.core(0).registry.liveDoors(fleet.now));
    fleet.run(1_500);
    assertEquals(2, fleet.core(0).registry.liveDoors(fleet.now));
    fleet.run(11_000);
    assertEquals(2, fleet.door(0).control.doorCount());
  }

  private long callSequence = 1;

  /** Lets backends send heartbeats to the core processes in turn. */
  private void heartbeat(long millis, List<String> ids) {
    for (long elapsed = 0; elapsed < millis; elapsed += ControlFleet.HEARTBEAT_MS) {
      callSequence++;
      for (String id : ids) {
        int core = (int) (callSequence % 3);
        fleet.call(core, "PUT", ControlFleet.backend(id, BackendState.READY, callSequence));
      }
      fleet.run(ControlFleet.HEARTBEAT_MS);
    }
  }

  private List<String> ids(int door) {
    return fleet.door(door).control.backends("lm").stream().map(Backend::getId).sorted().toList();
  }

  private List<String> coreIds(int core) {
    return fleet.core(core).registry.backends().stream()
        .filter(backend -> backend.getState() != BackendState.GONE)
        .map(Backend::getId)
        .sorted()
        .toList();
  }

  /** Each call has new content, so that the feeds grow. */
  private void changeOften(String id, int changes) {
    for (int change = 1; change <= changes; change++) {
      callSequence++;
      Backend report = ControlFleet.backend(id, BackendState.READY, callSequence);
      fleet.call(0, "PUT", Backend.newBuilder(report).setSlots(change).build());
      fleet.run(20);
    }
  }

  private void restartCore() {
    for (int core = 0; core < 3; core++) {
      fleet.kill("core-" + core);
    }
    fleet.run(500);
    for (int core = 0; core < 3; core++) {
      fleet.restart("core-" + core);
    }
  }

  private BackendState stateOf(String id, int door) {
    return fleet.door(door).control.backends("lm").stream()
        .filter(backend -> backend.getId().equals(id))
        .map(Backend::getState)
        .findFirst()
        .orElse(null);
  }

  private BackendState state(int door) {
    return fleet.door(door).control.backends("lm").get(0).getState();
  }
}
