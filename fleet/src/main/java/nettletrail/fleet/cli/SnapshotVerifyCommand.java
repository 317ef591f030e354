package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import nettletrail.configuration.ConfigurationDocument;

/** Checks a snapshot. */
@Command(
    name = "verify",
    description = "Checks that a snapshot is whole and its configuration valid, without a core.")
public final class SnapshotVerifyCommand implements OperatorCommand {
  @AirlineModule OutputOptions output = new OutputOptions();

  @Arguments(title = "FILE", description = "A file made by save.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws CommandException {
    ConfigurationDocument document = SnapshotFile.read(file);
    output.write(new IntactSnapshot(file, document.edition()), console);
    return ExitCode.DONE;
  }

  /** A snapshot without faults. */
  private record IntactSnapshot(String file, long edition) implements CommandResult {
    @Override
    public JsonObject toJson() {
      return new JsonObject().put("whole", true).put("edition", edition);
    }

    @Override
    public void printText(PrintStream out) {
      out.println(file + " is whole, edition " + edition);
    }
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
