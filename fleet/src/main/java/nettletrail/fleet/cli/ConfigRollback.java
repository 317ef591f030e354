package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;

/** Puts an earlier edition in force again. */
@Command(
    name = "rollback",
    description =
        "Puts the document of an earlier edition in force again, as a new edition. The cores keep the"
            + " newest versions only, see history; keep snapshots for longer.")
public final class ConfigRollback implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();
  @AirlineModule DryRunOption dryRun = new DryRunOption();

  @Arguments(title = "EDITION", description = "The edition to go back to.")
  @Required
  long edition;

  @Override
  public ExitCode run(Console console) throws ClientException {
    CoreAnswer stored = find();
    return new EarlierDocument(core.client(), console, output.json)
        .restore(stored.body(), "edition " + edition + " of " + stored.core(), dryRun.dryRun);
  }

  /** The document from the first core that still has it. */
  private CoreAnswer find() throws ClientException {
    ClientException last = null;
    for (String address : core.list()) {
      try {
        CoreAnswer answer =
            new CoreClient(List.of(address), CoreClient.Pauses.once())
                .status("config/versions/" + edition);
        if (answer.isTaken()) {
          return answer;
        }
        last = answer.refusal();
      } catch (ClientException failure) {
        last = failure;
      }
    }
    if (last == null) {
      throw new ClientException(
          ExitCode.USAGE, ClientStep.READ, "--core", "name at least one HOST:PORT");
    }
    throw last;
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
