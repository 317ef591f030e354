package nettletrail.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import nettletrail.configuration.ConfigurationException.Step;

/** Reads the typed model from a parsed document; wire names stand only here. */
final class ModelReader {
  /** The name of the list of routes. */
  static final String ROUTES = "routes";

  /** The name of the list of tenants. */
  static final String TENANTS = "senders";

  private static final int DEFAULT_ROUTE_PRIORITY = 5;
  private static final int DEFAULT_CONNECTION_CAP = 64;
  private static final int DEFAULT_ENGINE_SLOTS = 16;
  private static final String DEFAULT_HEALTH_PATH = "/health";
  private static final String TOKEN_UNIT = "token_count";
  private static final int COMPLETE_SHARE = 1;

  private ModelReader() {}

  static ConfigurationModel read(JsonValue document) throws ConfigurationException {
    FieldReader reader = new FieldReader(document, "");
    reader.requirePresent(ROUTES);
    reader.requirePresent("carriers");
    return new ConfigurationModel(
        reader.requiredExactLong("edition"),
        readRoutes(reader.objects(ROUTES)),
        readServices(reader.objects("carriers")),
        readTenants(reader.objects(TENANTS)),
        readLimits(reader.optionalObject("limits")));
  }

  private static List<Route> readRoutes(List<FieldReader> readers) throws ConfigurationException {
    List<Route> routes = new ArrayList<>(readers.size());
    for (FieldReader reader : readers) {
      Object known = reader.object().model();
      routes.add(known instanceof Route route ? route : readRoute(reader));
    }
    return routes;
  }

  private static Route readRoute(FieldReader reader) throws ConfigurationException {
    int timeoutMs = reader.requiredInt("timeout_ms");
    return new Route(
        reader.requiredText("name"),
        HostNames.normalized(reader.requiredText("station")),
        reader.requiredText("lane_prefix"),
        readKind(reader),
        timeoutMs,
        reader.positiveInt("target_ms", timeoutMs),
        reader.optionalInt("priority", DEFAULT_ROUTE_PRIORITY),
        readShares(reader),
        reader.positiveInt("attempts", 1),
        reader.optionalBoolean("unstamped", false),
        reader.optionalBoolean("sticky", false),
        reader.optionalBoolean("resume", false),
        reader.optionalInt("gap_aim_ms", 0));
  }

  private static RouteKind readKind(FieldReader reader) throws ConfigurationException {
    String kind = reader.requiredText("kind");
    return switch (kind) {
      case "resendable" -> RouteKind.REPEATABLE;
      case "single_send" -> RouteKind.SINGLE_SEND;
      case "serial" -> RouteKind.STREAM;
      default ->
          throw new ConfigurationException(
              Step.READ_FIELDS, reader.placeOf("kind"), "unknown kind " + kind);
    };
  }

  /** A service named beside a split gets no requests, but must be known like the others. */
  private static List<ServiceShare> readShares(FieldReader reader) throws ConfigurationException {
    List<ServiceShare> shares = new ArrayList<>();
    for (FieldReader share : reader.objects("split")) {
      shares.add(new ServiceShare(share.requiredText("carrier"), share.requiredInt("share")));
    }
    if (reader.has("carrier")) {
      int weight = shares.isEmpty() ? COMPLETE_SHARE : 0;
      shares.add(new ServiceShare(reader.requiredText("carrier"), weight));
    }
    return shares;
  }

  private static List<Service> readServices(List<FieldReader> readers)
      throws ConfigurationException {
    List<Service> services = new ArrayList<>(readers.size());
    for (FieldReader reader : readers) {
      services.add(
          new Service(
              reader.requiredText("name"),
              reader.optionalText("health_path", DEFAULT_HEALTH_PATH),
              reader.positiveInt("conn_cap", DEFAULT_CONNECTION_CAP),
              readEngine(reader.optionalObject("engine"))));
    }
    return services;
  }

  private static Engine readEngine(FieldReader reader) throws ConfigurationException {
    if (reader == null) {
      return null;
    }
    List<String> models = new ArrayList<>();
    for (FieldReader model : reader.objects("models")) {
      models.add(model.requiredText("name"));
    }
    return new Engine(
        reader.positiveInt("berths", DEFAULT_ENGINE_SLOTS),
        reader.optionalLong("kv_token_room", 0),
        reader.positiveInt("stride", 1),
        models);
  }

  private static List<Tenant> readTenants(List<FieldReader> readers) throws ConfigurationException {
    List<Tenant> tenants = new ArrayList<>(readers.size());
    for (FieldReader reader : readers) {
      Object known = reader.object().model();
      tenants.add(known instanceof Tenant tenant ? tenant : readTenant(reader));
    }
    return tenants;
  }

  private static Tenant readTenant(FieldReader reader) throws ConfigurationException {
    return new Tenant(
        reader.requiredText("name"),
        readKeys(reader),
        reader.optionalInt("priority", Tenant.NO_PRIORITY),
        reader.optionalText("unit", "").equals(TOKEN_UNIT),
        reader.optionalLong("plain_tokens", 1),
        reader.optionalDouble("rate_per_s", 0),
        reader.optionalDouble("burst", 0));
  }

  private static Set<String> readKeys(FieldReader reader) throws ConfigurationException {
    Set<String> keys = new TreeSet<>();
    for (String key : reader.texts("passes")) {
      if (!keys.add(key)) {
        throw new ConfigurationException(
            Step.VALIDATE, reader.placeOf("passes"), "the same key stands twice");
      }
    }
    return keys;
  }

  private static Limits readLimits(FieldReader reader) throws ConfigurationException {
    if (reader == null) {
      return Limits.DEFAULT;
    }
    return new Limits(
        reader.positiveInt("header_bytes", Limits.DEFAULT.headerBytes()),
        reader.positiveInt("body_bytes", Limits.DEFAULT.bodyBytes()),
        reader.positiveInt("header_ms", Limits.DEFAULT.headerMs()),
        reader.positiveInt("idle_ms", Limits.DEFAULT.idleMs()));
  }
}
