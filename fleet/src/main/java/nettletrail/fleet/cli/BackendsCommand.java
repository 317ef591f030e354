package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Command;

/** Lists the backends. */
@Command(
    name = "backends",
    description =
        "Lists the backends: state, address, and when any core last heard of them. One"
            + " row for each core of --core that answers; the others are named on the error"
            + " stream.")
public final class BackendsCommand extends StatusListCommand {
  @Override
  String resource() {
    return "backends";
  }
}
