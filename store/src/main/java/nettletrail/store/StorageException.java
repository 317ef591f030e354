package nettletrail.store;

import java.io.IOException;

/**
 * An operation on the disk failed: which step, on which file, and why. Whether a step that changes
 * the disk took effect is unknown.
 */
public final class StorageException extends IOException {

  private static final long serialVersionUID = 1L;

  /** The operations of the store that can fail. */
  public enum Step {
    /** Listing the files of a folder. */
    LIST,
    /** Reading a file's bytes. */
    READ,
    /** Encoding a record or writing a file's bytes. */
    WRITE,
    /** Making a file's content durable. */
    SYNC,
    /** Giving a file another name. */
    RENAME,
    /** Removing a file. */
    REMOVE,
    /** Making the names in a folder durable. */
    SYNC_DIRECTORY,
    /** Creating a folder. */
    CREATE_DIRECTORY,
    /** Reading a record from a file's bytes: the disk works, but the content is damaged. */
    DECODE
  }

  private final Step step;
  private final String file;

  /**
   * Names the step and the file at which the failure arose.
   *
   * @param cause the underlying failure, or null
   */
  public StorageException(Step step, String file, String reason, Throwable cause) {
    super(step + " " + file + ": " + reason, cause);
    this.step = step;
    this.file = file;
  }

  /** The failure of the operating system at a file. */
  static StorageException failed(Step step, Object file, IOException cause) {
    return new StorageException(step, file.toString(), cause.toString(), cause);
  }

  /** A file whose content isn't what the store wrote. */
  static StorageException damaged(String file, String reason) {
    return new StorageException(Step.DECODE, file, reason, null);
  }

  /** The operation that failed. */
  public Step step() {
    return step;
  }

  /** The file or folder that it was applied to. */
  public String file() {
    return file;
  }

  /** Returns if the file's content is damaged; throws this exception if the disk itself failed. */
  void requireDamage() throws StorageException {
    if (step != Step.DECODE) {
      throw this;
    }
  }
}
