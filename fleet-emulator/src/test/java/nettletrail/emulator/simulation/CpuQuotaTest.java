package nettletrail.emulator.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When a process with a quota runs its steps. */
class CpuQuotaTest {
  private static final long MILLISECOND = VirtualTime.MILLISECOND;
  private static final CpuQuota QUOTA = new CpuQuota(30 * MILLISECOND, 100 * MILLISECOND, 0);

  @Test
  void quotaIsSpentFromItsEndToTheNextPeriod() {
    assertFalse(QUOTA.isSpent(30 * MILLISECOND - 1));
    assertTrue(QUOTA.isSpent(30 * MILLISECOND));
    assertTrue(QUOTA.isSpent(100 * MILLISECOND - 1));
    assertFalse(QUOTA.isSpent(100 * MILLISECOND));
    assertEquals(70 * MILLISECOND, QUOTA.nanosToNextPeriod(30 * MILLISECOND));
  }

  @Test
  void quotasWithoutTimeToRunOrToStandStillAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new CpuQuota(0, 10, 0));
    assertThrows(IllegalArgumentException.class, () -> new CpuQuota(10, 10, 0));
    assertThrows(IllegalArgumentException.class, () -> new CpuQuota(5, 10, -1));
  }

  @Test
  void stepsThatComeWhileTheProcessStandsStillRunInOrderInTheNextPeriod() {
    Simulation simulation = new Simulation(1, NetworkSettings.reliable(), 0);
    SimulatedMachine machine = newMachine(simulation);
    machine.limitCpu(QUOTA);
    SimulatedMachine.Incarnation process = machine.start();
    List<String> ran = new ArrayList<>();
    for (int at : new int[] {20, 40, 90, 110}) {
      process.after(
          at * MILLISECOND, () -> ran.add(at + "@" + simulation.time().now() / MILLISECOND));
    }
    simulation.time().runFor(200 * MILLISECOND);
    assertEquals(List.of("20@20", "40@100", "90@100", "110@110"), ran);
  }

  @Test
  void aFrozenProcessRunsNothingInTheNextPeriodAndEverythingOnceThawed() {
    Simulation simulation = new Simulation(1, NetworkSettings.reliable(), 0);
    SimulatedMachine machine = newMachine(simulation);
    machine.limitCpu(QUOTA);
    SimulatedMachine.Incarnation process = machine.start();
    List<Long> ran = new ArrayList<>();
    process.after(50 * MILLISECOND, () -> ran.add(simulation.time().now() / MILLISECOND));
    simulation.time().runFor(60 * MILLISECOND);
    machine.freeze();
    simulation.time().runFor(100 * MILLISECOND);
    assertEquals(List.of(), ran);
    machine.thaw();
    simulation.time().runFor(100 * MILLISECOND);
    assertEquals(List.of(200L), ran);
  }

  private static SimulatedMachine newMachine(Simulation simulation) {
    MachineClock clock = new MachineClock(simulation.time(), 0, 0);
    return new SimulatedMachine("machine", "10.0.0.1", simulation.time(), clock, null);
  }
}
