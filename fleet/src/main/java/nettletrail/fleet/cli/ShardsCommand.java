package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Command;

/** Lists the shards. */
@Command(
    name = "shards",
    description =
        "Lists the shards: owner, fencing token, replicas, accepted and committed"
            + " sequence. One row for each core of --core that answers; the others are named on"
            + " the error stream.")
public final class ShardsCommand extends StatusListCommand {
  @Override
  String resource() {
    return "shards";
  }
}
