package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Option;
import com.jsoniter.JsonIterator;
import com.jsoniter.ValueType;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import java.io.PrintStream;

/** The option of commands that change the configuration, and the sending of the change. */
public final class ChangeOptions {
  private static final String NO_CONFIGURATION = "0";

  /** The edition that the change builds on; empty for the current one. */
  @Option(
      name = "--if-match",
      title = "EDITION",
      description =
          "The edition that the change builds on; 0 for the first. If it isn't named, it is the"
              + " one that the core holds now.")
  String ifMatch = "";

  /**
   * Sends a change and writes its result.
   *
   * @param method PUT or PATCH
   * @throws CommandException if the core rejected the change, or there is no definite response
   */
  ExitCode send(
      CoreClient client, String method, byte[] body, OutputOptions output, Console console)
      throws CommandException {
    String base = ifMatch.isEmpty() ? currentEdition(client) : ifMatch;
    CoreResponse response = client.changeConfiguration(method, base, body).requireSuccess();
    output.write(new AcceptedChange(base, response.core()), console);
    return ExitCode.DONE;
  }

  /** The edition of the core's configuration; 0 if it has none. */
  static String currentEdition(CoreClient client) throws CommandException {
    CoreResponse response = client.readConfiguration();
    if (response.isNotFound()) {
      return NO_CONFIGURATION;
    }
    return editionOf(response.requireSuccess());
  }

  private static String editionOf(CoreResponse response) throws CommandException {
    try {
      Any edition = JsonIterator.deserialize(response.body()).get("edition");
      if (edition.valueType() == ValueType.NUMBER) {
        return Long.toString(edition.toLong());
      }
    } catch (JsonException | IndexOutOfBoundsException failure) {
      // Reported below, like a document without an edition.
    }
    throw response.malformed("it names no edition", null);
  }

  /**
   * A change that a core has accepted.
   *
   * @param builtOn the edition that it builds on
   * @param core the address of that core
   */
  private record AcceptedChange(String builtOn, String core) implements CommandResult {
    @Override
    public JsonObject toJson() {
      return new JsonObject().put("taken", true).put("built_on", builtOn).put("core", core);
    }

    @Override
    public void printText(PrintStream out) {
      out.println("taken by " + core + ", built on edition " + builtOn);
    }
  }
}
