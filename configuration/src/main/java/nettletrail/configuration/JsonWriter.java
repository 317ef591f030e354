package nettletrail.configuration;

import java.io.ByteArrayOutputStream;

/** Writes one JSON array or object from parts that are JSON texts already, without whitespace. */
final class JsonWriter {
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final char closing;
  private boolean isEmpty = true;

  private JsonWriter(char opening, char closing) {
    this.closing = closing;
    bytes.write(opening);
  }

  /** Starts an array. */
  static JsonWriter array() {
    return new JsonWriter('[', ']');
  }

  /** Starts an object. */
  static JsonWriter object() {
    return new JsonWriter('{', '}');
  }

  /** Adds an item of an array. */
  void item(byte[] value) {
    separate();
    bytes.writeBytes(value);
  }

  /** Adds a member of an object; the name is given with its quotes. */
  void member(byte[] name, byte[] value) {
    separate();
    bytes.writeBytes(name);
    bytes.write(':');
    bytes.writeBytes(value);
  }

  /** Ends the text; nothing may be added afterwards. */
  byte[] toBytes() {
    bytes.write(closing);
    return bytes.toByteArray();
  }

  private void separate() {
    if (!isEmpty) {
      bytes.write(',');
    }
    isEmpty = false;
  }
}
