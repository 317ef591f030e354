package nettletrail.store;

import java.util.List;

/**
 * One folder of a disk, with the operations that the store needs. Implementations block; one thread
 * at a time. Names are plain file names without separators.
 *
 * <p>What survives a loss of power: the content of a file up to its last {@link #sync}, and the
 * creation, renaming and removal of names up to the last {@link #syncDirectory}; anything later may
 * be kept, lost or (content) torn, each on its own.
 */
public interface Directory {

  /** The names of the plain files in this folder, in no particular order. */
  List<String> list() throws StorageException;

  /** The complete content of a file; throws with step READ if there is no such file. */
  byte[] read(String name) throws StorageException;

  /** Creates the file or replaces its content; not durable before {@link #sync}. */
  void write(String name, byte[] content) throws StorageException;

  /** Makes the content of a file durable. */
  void sync(String name) throws StorageException;

  /**
   * Renames a file, replacing the target if there is one; not durable before {@link
   * #syncDirectory}.
   */
  void rename(String from, String to) throws StorageException;

  /** Removes a file; not durable before {@link #syncDirectory}. */
  void remove(String name) throws StorageException;

  /** Makes the names in this folder durable. */
  void syncDirectory() throws StorageException;

  /** The folder of that name inside this one, created durably if it does not exist. */
  Directory subdirectory(String name) throws StorageException;
}
