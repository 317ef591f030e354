package nettletrail.fleet.cli.demonstration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Checks the processes of a fleet at the end of a demonstration. */
final class FleetChecks {
  private final FleetProcesses fleet;
  private final DemonstrationOperator operator;

  FleetChecks(FleetProcesses fleet, DemonstrationOperator operator) {
    this.fleet = fleet;
    this.operator = operator;
  }

  /** Whether every core returns the last configuration. */
  InvariantResult configurationIsReadBack() {
    List<String> editions = new ArrayList<>();
    boolean allLatest = true;
    for (EmulatedMachine core : fleet.cores()) {
      try {
        long edition = operator.editionAt(core);
        editions.add(core.name() + " " + edition);
        allLatest &= edition == ConfigurationTemplate.LAST_EDITION;
      } catch (IOException failure) {
        editions.add(failure.getMessage());
        allLatest = false;
      }
    }
    String invariant =
        "configuration " + ConfigurationTemplate.LAST_EDITION + " is read back everywhere";
    return new InvariantResult(invariant, allLatest, String.join(", ", editions));
  }

  /** Terminates all processes; whether each ran until then and shut down gracefully. */
  InvariantResult processesTerminateGracefully() throws InterruptedException {
    List<String> crashed = fleet.terminatedProcesses();
    List<String> failures = fleet.terminateAll();
    boolean holds = crashed.isEmpty() && failures.isEmpty();
    String evidence =
        holds ? "all processes" : "ended by themselves " + crashed + ", ended badly " + failures;
    return new InvariantResult("processes end only when told to, with code 0", holds, evidence);
  }
}
