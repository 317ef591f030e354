package nettletrail.fleet.cli;

import java.io.PrintStream;
import java.util.List;

/**
 * What the restoration of a document changes, or would change.
 *
 * @param builtOn the current edition before the change; 0 if there is none
 * @param changes the differences from the current configuration; empty if there is none
 * @param action what was done, as a phrase for the operator
 */
record RestoreResult(long builtOn, List<ItemChange> changes, String action)
    implements CommandResult {
  @Override
  public JsonObject toJson() {
    return new JsonObject()
        .put("built_on", builtOn)
        .putObjects("changes", changes.stream().map(ItemChange::toJson).toList())
        .put("done", action);
  }

  @Override
  public void printText(PrintStream out) {
    changes.forEach(out::println);
    out.println("done: " + action);
  }
}
