package nettletrail.configuration;

import java.util.Set;
import java.util.TreeSet;
import nettletrail.configuration.ConfigurationException.Step;

/** Reads a tenant of a document. */
final class TenantReader {
  private static final String TOKEN_UNIT = "token_count";
  private static final int DEFAULT_PLAIN_TOKENS = 1;

  private TenantReader() {}

  static Tenant read(FieldReader reader) throws ConfigurationException {
    return new Tenant(
        reader.requiredText("name"),
        readKeys(reader),
        reader.optionalInt("priority", Tenant.NO_PRIORITY),
        reader.optionalText("unit", "").equals(TOKEN_UNIT),
        reader.optionalLong("plain_tokens", DEFAULT_PLAIN_TOKENS),
        reader.optionalDouble("rate_per_s", 0),
        reader.optionalDouble("burst", 0));
  }

  private static Set<String> readKeys(FieldReader reader) throws ConfigurationException {
    Set<String> keys = new TreeSet<>();
    for (String key : reader.texts("passes")) {
      if (!keys.add(key)) {
        throw new ConfigurationException(
            Step.VALIDATE, reader.pathOf("passes"), "the same key stands twice");
      }
    }
    return keys;
  }
}
