package nettletrail.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import nettletrail.configuration.ConfigurationException.Step;

/**
 * One edition of the operator's configuration: its JSON text and what was read from it.
 *
 * <p>Immutable and safe for use by several threads. Byte arrays are not copied, whether passed in
 * or returned; they must not be changed.
 */
public final class ConfigurationDocument {
  private static final String SOURCE_NAME = "document";

  private final byte[] json;
  private final ConfigurationModel model;
  private final Map<String, List<ParsedItemCache.Item>> itemsByList;

  private ConfigurationDocument(
      byte[] json, ConfigurationModel model, Map<String, List<ParsedItemCache.Item>> itemsByList) {
    this.json = json;
    this.model = model;
    this.itemsByList = itemsByList;
  }

  /**
   * Parses a document. The rules between items are not checked here, see {@link
   * #requireValidAfter}.
   *
   * @throws ConfigurationException if the text is not one complete JSON object, a required field is
   *     missing, a field has the wrong type, or a tenant lists a key twice
   */
  public static ConfigurationDocument parse(byte[] json) throws ConfigurationException {
    return read(json, JsonParser.parse(json, SOURCE_NAME));
  }

  /**
   * Parses a document that has most of its routes and tenants in common with an earlier one, at the
   * cost of the difference. The outcome is the same as that of {@link #parse(byte[])}.
   *
   * @param earlier null if there is none
   * @throws ConfigurationException as the other method
   */
  public static ConfigurationDocument parse(byte[] json, ConfigurationDocument earlier)
      throws ConfigurationException {
    if (earlier == null) {
      return parse(json);
    }
    ParsedItemCache cache = new ParsedItemCache(earlier.json, earlier.itemsByList);
    return read(json, JsonParser.parse(json, SOURCE_NAME, cache));
  }

  private static ConfigurationDocument read(byte[] json, JsonValue value)
      throws ConfigurationException {
    ConfigurationModel model = ModelReader.read(value);
    Map<String, List<ParsedItemCache.Item>> items =
        Map.of(
            ModelReader.ROUTES, items(value, ModelReader.ROUTES, model.routes()),
            ModelReader.TENANTS, items(value, ModelReader.TENANTS, model.tenants()));
    return new ConfigurationDocument(json, model, items);
  }

  /** The byte ranges of a list's objects with what was read from each; both in the same order. */
  private static List<ParsedItemCache.Item> items(JsonValue document, String list, List<?> models) {
    List<ParsedItemCache.Item> items = new ArrayList<>(models.size());
    for (Object model : models) {
      JsonValue value = document.member(list).items().get(items.size());
      items.add(new ParsedItemCache.Item(value.start(), value.end(), model));
    }
    return items;
  }

  /** The number of this edition. */
  public long edition() {
    return model.edition();
  }

  /** The text: as parsed, or as made by a patch. */
  public byte[] json() {
    return json;
  }

  /**
   * The document after a patch of this one. Items that the patch does not name keep their bytes.
   *
   * @param patch an object with {@code edition}, {@code deliver} and {@code withdraw}
   * @throws ConfigurationException if the patch or its outcome can't be parsed; the outcome still
   *     has to be checked with {@link #requireValidAfter}
   */
  public ConfigurationDocument patched(byte[] patch) throws ConfigurationException {
    return parse(DocumentPatch.parse(patch).applyTo(JsonParser.parse(json, SOURCE_NAME)));
  }

  /**
   * Checks that this document may follow an edition.
   *
   * @param currentEdition the active edition; 0 if there is none
   * @throws ConfigurationException with step VALIDATE, naming the first rule that is broken
   */
  public void requireValidAfter(long currentEdition) throws ConfigurationException {
    if (edition() <= currentEdition) {
      throw new ConfigurationException(
          Step.VALIDATE, "edition", edition() + " is not above " + currentEdition);
    }
    ModelValidator.requireValid(model);
  }

  /** Whether requests need a key unless their route is open, see {@link RoutingTable}. */
  public boolean keysRequired() {
    return model.hasTenants();
  }

  /** The names of the routes that are served without a key, in the order of the document. */
  public List<String> routesWithoutKey() {
    return model.routes().stream()
        .filter(route -> route.open() || !keysRequired())
        .map(Route::name)
        .toList();
  }

  /** All tenants in the order of the document. */
  public List<Tenant> tenants() {
    return model.tenants();
  }

  ConfigurationModel model() {
    return model;
  }
}
