package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import nettletrail.configuration.ConfigurationDocument;

/** Puts a snapshot's configuration in force. */
@Command(
    name = "restore",
    description =
        "Puts the configuration of a snapshot in force, as a new edition above the current one.")
public final class SnapshotRestore implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();
  @AirlineModule DryRunOption dryRun = new DryRunOption();

  @Arguments(title = "FILE", description = "A file made by save.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws ClientException {
    ConfigurationDocument document = SnapshotFile.read(file);
    return new EarlierDocument(core.client(), console, output.json)
        .restore(document.json(), file, dryRun.dryRun);
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
