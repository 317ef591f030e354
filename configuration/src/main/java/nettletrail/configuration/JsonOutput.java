package nettletrail.configuration;

import java.io.ByteArrayOutputStream;

/** Writes one JSON array or object from parts that are JSON texts already. */
final class JsonOutput {
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final char closing;
  private boolean empty = true;

  private JsonOutput(char opening, char closing) {
    this.closing = closing;
    bytes.write(opening);
  }

  static JsonOutput array() {
    return new JsonOutput('[', ']');
  }

  static JsonOutput object() {
    return new JsonOutput('{', '}');
  }

  void item(byte[] value) {
    separate();
    bytes.writeBytes(value);
  }

  /** Adds a member; the name comes with its quotes. */
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
    if (!empty) {
      bytes.write(',');
    }
    empty = false;
  }
}
