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
 * Reads what a backend says about itself.
 *
 * <p>Needed are {@code carrier}, {@code address}, {@code state} and {@code call_seq}; other fields
 * have defaults, and fields that are not known are left alone.
 */
final class BackendParser {
  private static final String STATE_READY = "open_for_mail";
  private static final String STATE_CLOSING = "closing";

  private BackendParser() {}

  /**
   * Reads the body of a PUT.
   *
   * @throws BadRequestException if it is no JSON object, or a field lacks or is of another type
   */
  static Backend parse(String id, byte[] body) throws BadRequestException {
    try {
      Any document = JsonIterator.deserialize(body);
      if (document.valueType() != ValueType.OBJECT) {
        throw new BadRequestException("the body isn't a JSON object");
      }
      return backend(id, document);
    } catch (JsonException | IndexOutOfBoundsException | ArithmeticException failure) {
      throw new BadRequestException("the body can't be read: " + failure.getMessage(), failure);
    }
  }

  /** What a DELETE says: only that this backend, up to this call, is gone. */
  static Backend gone(String id, long callSequence) {
    return new Backend(id, "", "", "", "", 0, BackendState.GONE, 0L, "", List.of(), callSequence);
  }

  private static Backend backend(String id, Any document) throws BadRequestException {
    return new Backend(
        id,
        requiredText(document, "carrier"),
        requiredText(document, "address"),
        text(document, "zone"),
        text(document, "edition"),
        (int) Math.min(Integer.MAX_VALUE, number(document, "berths", 1)),
        state(requiredText(document, "state")),
        number(document, "cold_left_ms", 0),
        text(document, "stage"),
        models(document),
        requiredNumber(document, "call_seq"));
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

  private static List<String> models(Any document) throws BadRequestException {
    List<String> names = new ArrayList<>();
    if (!isPresent(document, "models")) {
      return names;
    }
    Any models = document.get("models");
    requireType(models, "models", ValueType.ARRAY);
    for (Any model : models) {
      requireType(model, "an item of models", ValueType.OBJECT);
      names.add(requiredText(model, "name"));
    }
    return names;
  }

  private static String requiredText(Any document, String field) throws BadRequestException {
    String text = text(document, field);
    if (text.isEmpty()) {
      throw new BadRequestException(field + " is missing");
    }
    return text;
  }

  private static String text(Any document, String field) throws BadRequestException {
    if (!isPresent(document, field)) {
      return "";
    }
    Any value = document.get(field);
    requireType(value, field, ValueType.STRING);
    return value.toString();
  }

  private static long requiredNumber(Any document, String field) throws BadRequestException {
    if (!isPresent(document, field)) {
      throw new BadRequestException(field + " is missing");
    }
    return number(document, field, 0);
  }

  /** A number of 0 or more, without its fraction. */
  private static long number(Any document, String field, long otherwise)
      throws BadRequestException {
    if (!isPresent(document, field)) {
      return otherwise;
    }
    Any value = document.get(field);
    requireType(value, field, ValueType.NUMBER);
    double approximate = value.toDouble();
    if (!(approximate >= 0) || approximate >= Long.MAX_VALUE) {
      throw new BadRequestException(field + " is out of range");
    }
    return value.toBigDecimal().longValue();
  }

  private static boolean isPresent(Any document, String field) {
    ValueType type = document.get(field).valueType();
    return type != ValueType.INVALID && type != ValueType.NULL;
  }

  private static void requireType(Any value, String field, ValueType type)
      throws BadRequestException {
    if (value.valueType() != type) {
      throw new BadRequestException(field + " isn't of type " + type);
    }
  }
}
