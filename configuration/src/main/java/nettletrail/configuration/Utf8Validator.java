package nettletrail.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Checks that bytes are well-formed UTF-8 (RFC 3629). */
final class Utf8Validator {
  /** The highest bit of each of eight bytes; ASCII has none of them. */
  private static final long NON_ASCII_BITS = 0x8080808080808080L;

  private Utf8Validator() {}

  /** Throws if the bytes are no UTF-8: overlong, truncated, or of a surrogate. */
  static void requireValid(byte[] text) throws CharacterCodingException {
    if (!isAscii(text)) {
      StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(text));
    }
  }

  /** Eight bytes at a time: nearly all documents are ASCII, and need no decoding then. */
  private static boolean isAscii(byte[] text) {
    ByteBuffer bytes = ByteBuffer.wrap(text);
    while (bytes.remaining() >= Long.BYTES) {
      if ((bytes.getLong() & NON_ASCII_BITS) != 0) {
        return false;
      }
    }
    while (bytes.hasRemaining()) {
      if (bytes.get() < 0) {
        return false;
      }
    }
    return true;
  }
}
