package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import nettletrail.configuration.ConfigurationDocument;

/** Replaces the configuration. */
@Command(name = "put", description = "Replaces the whole configuration by a file's.")
public final class ConfigPutCommand implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();
  @AirlineModule ChangeOptions change = new ChangeOptions();

  @Arguments(title = "FILE", description = "The configuration, as JSON.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws CommandException {
    ConfigurationDocument document = InputFile.readConfiguration(file);
    InputFile.warnOfOpenRoutes(document, output.json, console);
    return change.send(core.client(), "PUT", document.json(), output, console);
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
