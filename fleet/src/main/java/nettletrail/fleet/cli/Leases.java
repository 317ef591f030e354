package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Command;

/** Lists the leases that run. */
@Command(
    name = "leases",
    description =
        "Lists the leases that run: owners of shards, and doors. One row for each core of"
            + " --core that answers; the others are named on the error stream.")
public final class Leases extends StatusCommand {
  @Override
  String resource() {
    return "leases";
  }
}
