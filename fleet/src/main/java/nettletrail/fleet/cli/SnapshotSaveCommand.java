package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;

/** Saves the configuration in a file. */
@Command(
    name = "save",
    description = "Saves the newest configuration in a new file, with its digest. It holds keys.")
public final class SnapshotSaveCommand implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();

  @Arguments(title = "FILE", description = "The file to make; it must not exist.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws CommandException {
    CoreResponse response = core.client().readConfiguration().requireSuccess();
    ConfigurationDocument document = document(response);
    SnapshotFile.write(file, document);
    output.write(new SavedSnapshot(file, document.edition()), console);
    return ExitCode.DONE;
  }

  private static ConfigurationDocument document(CoreResponse response) throws CommandException {
    try {
      return ConfigurationDocument.parse(response.body());
    } catch (ConfigurationException failure) {
      throw response.malformed(failure.getMessage(), failure);
    }
  }

  /** A snapshot that was written. */
  private record SavedSnapshot(String file, long edition) implements CommandResult {
    @Override
    public JsonObject toJson() {
      return new JsonObject().put("file", file).put("edition", edition);
    }

    @Override
    public void printText(PrintStream out) {
      out.println(file + " holds edition " + edition);
    }
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
