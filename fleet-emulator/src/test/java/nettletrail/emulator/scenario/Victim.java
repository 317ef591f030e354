package nettletrail.emulator.scenario;

import nettletrail.emulator.fleet.CoreMachine;

/** Which machine is partitioned. */
enum Victim {
  OWNER {
    @Override
    CoreMachine of(Scenario scenario) {
      return scenario.owner();
    }
  },
  REPLICA {
    @Override
    CoreMachine of(Scenario scenario) {
      return scenario.followers().get(1);
    }
  },
  FIRST_SEED {
    @Override
    CoreMachine of(Scenario scenario) {
      return scenario.fleet().cores().get(0);
    }
  };

  abstract CoreMachine of(Scenario scenario);
}
