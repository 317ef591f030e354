package nettletrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import org.junit.jupiter.api.Test;

/** Scenarios of a fleet with one core process, whose records no other one replicates. */
class SingleCoreScenarioTest {
  private static final int MORE_THAN_THE_FEED_RETAINS = 5_000;

  private long callSequence = 1;

  @Test
  void drainingIsAcknowledgedOnceTheLeaseOfAnIsolatedDoorHasExpired() {
    ControlFleet fleet = new ControlFleet(1, 2, 1);
    fleet.run(4_000);
    fleet.isolate("door-1");
    long call = fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 1));
    fleet.run(900);
    assertEquals(503, fleet.answers.get(call));
    fleet.run(2_500);
    long later = fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 2));
    fleet.run(20);
    assertEquals(200, fleet.answers.get(later));
  }

  @Test
  void drainingIsAcknowledgedWithoutDoorsOnceFormerLeasesHaveExpired() {
    ControlFleet fleet = new ControlFleet(1, 0, 2);
    fleet.run(2_900);
    long early = fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 1));
    assertNull(fleet.answers.get(early));
    fleet.run(200);
    assertEquals(200, fleet.answers.get(early));
  }

  @Test
  void restartedCoreProcessWaitsForFormerLeasesBeforeItTakesItsDoorsForAll() {
    ControlFleet fleet = new ControlFleet(1, 3, 1);
    heartbeat(fleet, 4_000, List.of("a", "b"));
    fleet.kill("core-0");
    List.of("door-1", "door-2").forEach(door -> fleet.partition("core-0", door));
    fleet.restart("core-0");
    fleet.run(1_000);
    assertEquals(1, fleet.core(0).registry.liveDoors(fleet.now));
    long call = fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 50));
    fleet.run(900);
    assertEquals(503, fleet.answers.get(call));
    fleet.run(1_500);
    long later = fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.CLOSING, 51));
    fleet.run(20);
    assertEquals(200, fleet.answers.get(later), "leases of its former incarnation have expired");
  }

  @Test
  void doorBehindTheFeedsStartDropsWhatExpiredMeanwhile() {
    ControlFleet fleet = new ControlFleet(1, 1, 3);
    heartbeat(fleet, 4_000, List.of("a", "b"));
    assertEquals(List.of("a", "b"), ids(fleet));
    fleet.isolate("door-0");
    heartbeat(fleet, 8_000, List.of("a"));
    for (int change = 1; change <= MORE_THAN_THE_FEED_RETAINS; change++) {
      callSequence++;
      Backend report = ControlFleet.backend("a", BackendState.READY, callSequence);
      fleet.call(0, "PUT", Backend.newBuilder(report).setSlots(change).build());
    }
    assertEquals(List.of("a", "b"), ids(fleet));
    fleet.heal();
    fleet.run(500);
    assertEquals(List.of("a"), ids(fleet));
    Backend newest = fleet.door(0).control.backends("lm").get(0);
    assertEquals(MORE_THAN_THE_FEED_RETAINS, newest.getSlots());
  }

  private void heartbeat(ControlFleet fleet, long millis, List<String> ids) {
    for (long elapsed = 0; elapsed < millis; elapsed += ControlFleet.HEARTBEAT_MS) {
      callSequence++;
      for (String id : ids) {
        fleet.call(0, "PUT", ControlFleet.backend(id, BackendState.READY, callSequence));
      }
      fleet.run(ControlFleet.HEARTBEAT_MS);
    }
  }

  private static List<String> ids(ControlFleet fleet) {
    return fleet.door(0).control.backends("lm").stream().map(Backend::getId).sorted().toList();
  }
}
