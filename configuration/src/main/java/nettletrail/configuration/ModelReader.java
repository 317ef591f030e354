package nettletrail.configuration;

import java.util.ArrayList;
import java.util.List;

/**
 * Reads the typed model from a parsed document. The names of fields in documents stand here and in
 * the readers of items: {@link RouteReader}, {@link ServiceReader} and {@link TenantReader}.
 */
final class ModelReader {
  /** The name of the list of routes in documents. */
  static final String ROUTES = "routes";

  /** The name of the list of services in documents. */
  static final String SERVICES = "carriers";

  /** The name of the list of tenants in documents. */
  static final String TENANTS = "senders";

  private ModelReader() {}

  /** Reads one item of a list. */
  @FunctionalInterface
  private interface ItemReader<T> {
    T read(FieldReader reader) throws ConfigurationException;
  }

  /**
   * Reads a document; the rules between items are not checked.
   *
   * @throws ConfigurationException if a required field is missing, a field has the wrong type, or a
   *     tenant lists a key twice
   */
  static ConfigurationModel read(JsonValue document) throws ConfigurationException {
    FieldReader reader = new FieldReader(document, "");
    reader.requirePresent(ROUTES);
    reader.requirePresent(SERVICES);
    return new ConfigurationModel(
        reader.requiredExactLong("edition"),
        readItems(reader.objects(ROUTES), Route.class, RouteReader::read),
        readItems(reader.objects(SERVICES), Service.class, ServiceReader::read),
        reader.has(TENANTS),
        readItems(reader.objects(TENANTS), Tenant.class, TenantReader::read),
        readLimits(reader.optionalObject("limits")));
  }

  /** Reads the items of a list, but for those that a {@link ParsedItemCache} had. */
  private static <T> List<T> readItems(
      List<FieldReader> readers, Class<T> type, ItemReader<T> itemReader)
      throws ConfigurationException {
    List<T> items = new ArrayList<>(readers.size());
    for (FieldReader reader : readers) {
      Object cached = reader.object().cachedModel();
      items.add(type.isInstance(cached) ? type.cast(cached) : itemReader.read(reader));
    }
    return items;
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
