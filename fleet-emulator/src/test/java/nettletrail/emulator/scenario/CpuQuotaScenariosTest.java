package nettletrail.emulator.scenario;

import static nettletrail.emulator.scenario.Scenario.MILLISECOND;
import static nettletrail.emulator.scenario.Scenario.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.fleet.CoreMachine;
import nettletrail.emulator.fleet.DoorMachine;
import nettletrail.emulator.simulation.CpuQuota;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.protocol.BackendState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Machines whose share of a core is a quota: they run until it is spent and stand still for the
 * rest of each tenth of a second. No lease, confirmation or backend may be lost by that.
 */
class CpuQuotaScenariosTest {
  private static final int CORES = 3;
  private static final int DOORS = 2;
  private static final long PERIOD = 100 * MILLISECOND;
  private static final int CHANGES = 8;

  @ParameterizedTest
  @ValueSource(longs = {10, 30, 50})
  void givenAQuotaAtAllMachinesWhenTimePassesThenNoOwnerKeyOrBackendIsLost(long runMillis) {
    Scenario scenario = Scenario.givenFleet(300 + runMillis, CORES, DOORS);
    BackendActor backend = scenario.fleet().addBackend();
    scenario.pass(2 * SECOND);
    limitCpu(scenario, runMillis * MILLISECOND);
    CoreMachine owner = scenario.owner();

    for (int step = 0; step < 200; step++) {
      scenario.pass(100 * MILLISECOND);
      assertSame(owner, scenario.owner(), "owner after " + step);
      for (DoorMachine door : scenario.fleet().doors()) {
        assertTrue(door.process().keysValid(), door + " after " + step);
        assertTrue(scenario.lists(door, backend, BackendState.READY), door + " after " + step);
      }
    }
    assertEquals(List.of(), scenario.violations());
  }

  @ParameterizedTest
  @ValueSource(longs = {10, 30, 50})
  void givenAQuotaAtAllMachinesWhenChangesAreMadeThenEachIsInForceInTime(long runMillis) {
    Scenario scenario = Scenario.givenFleet(400 + runMillis, CORES, DOORS);
    limitCpu(scenario, runMillis * MILLISECOND);

    for (int change = 0; change < CHANGES; change++) {
      assertTrue(scenario.changeIsAcknowledged(), "change " + change);
      scenario.pass(2 * SECOND);
      for (DoorMachine door : scenario.fleet().doors()) {
        assertTrue(scenario.uses(door, scenario.operator().newest()), door + " at " + change);
      }
    }
    assertEquals(List.of(), scenario.violations());
  }

  private static void limitCpu(Scenario scenario, long runNanos) {
    List<SimulatedMachine> machines = new ArrayList<>(scenario.coreMachines());
    machines.addAll(scenario.doorMachines());
    for (int index = 0; index < machines.size(); index++) {
      long offset = PERIOD * index / machines.size();
      machines.get(index).limitCpu(new CpuQuota(runNanos, PERIOD, offset));
    }
  }
}
