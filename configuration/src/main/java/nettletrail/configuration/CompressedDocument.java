package nettletrail.configuration;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import nettletrail.configuration.ConfigurationException.Step;

/**
 * The form of a document on disk and between processes: a zlib stream (RFC 1950).
 *
 * <p>A document is compressed once, by the owner that accepts it. Routes and tenants repeat the
 * names of their fields, so the stream has about an eighth of the text's size. A zlib stream begins
 * with a byte that no JSON text begins with, so documents that an earlier release wrote as plain
 * text are still read.
 */
public final class CompressedDocument {
  /**
   * The first byte of a zlib stream with deflate and a window of 32 KiB (RFC 1950, 2.2: CMF); JSON
   * can't begin with it.
   */
  private static final byte ZLIB_HEADER = 0x78;

  /** The longest text that is decompressed; bounds the memory that a malicious stream can take. */
  static final int MAX_TEXT_BYTES = 64 << 20;

  private static final int BUFFER_BYTES = 16 << 10;

  private CompressedDocument() {}

  /** Compresses a text; an empty one stays empty. */
  public static byte[] compress(byte[] text) {
    if (text.length == 0) {
      return text;
    }
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(text);
      deflater.finish();
      ByteArrayOutputStream compressed = new ByteArrayOutputStream(BUFFER_BYTES);
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        compressed.write(buffer, 0, deflater.deflate(buffer));
      }
      return compressed.toByteArray();
    } finally {
      deflater.end();
    }
  }

  /**
   * Decompresses a stored text. Bytes that are no zlib stream are plain text, and are returned as
   * they are.
   *
   * @param stored read from its position to its limit; neither is moved
   * @throws ConfigurationException with step PARSE if the stream is damaged, or its text is longer
   *     than 64 MiB
   */
  public static byte[] decompress(ByteBuffer stored) throws ConfigurationException {
    byte[] bytes = new byte[stored.remaining()];
    stored.duplicate().get(bytes);
    return bytes.length > 0 && bytes[0] == ZLIB_HEADER ? inflate(bytes) : bytes;
  }

  private static byte[] inflate(byte[] compressed) throws ConfigurationException {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(compressed);
      ByteArrayOutputStream text = new ByteArrayOutputStream(BUFFER_BYTES + compressed.length);
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished()) {
        int length = inflater.inflate(buffer);
        if (length == 0 && !inflater.finished()) {
          throw damaged("it ends early", null);
        }
        text.write(buffer, 0, length);
        if (text.size() > MAX_TEXT_BYTES) {
          throw damaged("its text is longer than " + MAX_TEXT_BYTES + " bytes", null);
        }
      }
      return text.toByteArray();
    } catch (DataFormatException malformed) {
      throw damaged(malformed.getMessage(), malformed);
    } finally {
      inflater.end();
    }
  }

  private static ConfigurationException damaged(String reason, Throwable cause) {
    return new ConfigurationException(Step.PARSE, "compressed document", reason, cause);
  }
}
