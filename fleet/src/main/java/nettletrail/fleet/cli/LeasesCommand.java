package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Command;

/** Lists the active leases. */
@Command(
    name = "leases",
    description =
        "Lists the leases that run: owners of shards, and doors. One row for each core of"
            + " --core that answers; the others are named on the error stream.")
public final class LeasesCommand extends StatusListCommand {
  @Override
  String resource() {
    return "leases";
  }
}
