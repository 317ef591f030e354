package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Activates the document of an earlier edition again. */
@Command(
    name = "rollback",
    description =
        "Puts the document of an earlier edition in force again, as a new edition. The cores keep the"
            + " newest versions only, see history; keep snapshots for longer.")
public final class ConfigRollbackCommand implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();
  @AirlineModule DryRunOption dryRun = new DryRunOption();

  @Arguments(title = "EDITION", description = "The edition to go back to.")
  @Required
  long edition;

  @Override
  public ExitCode run(Console console) throws CommandException {
    CoreResponse stored = storedDocument();
    String origin = "edition " + edition + " of " + stored.core();
    ConfigurationRestorer restorer =
        new ConfigurationRestorer(core.client(), stored.body(), origin);
    return dryRun.run(restorer, output, console);
  }

  /** The document of the edition, from the first core that still has it. */
  private CoreResponse storedDocument() throws CommandException {
    CommandException last = null;
    for (String address : core.addressList()) {
      try {
        return CoreOptions.clientWithoutRetries(address)
            .readStatus("config/versions/" + edition)
            .requireSuccess();
      } catch (CommandException failure) {
        last = failure;
      }
    }
    if (last == null) {
      throw new CommandException(
          ExitCode.USAGE, CommandStep.READ, "--core", "name at least one HOST:PORT");
    }
    throw last;
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
