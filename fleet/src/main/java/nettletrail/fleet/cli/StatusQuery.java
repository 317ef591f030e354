package nettletrail.fleet.cli;

import com.jsoniter.spi.JsonException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads a resource of the fleet's state from every core. Cores that don't respond are reported, and
 * the others still count. Used once.
 */
final class StatusQuery {
  private static final String CORE_FIELD = "core";

  private final List<String> addresses;
  private final String resource;
  private final List<JsonObject> rows = new ArrayList<>();
  private final List<String> failures = new ArrayList<>();

  StatusQuery(CoreOptions cores, String resource) {
    this.addresses = cores.addressList();
    this.resource = resource;
  }

  /**
   * Queries all cores in turn.
   *
   * @throws CommandException if an address is malformed, or if no core responded
   */
  StatusList run() throws CommandException {
    // Checks all addresses before the first request is sent.
    new CoreClient(addresses, RetryPolicy.withoutRetries());
    CommandException last = null;
    for (String address : addresses) {
      try {
        addRows(CoreOptions.clientWithoutRetries(address).readStatus(resource).requireSuccess());
      } catch (CommandException failure) {
        failures.add(failure.getMessage());
        last = failure;
      }
    }
    if (last != null && failures.size() == addresses.size()) {
      throw new CommandException(
          last.exitCode(),
          last.step(),
          String.join(",", addresses),
          String.join("; ", failures),
          last);
    }
    return new StatusList(resource, List.copyOf(rows), List.copyOf(failures));
  }

  private void addRows(CoreResponse response) throws CommandException {
    try {
      JsonObject json = JsonObject.parse(response.body());
      for (JsonObject entry : json.objects(resource)) {
        rows.add(json.only(CORE_FIELD).putAll(entry));
      }
    } catch (JsonException malformed) {
      throw response.malformed("its answer can't be read: " + malformed.getMessage(), malformed);
    }
  }
}
