package nettletrail.fleet.cli;

import com.jsoniter.spi.JsonException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;

/**
 * Puts a document of earlier in force again, as a new edition that builds on the current one; an
 * edition number is never used twice.
 */
final class EarlierDocument {
  private final CoreClient client;
  private final Console console;
  private final boolean json;

  EarlierDocument(CoreClient client, Console console, boolean json) {
    this.client = client;
    this.console = console;
    this.json = json;
  }

  /**
   * Shows what the document would change of the current configuration and, unless this is a dry
   * run, puts it in force.
   *
   * @param name the document's origin, for errors
   */
  ExitCode restore(byte[] document, String name, boolean dryRun) throws ClientException {
    long current = Long.parseLong(ChangeOptions.currentEdition(client));
    byte[] renumbered = renumbered(document, current + 1, name);
    List<ItemChange> changes = current == 0 ? List.of() : changes(renumbered);
    if (dryRun) {
      print(changes, current, "nothing, this is a dry run");
      return changes.isEmpty() ? ExitCode.DONE : ExitCode.DIFFERENT;
    }
    CoreAnswer answer = client.change("PUT", Long.toString(current), renumbered);
    if (!answer.isTaken()) {
      throw answer.refusal();
    }
    print(changes, current, "edition " + (current + 1) + ", taken by " + answer.core());
    return ExitCode.DONE;
  }

  private static byte[] renumbered(byte[] document, long edition, String name)
      throws ClientException {
    try {
      byte[] patch = ("{\"edition\":" + edition + "}").getBytes(StandardCharsets.UTF_8);
      ConfigurationDocument renumbered = ConfigurationDocument.parse(document).patched(patch);
      renumbered.requireValidAfter(edition - 1);
      return renumbered.json();
    } catch (ConfigurationException failure) {
      throw new ClientException(ExitCode.DIFFERENT, ClientStep.CHECK, name, failure.getMessage());
    }
  }

  private List<ItemChange> changes(byte[] renumbered) throws ClientException {
    CoreAnswer current = client.get();
    if (!current.isTaken()) {
      throw current.refusal();
    }
    try {
      return ConfigurationDiff.between(current.body(), renumbered);
    } catch (JsonException malformed) {
      throw new ClientException(
          ExitCode.NO_CLEAR_ANSWER, ClientStep.CALL, current.core(), malformed.getMessage());
    }
  }

  private void print(List<ItemChange> changes, long current, String done) {
    if (json) {
      Map<String, Object> result = new LinkedHashMap<>();
      result.put("built_on", current);
      result.put("changes", changes.stream().map(ItemChange::toJson).toList());
      result.put("done", done);
      console.json(result);
      return;
    }
    changes.forEach(console.out()::println);
    console.out().println("done: " + done);
  }
}
