package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import java.nio.charset.StandardCharsets;

/** Prints the newest configuration. */
@Command(name = "get", description = "Prints the newest configuration, as the core holds it.")
public final class ConfigGet implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();

  @Override
  public ExitCode run(Console console) throws ClientException {
    CoreAnswer answer = core.client().get();
    if (!answer.isTaken()) {
      throw answer.refusal();
    }
    console.out().println(new String(answer.body(), StandardCharsets.UTF_8));
    return ExitCode.DONE;
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
