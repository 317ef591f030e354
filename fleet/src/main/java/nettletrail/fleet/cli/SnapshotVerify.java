package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.LinkedHashMap;
import java.util.Map;
import nettletrail.configuration.ConfigurationDocument;

/** Checks a snapshot. */
@Command(
    name = "verify",
    description = "Checks that a snapshot is whole and its configuration valid, without a core.")
public final class SnapshotVerify implements OperatorCommand {
  @AirlineModule OutputOptions output = new OutputOptions();

  @Arguments(title = "FILE", description = "A file made by save.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws ClientException {
    ConfigurationDocument document = SnapshotFile.read(file);
    if (output.json) {
      Map<String, Object> json = new LinkedHashMap<>();
      json.put("whole", true);
      json.put("edition", document.edition());
      console.json(json);
    } else {
      console.out().println(file + " is whole, edition " + document.edition());
    }
    return ExitCode.DONE;
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
