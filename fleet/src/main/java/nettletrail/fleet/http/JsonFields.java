package nettletrail.fleet.http;

import com.jsoniter.ValueType;
import com.jsoniter.any.Any;
import java.util.List;

/**
 * Typed access to the fields of a JSON object in a request. A field that is null counts as absent;
 * one of another type is an error.
 */
final class JsonFields {
  private final Any object;

  /** The fields of a value whose type is OBJECT. */
  JsonFields(Any object) {
    this.object = object;
  }

  /**
   * The fields of a value that may be of any type.
   *
   * @param name describes the value in errors
   * @throws BadRequestException if the value isn't an object
   */
  static JsonFields of(Any value, String name) throws BadRequestException {
    requireType(value, name, ValueType.OBJECT);
    return new JsonFields(value);
  }

  /** A text; fails if the field is absent or empty. */
  String requiredText(String field) throws BadRequestException {
    String text = text(field);
    if (text.isEmpty()) {
      throw new BadRequestException(field + " is missing");
    }
    return text;
  }

  /** A text, empty if the field is absent. */
  String text(String field) throws BadRequestException {
    if (!isPresent(field)) {
      return "";
    }
    Any value = object.get(field);
    requireType(value, field, ValueType.STRING);
    return value.toString();
  }

  /** A number from 0, truncated to an integer; fails if the field is absent. */
  long requiredNumber(String field) throws BadRequestException {
    if (!isPresent(field)) {
      throw new BadRequestException(field + " is missing");
    }
    return number(field, 0);
  }

  /** A number from 0, truncated to an integer. */
  long number(String field, long defaultValue) throws BadRequestException {
    if (!isPresent(field)) {
      return defaultValue;
    }
    Any value = object.get(field);
    requireType(value, field, ValueType.NUMBER);
    double approximate = value.toDouble();
    if (!(approximate >= 0) || approximate >= Long.MAX_VALUE) {
      throw new BadRequestException(field + " is out of range");
    }
    return value.toBigDecimal().longValue();
  }

  /** The items of an array, in their order; none if the field is absent. */
  Iterable<Any> items(String field) throws BadRequestException {
    if (!isPresent(field)) {
      return List.of();
    }
    Any array = object.get(field);
    requireType(array, field, ValueType.ARRAY);
    return array;
  }

  private boolean isPresent(String field) {
    ValueType type = object.get(field).valueType();
    return type != ValueType.INVALID && type != ValueType.NULL;
  }

  private static void requireType(Any value, String name, ValueType type)
      throws BadRequestException {
    if (value.valueType() != type) {
      throw new BadRequestException(name + " isn't of type " + type);
    }
  }
}
