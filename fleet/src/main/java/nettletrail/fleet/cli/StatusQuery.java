package nettletrail.fleet.cli;

import com.jsoniter.spi.JsonException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Asks every core for its view of the fleet's state; cores that don't answer are named, and the
 * others still count.
 */
final class StatusQuery {
  private static final String CORE_FIELD = "core";

  private final List<Map<String, Object>> rows = new ArrayList<>();
  private final List<String> failures = new ArrayList<>();

  private StatusQuery() {}

  /**
   * Asks all cores for a list.
   *
   * @param resource the list's name
   * @throws ClientException if none answered
   */
  static StatusQuery ask(CoreOptions cores, String resource) throws ClientException {
    StatusQuery query = new StatusQuery();
    ClientException last = null;
    List<String> addresses = cores.list();
    // Checks all addresses before any of them is called.
    new CoreClient(addresses, CoreClient.Pauses.once());
    for (String address : addresses) {
      try {
        query.add(
            new CoreClient(List.of(address), CoreClient.Pauses.once()).status(resource), resource);
      } catch (ClientException failure) {
        query.failures.add(failure.getMessage());
        last = failure;
      }
    }
    if (last != null && query.failures.size() == addresses.size()) {
      throw new ClientException(
          last.exitCode(),
          last.step(),
          String.join(",", addresses),
          String.join("; ", query.failures));
    }
    return query;
  }

  private void add(CoreAnswer answer, String resource) throws ClientException {
    if (!answer.isTaken()) {
      throw answer.refusal();
    }
    try {
      Map<String, Object> json = OrderedJson.readObject(answer.body());
      for (Object entry : (List<?>) json.get(resource)) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put(CORE_FIELD, json.get(CORE_FIELD));
        ((Map<?, ?>) entry).forEach((name, value) -> row.put((String) name, value));
        rows.add(row);
      }
    } catch (JsonException | ClassCastException | NullPointerException malformed) {
      throw new ClientException(
          ExitCode.NO_CLEAR_ANSWER,
          ClientStep.CALL,
          answer.core(),
          "its answer can't be read: " + malformed.getMessage());
    }
  }

  /** One row for each entry of each core that answered. */
  List<Map<String, Object>> rows() {
    return List.copyOf(rows);
  }

  /** Which core failed at which step, and why. */
  List<String> failures() {
    return List.copyOf(failures);
  }
}
