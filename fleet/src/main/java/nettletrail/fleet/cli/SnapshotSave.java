package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.LinkedHashMap;
import java.util.Map;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;

/** Saves the configuration in a file. */
@Command(
    name = "save",
    description = "Saves the newest configuration in a new file, with its digest. It holds keys.")
public final class SnapshotSave implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();

  @Arguments(title = "FILE", description = "The file to make; it must not exist.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws ClientException {
    CoreAnswer answer = core.client().get();
    if (!answer.isTaken()) {
      throw answer.refusal();
    }
    ConfigurationDocument document = document(answer);
    SnapshotFile.write(file, document);
    if (output.json) {
      Map<String, Object> json = new LinkedHashMap<>();
      json.put("file", file);
      json.put("edition", document.edition());
      console.json(json);
    } else {
      console.out().println(file + " holds edition " + document.edition());
    }
    return ExitCode.DONE;
  }

  private static ConfigurationDocument document(CoreAnswer answer) throws ClientException {
    try {
      return ConfigurationDocument.parse(answer.body());
    } catch (ConfigurationException failure) {
      throw new ClientException(
          ExitCode.NO_CLEAR_ANSWER, ClientStep.CALL, answer.core(), failure.getMessage());
    }
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
