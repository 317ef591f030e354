package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Command;

/** Lists the doors. */
@Command(
    name = "doors",
    description =
        "Lists the doors: lease, link, configuration and how far each has read the feed"
            + " of backends. One row for each core of --core that answers; the others are named"
            + " on the error stream.")
public final class DoorsCommand extends StatusListCommand {
  @Override
  String resource() {
    return "doors";
  }
}
