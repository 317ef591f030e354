package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.jsoniter.JsonIterator;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Lists the changes of the configuration. */
@Command(
    name = "history",
    description =
        "Lists the last changes of the configuration, the oldest first, and of which of them a core"
            + " still has the whole document on its disk.")
public final class ConfigHistory implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();

  @Override
  public ExitCode run(Console console) throws ClientException {
    CoreClient client = core.client();
    Set<Long> onDisk = editionsOnDisk(client);
    List<Map<String, Object>> changes = changes(client, onDisk);
    if (output.json) {
      Map<String, Object> json = new LinkedHashMap<>();
      json.put("changes", changes);
      console.json(json);
    } else {
      TextTable.print(changes, console.out());
    }
    return ExitCode.DONE;
  }

  private static Set<Long> editionsOnDisk(CoreClient client) throws ClientException {
    CoreAnswer answer = taken(client.status("config/versions"));
    try {
      Set<Long> editions = new HashSet<>();
      for (Any version : JsonIterator.deserialize(answer.body()).get("versions")) {
        editions.add(version.get("edition").toLong());
      }
      return editions;
    } catch (JsonException malformed) {
      throw unreadable(answer, malformed);
    }
  }

  private static List<Map<String, Object>> changes(CoreClient client, Set<Long> onDisk)
      throws ClientException {
    CoreAnswer answer = taken(client.status("config/history"));
    try {
      List<Map<String, Object>> changes = new ArrayList<>();
      for (Any change : JsonIterator.deserialize(answer.body()).get("changes")) {
        long edition = change.get("edition").toLong();
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("edition", edition);
        row.put("on_disk", onDisk.contains(edition));
        row.put("order_sha256", change.get("order_sha256").toString());
        changes.add(row);
      }
      return changes;
    } catch (JsonException malformed) {
      throw unreadable(answer, malformed);
    }
  }

  private static CoreAnswer taken(CoreAnswer answer) throws ClientException {
    if (!answer.isTaken()) {
      throw answer.refusal();
    }
    return answer;
  }

  private static ClientException unreadable(CoreAnswer answer, JsonException malformed) {
    return new ClientException(
        ExitCode.NO_CLEAR_ANSWER, ClientStep.CALL, answer.core(), malformed.getMessage());
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
