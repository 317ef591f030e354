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

/** The operator of a demonstration: changes the configuration and reads it back. */
final class DemonstrationOperator {
  private static final int ROUNDS = 10;

  private final FleetProcesses fleet;

  DemonstrationOperator(FleetProcesses fleet) {
    this.fleet = fleet;
  }

  /** Puts the first configuration; goes on until it is taken. */
  void putFirst() throws IOException {
    change("PUT", 0, ConfigurationText.first());
  }

  /**
   * Patches the configuration; the same order is sent until there is a clear response.
   *
   * @return when it was acknowledged, steady clock, nanoseconds
   */
  long patch(long builtOn, String patch) throws IOException {
    change("PATCH", builtOn, patch);
    return System.nanoTime();
  }

  /** The edition that a core reads back. */
  long editionAt(Machine core) throws IOException {
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
    for (int round = 0; round < ROUNDS; round++) {
      try {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        CoreResponse response =
            client(fleet.controlAddresses())
                .changeConfiguration(method, Long.toString(builtOn), bytes);
        if (!response.isSuccess()) {
          throw new IOException(method + " at " + response.core() + ": " + response.reason());
        }
        return;
      } catch (CommandException unclear) {
        last = unclear;
      }
    }
    throw new IOException("no core took the configuration: " + last.getMessage(), last);
  }

  private static CoreClient client(List<String> addresses) throws CommandException {
    return new CoreClient(addresses, RetryPolicy.standard());
  }
}
