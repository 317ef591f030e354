package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import nettletrail.configuration.ConfigurationDocument;

/** Activates the configuration of a snapshot. */
@Command(
    name = "restore",
    description =
        "Puts the configuration of a snapshot in force, as a new edition above the current one.")
public final class SnapshotRestoreCommand implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();
  @AirlineModule DryRunOption dryRun = new DryRunOption();

  @Arguments(title = "FILE", description = "A file made by save.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws CommandException {
    ConfigurationDocument document = SnapshotFile.read(file);
    ConfigurationRestorer restorer =
        new ConfigurationRestorer(core.client(), document.json(), file);
    return dryRun.run(restorer, output, console);
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
