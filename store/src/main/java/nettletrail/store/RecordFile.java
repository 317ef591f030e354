package nettletrail.store;

/**
 * Reads and atomically replaces one file in {@link RecordFormat}: it is written under a temporary
 * name, synced, renamed, and its folder synced, so the final name never stands for an incomplete
 * file.
 */
final class RecordFile {

  private RecordFile() {}

  /**
   * Replaces a file durably.
   *
   * @throws StorageException at the first step that fails; then the earlier content, the new
   *     content or, if there was no such file, none is there
   */
  static void write(Directory directory, String name, RecordFormat.Kind kind, byte[] payload)
      throws StorageException {
    String temporary = StateLayout.temporaryFile(name);
    directory.write(temporary, RecordFormat.encode(kind, payload));
    directory.sync(temporary);
    directory.rename(temporary, name);
    directory.syncDirectory();
  }

  /**
   * Reads the payload of a file.
   *
   * @throws StorageException with step DECODE if the file is torn, damaged or of another kind; with
   *     step READ if the disk doesn't give it
   */
  static byte[] read(Directory directory, String name, RecordFormat.Kind kind)
      throws StorageException {
    return RecordFormat.decode(name, kind, directory.read(name));
  }
}
