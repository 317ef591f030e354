package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.LinkedHashMap;
import java.util.Map;
import nettletrail.configuration.ConfigurationDocument;

/** Checks a configuration without a core. */
@Command(name = "check", description = "Checks a file's configuration as the core would.")
public final class ConfigCheck implements OperatorCommand {
  @AirlineModule OutputOptions output = new OutputOptions();

  @Arguments(title = "FILE", description = "The configuration, as JSON.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws ClientException {
    ConfigurationDocument document = InputFile.readConfiguration(file);
    if (output.json) {
      Map<String, Object> result = new LinkedHashMap<>();
      result.put("valid", true);
      result.put("edition", document.edition());
      console.json(result);
    } else {
      console.out().println(file + " is valid, edition " + document.edition());
    }
    return ExitCode.DONE;
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
