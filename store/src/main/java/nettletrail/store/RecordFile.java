package nettletrail.store;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The format of every file of the store: a header of magic number, format number, kind, payload
 * length and CRC32C of the payload, then the payload. Written under a temporary name, synced,
 * renamed, and the folder synced.
 */
final class RecordFile {

  /** Suffix of a file that is still being written; such files are removed at the next start. */
  static final String TEMPORARY_SUFFIX = ".tmp";

  private static final int MAGIC = 0x4E54_4C53;
  private static final short FORMAT = 1;
  private static final int HEADER_BYTES = 4 + 2 + 2 + 4 + 4;

  /** What a file's payload is. */
  enum Kind {
    IDENTITY,
    PROMISE,
    VERSION
  }

  private RecordFile() {}

  /**
   * Writes a file durably under its final name, or throws; then the old content, the new one or
   * none is there.
   */
  static void write(Directory directory, String name, Kind kind, byte[] payload)
      throws StorageException {
    String temporary = name + TEMPORARY_SUFFIX;
    directory.write(temporary, encode(kind, payload));
    directory.sync(temporary);
    directory.rename(temporary, name);
    directory.syncDirectory();
  }

  /** Reads a payload; throws with step DECODE if the file is torn, damaged or of another kind. */
  static byte[] read(Directory directory, String name, Kind kind) throws StorageException {
    ByteBuffer file = ByteBuffer.wrap(directory.read(name));
    if (file.remaining() < HEADER_BYTES) {
      throw damaged(name, "shorter than its header");
    }
    if (file.getInt() != MAGIC) {
      throw damaged(name, "no magic number");
    }
    short format = file.getShort();
    if (format != FORMAT) {
      throw damaged(name, "unknown format " + format);
    }
    if (file.getShort() != kind.ordinal()) {
      throw damaged(name, "not of kind " + kind);
    }
    int length = file.getInt();
    int checksum = file.getInt();
    if (length != file.remaining()) {
      throw damaged(name, "wrong length");
    }
    byte[] payload = Arrays.copyOfRange(file.array(), file.position(), file.limit());
    if (checksum != checksum(payload)) {
      throw damaged(name, "wrong checksum");
    }
    return payload;
  }

  private static byte[] encode(Kind kind, byte[] payload) {
    ByteBuffer file = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    file.putInt(MAGIC);
    file.putShort(FORMAT);
    file.putShort((short) kind.ordinal());
    file.putInt(payload.length);
    file.putInt(checksum(payload));
    file.put(payload);
    return file.array();
  }

  private static int checksum(byte[] payload) {
    CRC32C checksum = new CRC32C();
    checksum.update(payload);
    return (int) checksum.getValue();
  }

  private static StorageException damaged(String name, String reason) {
    return new StorageException(StorageException.Step.DECODE, name, reason, null);
  }
}
