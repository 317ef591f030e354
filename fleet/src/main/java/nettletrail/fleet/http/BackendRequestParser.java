package nettletrail.fleet.http;

import com.jsoniter.JsonIterator;
import com.jsoniter.ValueType;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import java.util.ArrayList;
import java.util.List;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;

/**
 * Parses the registration of a backend.
 *
 * <p>{@code carrier}, {@code address}, {@code state} and {@code call_seq} are required; the other
 * fields have defaults, and unknown fields are ignored.
 */
final class BackendRequestParser {
  private static final String STATE_READY = "open_for_mail";
  private static final String STATE_CLOSING = "closing";

  private BackendRequestParser() {}

  /**
   * Parses the body of a PUT.
   *
   * @param id the backend's id, from the path
   * @throws BadRequestException if the body isn't a JSON object, or a field is missing or has the
   *     wrong type
   */
  static Backend parse(String id, byte[] body) throws BadRequestException {
    try {
      Any document = JsonIterator.deserialize(body);
      if (document.valueType() != ValueType.OBJECT) {
        throw new BadRequestException("the body isn't a JSON object");
      }
      return backend(id, new JsonFields(document));
    } catch (JsonException | IndexOutOfBoundsException | ArithmeticException failure) {
      throw new BadRequestException("the body can't be read: " + failure.getMessage(), failure);
    }
  }

  /** The content of a DELETE: the id, the state GONE and the call sequence; all else is empty. */
  static Backend deregistered(String id, long callSequence) {
    return new Backend(id, "", "", "", "", 0, BackendState.GONE, 0L, "", List.of(), callSequence);
  }

  private static Backend backend(String id, JsonFields fields) throws BadRequestException {
    return new Backend(
        id,
        fields.requiredText("carrier"),
        fields.requiredText("address"),
        fields.text("zone"),
        fields.text("edition"),
        (int) Math.min(Integer.MAX_VALUE, fields.number("berths", 1)),
        state(fields.requiredText("state")),
        fields.number("cold_left_ms", 0),
        fields.text("stage"),
        modelNames(fields),
        fields.requiredNumber("call_seq"));
  }

  private static BackendState state(String text) throws BadRequestException {
    return switch (text) {
      case STATE_READY -> BackendState.READY;
      case STATE_CLOSING -> BackendState.CLOSING;
      default ->
          throw new BadRequestException(
              "state is '" + text + "': write " + STATE_READY + " or " + STATE_CLOSING);
    };
  }

  private static List<String> modelNames(JsonFields fields) throws BadRequestException {
    List<String> names = new ArrayList<>();
    for (Any model : fields.items("models")) {
      names.add(JsonFields.of(model, "an item of models").requiredText("name"));
    }
    return names;
  }
}
