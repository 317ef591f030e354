package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import nettletrail.fleet.settings.FleetSettings;
import nettletrail.fleet.settings.SettingsException;
import nettletrail.fleet.settings.SettingsReader;

/** Checks a settings file without starting a process. */
@Command(
    name = "check-settings",
    description = "Checks a settings file as a daemon would at its start, and names every fault.")
public final class CheckSettings implements OperatorCommand {
  @AirlineModule OutputOptions output = new OutputOptions();

  @Arguments(title = "FILE", description = "The settings: lines of key=value.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws ClientException {
    String text = new String(InputFile.read(file), StandardCharsets.UTF_8);
    FleetSettings settings = parse(text);
    if (output.json) {
      Map<String, Object> result = new LinkedHashMap<>();
      result.put("valid", true);
      result.put("node", settings.node());
      result.put("internal_address", settings.internalAddress());
      console.json(result);
    } else {
      console
          .out()
          .println(
              file
                  + " is valid: "
                  + settings.node()
                  + ", internal address "
                  + settings.internalAddress());
    }
    return ExitCode.DONE;
  }

  private FleetSettings parse(String text) throws ClientException {
    try {
      return SettingsReader.parse(text, file);
    } catch (SettingsException failure) {
      throw new ClientException(ExitCode.DIFFERENT, ClientStep.CHECK, file, failure.getMessage());
    }
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
