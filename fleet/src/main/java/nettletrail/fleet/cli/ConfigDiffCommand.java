package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import java.util.List;

/** Compares the configuration of the core with that in a file. */
@Command(
    name = "diff",
    description =
        "Tells what a file's configuration would change of the core's. Ends with 1 if it"
            + " would change anything.")
public final class ConfigDiffCommand implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();

  @Arguments(title = "FILE", description = "The configuration, as JSON.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws CommandException {
    byte[] after = InputFile.readConfiguration(file).json();
    CoreResponse before = core.client().readConfiguration().requireSuccess();
    ItemChanges changes = new ItemChanges(ConfigurationDiff.between(before, after));
    output.write(changes, console);
    return changes.items().isEmpty() ? ExitCode.DONE : ExitCode.DIFFERENT;
  }

  /** What differs between two configurations. */
  private record ItemChanges(List<ItemChange> items) implements CommandResult {
    @Override
    public JsonObject toJson() {
      return new JsonObject()
          .putObjects("changes", items.stream().map(ItemChange::toJson).toList());
    }

    @Override
    public void printText(PrintStream out) {
      items.forEach(out::println);
    }
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
