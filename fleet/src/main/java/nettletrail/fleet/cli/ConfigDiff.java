package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.jsoniter.spi.JsonException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Compares the core's configuration with a file's. */
@Command(
    name = "diff",
    description =
        "Tells what a file's configuration would change of the core's. Ends with 1 if it"
            + " would change anything.")
public final class ConfigDiff implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();

  @Arguments(title = "FILE", description = "The configuration, as JSON.")
  @Required
  String file = "";

  @Override
  public ExitCode run(Console console) throws ClientException {
    byte[] after = InputFile.readConfiguration(file).json();
    CoreAnswer answer = core.client().get();
    if (!answer.isTaken()) {
      throw answer.refusal();
    }
    List<ItemChange> changes = compare(answer, after);
    print(changes, console);
    return changes.isEmpty() ? ExitCode.DONE : ExitCode.DIFFERENT;
  }

  private static List<ItemChange> compare(CoreAnswer before, byte[] after) throws ClientException {
    try {
      return ConfigurationDiff.between(before.body(), after);
    } catch (JsonException failure) {
      throw new ClientException(
          ExitCode.NO_CLEAR_ANSWER, ClientStep.CALL, before.core(), failure.getMessage());
    }
  }

  private void print(List<ItemChange> changes, Console console) {
    if (output.json) {
      Map<String, Object> result = new LinkedHashMap<>();
      result.put("changes", changes.stream().map(ItemChange::toJson).toList());
      console.json(result);
    } else {
      changes.forEach(console.out()::println);
    }
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
