package nettletrail.fleet.cli.demonstration;

import com.jsoniter.JsonIterator;
import com.jsoniter.spi.JsonException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import nettletrail.fleet.cli.CommandException;
import nettletrail.fleet.cli.CoreClient;
import nettletrail.fleet.cli.CoreResponse;
import nettletrail.fleet.cli.RetryPolicy;

/** Changes the configuration of a demonstration and reads it back. Blocks. */
final class DemonstrationOperator {
  private static final int MAX_ATTEMPTS = 10;

  private final FleetProcesses fleet;

  DemonstrationOperator(FleetProcesses fleet) {
    this.fleet = fleet;
  }

  /** Puts the first configuration; retries until a core has accepted it. */
  void putFirst() throws IOException {
    change("PUT", 0, ConfigurationTemplate.first());
  }

  /**
   * Patches the configuration; retries the same request until there is a definite response.
   *
   * @param builtOn the current edition
   * @return when the change was acknowledged: steady clock, nanoseconds
   */
  long patch(long builtOn, String patch) throws IOException {
    change("PATCH", builtOn, patch);
    return System.nanoTime();
  }

  /** The edition of the configuration that a core returns. */
  long editionAt(EmulatedMachine core) throws IOException {
    try {
      CoreResponse response = client(List.of(core.controlAddress())).readConfiguration();
      if (!response.isSuccess()) {
        throw new IOException(core.name() + ": " + response.reason());
      }
      return JsonIterator.deserialize(response.body()).get("edition").toLong();
    } catch (CommandException | JsonException failure) {
      throw new IOException(core.name() + ": " + failure.getMessage(), failure);
    }
  }

  private void change(String method, long builtOn, String body) throws IOException {
    CommandException last = null;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        CoreResponse response =
            client(fleet.controlAddresses())
                .changeConfiguration(method, Long.toString(builtOn), bytes);
        if (!response.isSuccess()) {
          throw new IOException(method + " at " + response.core() + ": " + response.reason());
        }
        return;
      } catch (CommandException indefinite) {
        last = indefinite;
      }
    }
    throw new IOException("no core took the configuration: " + last.getMessage(), last);
  }

  private static CoreClient client(List<String> addresses) throws CommandException {
    return new CoreClient(addresses, RetryPolicy.standard());
  }
}
