package nettletrail.fleet.cli;

import java.io.PrintStream;
import java.util.List;

/**
 * A resource of the fleet's state as each core sees it.
 *
 * @param resource the resource's name
 * @param rows one row for each entry of each core that responded
 * @param failures one message for each core that did not respond; part of the JSON only, since the
 *     text of the result goes to another stream
 */
record StatusList(String resource, List<JsonObject> rows, List<String> failures)
    implements CommandResult {
  @Override
  public JsonObject toJson() {
    return new JsonObject().putObjects(resource, rows).putTexts("failures", failures);
  }

  @Override
  public void printText(PrintStream out) {
    TextTable.print(rows, out);
  }
}
