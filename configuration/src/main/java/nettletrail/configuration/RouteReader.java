package nettletrail.configuration;

import java.util.ArrayList;
import java.util.List;
import nettletrail.configuration.ConfigurationException.Step;

/** Reads a route of a document. */
final class RouteReader {
  private static final int DEFAULT_PRIORITY = 5;
  private static final int DEFAULT_ATTEMPTS = 1;
  private static final int DEFAULT_GAP_MS = 0;
  private static final int WEIGHT_OF_ONLY_SERVICE = 1;

  private RouteReader() {}

  static Route read(FieldReader reader) throws ConfigurationException {
    int timeoutMs = reader.requiredInt("timeout_ms");
    return new Route(
        reader.requiredText("name"),
        HostNames.normalized(reader.requiredText("station")),
        reader.requiredText("lane_prefix"),
        readKind(reader),
        timeoutMs,
        reader.positiveInt("target_ms", timeoutMs),
        reader.optionalInt("priority", DEFAULT_PRIORITY),
        readShares(reader),
        reader.positiveInt("attempts", DEFAULT_ATTEMPTS),
        reader.optionalBoolean("unstamped", false),
        reader.optionalBoolean("sticky", false),
        reader.optionalBoolean("resume", false),
        reader.optionalInt("gap_aim_ms", DEFAULT_GAP_MS));
  }

  private static RouteKind readKind(FieldReader reader) throws ConfigurationException {
    String kind = reader.requiredText("kind");
    return switch (kind) {
      case "resendable" -> RouteKind.IDEMPOTENT;
      case "single_send" -> RouteKind.SINGLE_SEND;
      case "serial" -> RouteKind.STREAM;
      default ->
          throw new ConfigurationException(
              Step.READ_FIELDS, reader.pathOf("kind"), "unknown kind " + kind);
    };
  }

  /** A service named beside a split gets no requests, but has to exist like the others. */
  private static List<ServiceShare> readShares(FieldReader reader) throws ConfigurationException {
    List<ServiceShare> shares = new ArrayList<>();
    for (FieldReader share : reader.objects("split")) {
      shares.add(new ServiceShare(share.requiredText("carrier"), share.requiredInt("share")));
    }
    if (reader.has("carrier")) {
      int weight = shares.isEmpty() ? WEIGHT_OF_ONLY_SERVICE : 0;
      shares.add(new ServiceShare(reader.requiredText("carrier"), weight));
    }
    return shares;
  }
}
