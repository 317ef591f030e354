package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import java.nio.charset.StandardCharsets;

/** Prints the newest configuration. */
@Command(name = "get", description = "Prints the newest configuration, as the core holds it.")
public final class ConfigGetCommand implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();

  @Override
  public ExitCode run(Console console) throws CommandException {
    CoreResponse response = core.client().readConfiguration().requireSuccess();
    console.out().println(new String(response.body(), StandardCharsets.UTF_8));
    return ExitCode.DONE;
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
