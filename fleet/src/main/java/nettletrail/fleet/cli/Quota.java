package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.jsoniter.spi.JsonException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Shows a tenant's quota. */
@Command(
    name = "quota",
    description = "Shows a tenant's quota as the owner of its shard keeps it, in tokens.")
public final class Quota implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();

  @Arguments(title = "TENANT", description = "The tenant's name in the configuration.")
  @Required
  String tenant = "";

  @Override
  public ExitCode run(Console console) throws ClientException {
    String name = URLEncoder.encode(tenant, StandardCharsets.UTF_8).replace("+", "%20");
    CoreAnswer answer = core.client().status("quota/" + name);
    if (!answer.isTaken()) {
      throw answer.refusal();
    }
    Map<String, Object> fields = fields(answer);
    if (output.json) {
      console.json(fields);
    } else {
      fields.forEach((field, value) -> console.out().printf("%-14s %s%n", field, value));
    }
    return ExitCode.DONE;
  }

  private static Map<String, Object> fields(CoreAnswer answer) throws ClientException {
    try {
      return OrderedJson.readObject(answer.body());
    } catch (JsonException malformed) {
      throw new ClientException(
          ExitCode.NO_CLEAR_ANSWER, ClientStep.CALL, answer.core(), malformed.getMessage());
    }
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
