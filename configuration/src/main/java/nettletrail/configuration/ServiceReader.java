package nettletrail.configuration;

import java.util.ArrayList;
import java.util.List;

/** Reads a service of a document. */
final class ServiceReader {
  private static final int DEFAULT_CONNECTION_CAP = 64;
  private static final int DEFAULT_SLOTS = 16;
  private static final int DEFAULT_TOKENS_PER_EVENT = 1;
  private static final String DEFAULT_HEALTH_PATH = "/health";

  private ServiceReader() {}

  static Service read(FieldReader reader) throws ConfigurationException {
    return new Service(
        reader.requiredText("name"),
        reader.optionalText("health_path", DEFAULT_HEALTH_PATH),
        reader.positiveInt("conn_cap", DEFAULT_CONNECTION_CAP),
        readEngine(reader.optionalObject("engine")));
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
        reader.positiveInt("berths", DEFAULT_SLOTS),
        reader.optionalLong("kv_token_room", 0),
        reader.positiveInt("stride", DEFAULT_TOKENS_PER_EVENT),
        models);
  }
}
