package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.jsoniter.JsonIterator;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Lists the changes of the configuration. */
@Command(
    name = "history",
    description =
        "Lists the last changes of the configuration, the oldest first, and of which of them a core"
            + " still has the whole document on its disk.")
public final class ConfigHistoryCommand implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();

  @Override
  public ExitCode run(Console console) throws CommandException {
    CoreClient client = core.client();
    Set<Long> onDisk = committedOnDisk(client);
    output.write(new History(changes(client, onDisk)), console);
    return ExitCode.DONE;
  }

  private static Set<Long> committedOnDisk(CoreClient client) throws CommandException {
    CoreResponse response = client.readStatus("config/versions").requireSuccess();
    try {
      Set<Long> editions = new HashSet<>();
      for (Any version : JsonIterator.deserialize(response.body()).get("versions")) {
        if (version.get("committed").toBoolean()) {
          editions.add(version.get("edition").toLong());
        }
      }
      return editions;
    } catch (JsonException | IndexOutOfBoundsException | NumberFormatException malformed) {
      throw response.malformed(malformed.getMessage(), malformed);
    }
  }

  private static List<Change> changes(CoreClient client, Set<Long> onDisk) throws CommandException {
    CoreResponse response = client.readStatus("config/history").requireSuccess();
    try {
      List<Change> changes = new ArrayList<>();
      for (Any change : JsonIterator.deserialize(response.body()).get("changes")) {
        long edition = change.get("edition").toLong();
        String digest = change.get("order_sha256").toString();
        changes.add(new Change(edition, onDisk.contains(edition), digest));
      }
      return changes;
    } catch (JsonException | IndexOutOfBoundsException | NumberFormatException malformed) {
      throw response.malformed(malformed.getMessage(), malformed);
    }
  }

  /**
   * One change of the configuration.
   *
   * @param edition the edition that the change created
   * @param onDisk whether the core still has the document that this change made
   * @param requestDigest SHA-256 of the operator's request, in hexadecimal
   */
  private record Change(long edition, boolean onDisk, String requestDigest) {
    JsonObject toJson() {
      return new JsonObject()
          .put("edition", edition)
          .put("on_disk", onDisk)
          .put("order_sha256", requestDigest);
    }
  }

  /** The last changes, the oldest first. */
  private record History(List<Change> changes) implements CommandResult {
    @Override
    public JsonObject toJson() {
      return new JsonObject().putObjects("changes", rows());
    }

    @Override
    public void printText(PrintStream out) {
      TextTable.print(rows(), out);
    }

    private List<JsonObject> rows() {
      return changes.stream().map(Change::toJson).toList();
    }
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
