package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Option;
import com.jsoniter.JsonIterator;
import com.jsoniter.ValueType;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import java.util.LinkedHashMap;
import java.util.Map;

/** Options of the commands that change the configuration, and how they send the change. */
public final class ChangeOptions {
  private static final String NO_CONFIGURATION = "0";

  /** The edition that the change builds on; empty to ask the core. */
  @Option(
      name = "--if-match",
      title = "EDITION",
      description =
          "The edition that the change builds on; 0 for the first. If it isn't named, it is the"
              + " one that the core holds now.")
  String ifMatch = "";

  /** Sends a change and says what came of it. */
  ExitCode send(CoreClient client, String method, byte[] body, boolean json, Console console)
      throws ClientException {
    String base = ifMatch.isEmpty() ? currentEdition(client) : ifMatch;
    CoreAnswer answer = client.change(method, base, body);
    if (!answer.isTaken()) {
      throw answer.refusal();
    }
    if (json) {
      Map<String, Object> result = new LinkedHashMap<>();
      result.put("taken", true);
      result.put("built_on", base);
      result.put("core", answer.core());
      console.json(result);
    } else {
      console.out().println("taken by " + answer.core() + ", built on edition " + base);
    }
    return ExitCode.DONE;
  }

  /** The edition that the core holds now; 0 if there is none. */
  static String currentEdition(CoreClient client) throws ClientException {
    CoreAnswer answer = client.get();
    if (answer.isNotFound()) {
      return NO_CONFIGURATION;
    }
    if (!answer.isTaken()) {
      throw answer.refusal();
    }
    return editionOf(answer);
  }

  private static String editionOf(CoreAnswer answer) throws ClientException {
    try {
      Any edition = JsonIterator.deserialize(answer.body()).get("edition");
      if (edition.valueType() == ValueType.NUMBER) {
        return Long.toString(edition.toLong());
      }
    } catch (JsonException | IndexOutOfBoundsException failure) {
      // Reported below, as a document without an edition.
    }
    throw new ClientException(
        ExitCode.NO_CLEAR_ANSWER, ClientStep.CALL, answer.core(), "it names no edition");
  }
}
