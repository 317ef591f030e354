package nettletrail.store;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The bytes of every file of the store: a header of magic number, format number, kind, payload
 * length and CRC32C of the payload (RFC 3720, appendix B.4), big endian, then the payload.
 */
final class RecordFormat {

  private static final int MAGIC = 0x4E54_4C53;
  private static final short FORMAT = 1;
  private static final int HEADER_BYTES =
      Integer.BYTES + Short.BYTES + Short.BYTES + Integer.BYTES + Integer.BYTES;

  /** What a file's payload is; the ordinal stands in the header. */
  enum Kind {
    IDENTITY,
    PROMISE,
    VERSION,
    WITHDRAWALS
  }

  private RecordFormat() {}

  /** Header and payload. */
  static byte[] encode(Kind kind, byte[] payload) {
    ByteBuffer file = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    file.putInt(MAGIC);
    file.putShort(FORMAT);
    file.putShort((short) kind.ordinal());
    file.putInt(payload.length);
    file.putInt(checksum(payload));
    file.put(payload);
    return file.array();
  }

  /**
   * The payload of a file.
   *
   * @param name of the file, for the error
   * @throws StorageException with step DECODE if the file is torn, damaged or of another kind
   */
  static byte[] decode(String name, Kind kind, byte[] content) throws StorageException {
    ByteBuffer file = ByteBuffer.wrap(content);
    if (file.remaining() < HEADER_BYTES) {
      throw StorageException.damaged(name, "shorter than its header");
    }
    requireKnownFormat(name, file);
    if (file.getShort() != kind.ordinal()) {
      throw StorageException.damaged(name, "not of kind " + kind);
    }
    int length = file.getInt();
    int checksum = file.getInt();
    if (length != file.remaining()) {
      throw StorageException.damaged(name, "wrong length");
    }
    byte[] payload = Arrays.copyOfRange(content, HEADER_BYTES, content.length);
    if (checksum != checksum(payload)) {
      throw StorageException.damaged(name, "wrong checksum");
    }
    return payload;
  }

  private static void requireKnownFormat(String name, ByteBuffer file) throws StorageException {
    if (file.getInt() != MAGIC) {
      throw StorageException.damaged(name, "no magic number");
    }
    short format = file.getShort();
    if (format != FORMAT) {
      throw StorageException.damaged(name, "unknown format " + format);
    }
  }

  private static int checksum(byte[] payload) {
    CRC32C checksum = new CRC32C();
    checksum.update(payload);
    return (int) checksum.getValue();
  }
}
