package nettletrail.emulator.scenario;

import static nettletrail.emulator.scenario.Scenario.machines;

import java.util.List;
import nettletrail.emulator.fleet.CoreMachine;

/** From which machines it is partitioned, or that it is frozen instead. */
enum PartitionKind {
  OTHER_CORES {
    @Override
    void begin(Scenario scenario, CoreMachine victim) {
      scenario
          .networkFaults()
          .partition(List.of(victim.machine()), machines(scenario.othersThan(victim)));
    }
  },
  ALL {
    @Override
    void begin(Scenario scenario, CoreMachine victim) {
      OTHER_CORES.begin(scenario, victim);
      scenario.networkFaults().partition(List.of(victim.machine()), scenario.doorMachines());
    }
  },
  TO_OTHER_CORES {
    @Override
    void begin(Scenario scenario, CoreMachine victim) {
      scenario
          .othersThan(victim)
          .forEach(
              other -> scenario.networkFaults().partitionOneWay(victim.machine(), other.machine()));
    }
  },
  FROM_OTHER_CORES {
    @Override
    void begin(Scenario scenario, CoreMachine victim) {
      scenario
          .othersThan(victim)
          .forEach(
              other -> scenario.networkFaults().partitionOneWay(other.machine(), victim.machine()));
    }
  },
  WITH_RESETS {
    @Override
    void begin(Scenario scenario, CoreMachine victim) {
      scenario.networkFaults().resetConnections(victim.machine());
      OTHER_CORES.begin(scenario, victim);
    }
  },
  FREEZE {
    @Override
    void begin(Scenario scenario, CoreMachine victim) {
      scenario.faults().freeze(victim.machine());
    }

    @Override
    void end(Scenario scenario, CoreMachine victim) {
      scenario.faults().thaw(victim.machine());
    }
  };

  abstract void begin(Scenario scenario, CoreMachine victim);

  void end(Scenario scenario, CoreMachine victim) {
    scenario.networkFaults().healPartitions();
  }
}
