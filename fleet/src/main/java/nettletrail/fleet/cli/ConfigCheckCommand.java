package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import nettletrail.configuration.ConfigurationDocument;

/** Checks a configuration without a core. */
@Command(name = "check", description = "Checks a file's configuration as the core would.")
public final class ConfigCheckCommand implements OperatorCommand {
  @AirlineModule OutputOptions output = new OutputOptions();

  @Arguments(title = "FILE", description = "The configuration, as JSON.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws CommandException {
    ConfigurationDocument document = InputFile.readConfiguration(file);
    InputFile.warnOfOpenRoutes(document, output.json, console);
    output.write(new ValidConfiguration(file, document.edition()), console);
    return ExitCode.DONE;
  }

  /** A configuration without faults. */
  private record ValidConfiguration(String file, long edition) implements CommandResult {
    @Override
    public JsonObject toJson() {
      return new JsonObject().put("valid", true).put("edition", edition);
    }

    @Override
    public void printText(PrintStream out) {
      out.println(file + " is valid, edition " + edition);
    }
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
