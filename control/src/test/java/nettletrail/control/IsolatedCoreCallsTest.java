package nettletrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import nettletrail.protocol.BackendState;
import org.junit.jupiter.api.Test;

/** Calls of backends at a core process that reaches nobody: another one has to hear of them. */
class IsolatedCoreCallsTest {
  private static final int SEED = 1;

  private final ControlFleet fleet = new ControlFleet(3, 2, SEED);

  @Test
  void isolatedCoreProcessRejectsHeartbeatsOfReadyBackendsAfterASecond() {
    fleet.run(1_000);
    fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.READY, 1));
    fleet.run(100);
    fleet.isolate("core-0");
    assertEquals(
        200, answer(fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.READY, 2))));
    fleet.run(1_200);
    assertEquals(
        503, answer(fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.READY, 3))));
    assertEquals(
        503, answer(fleet.call(0, "PUT", ControlFleet.backend("c", BackendState.READY, 1))));
    assertEquals(
        200, answer(fleet.call(1, "PUT", ControlFleet.backend("b", BackendState.READY, 4))));
    fleet.heal();
    fleet.run(300);
    assertEquals(
        200, answer(fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.READY, 5))));
  }

  @Test
  void coreProcessThatReachesADoorOnlyAcceptsHeartbeats() {
    fleet.run(1_000);
    fleet.partition("core-0", "core-1");
    fleet.partition("core-0", "core-2");
    fleet.run(3_000);
    assertEquals(
        200, answer(fleet.call(0, "PUT", ControlFleet.backend("b", BackendState.READY, 1))));
  }

  private int answer(long call) {
    fleet.run(20);
    return fleet.answers.get(call);
  }
}
