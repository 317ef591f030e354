package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Changes named items of the configuration. */
@Command(
    name = "patch",
    description = "Adds, replaces or removes the items of the configuration that a file names.")
public final class ConfigPatchCommand implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();
  @AirlineModule ChangeOptions change = new ChangeOptions();

  @Arguments(title = "FILE", description = "The patch, as JSON: edition, deliver and withdraw.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws CommandException {
    return change.send(core.client(), "PATCH", InputFile.read(file), output, console);
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
