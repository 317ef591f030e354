package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import nettletrail.fleet.settings.FleetSettings;
import nettletrail.fleet.settings.SettingsException;
import nettletrail.fleet.settings.SettingsReader;

/** Checks a settings file without starting a process. */
@Command(
    name = "check-settings",
    description = "Checks a settings file as a daemon would at its start, and names every fault.")
public final class CheckSettingsCommand implements OperatorCommand {
  @AirlineModule OutputOptions output = new OutputOptions();

  @Arguments(title = "FILE", description = "The settings: lines of key=value.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws CommandException {
    String text = new String(InputFile.read(file), StandardCharsets.UTF_8);
    FleetSettings settings = parse(text);
    output.write(new ValidSettings(file, settings), console);
    return ExitCode.DONE;
  }

  private FleetSettings parse(String text) throws CommandException {
    try {
      return SettingsReader.parse(text, file);
    } catch (SettingsException failure) {
      throw new CommandException(
          ExitCode.DIFFERENT, CommandStep.CHECK, file, failure.getMessage(), failure);
    }
  }

  /** The settings of a file without faults. */
  private record ValidSettings(String file, FleetSettings settings) implements CommandResult {
    @Override
    public JsonObject toJson() {
      return new JsonObject()
          .put("valid", true)
          .put("node", settings.node())
          .put("internal_address", settings.internalAddress());
    }

    @Override
    public void printText(PrintStream out) {
      out.println(
          file
              + " is valid: "
              + settings.node()
              + ", internal address "
              + settings.internalAddress());
    }
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
