package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.jsoniter.spi.JsonException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Shows a tenant's quota. */
@Command(
    name = "quota",
    description = "Shows a tenant's quota as the owner of its shard keeps it, in tokens.")
public final class QuotaCommand implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();

  @Arguments(title = "TENANT", description = "The tenant's name in the configuration.")
  @Required
  String tenant = "";

  @Override
  public ExitCode run(Console console) throws CommandException {
    String name = URLEncoder.encode(tenant, StandardCharsets.UTF_8).replace("+", "%20");
    CoreResponse response = core.client().readStatus("quota/" + name).requireSuccess();
    output.write(new TenantQuota(fields(response)), console);
    return ExitCode.DONE;
  }

  private static JsonObject fields(CoreResponse response) throws CommandException {
    try {
      return JsonObject.parse(response.body());
    } catch (JsonException malformed) {
      throw response.malformed(malformed.getMessage(), malformed);
    }
  }

  /**
   * The quota of one tenant.
   *
   * @param fields the core's response, whose fields are printed as they are
   */
  private record TenantQuota(JsonObject fields) implements CommandResult {
    @Override
    public JsonObject toJson() {
      return fields;
    }

    @Override
    public void printText(PrintStream out) {
      fields.forEachText((field, value) -> out.printf("%-14s %s%n", field, value));
    }
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
