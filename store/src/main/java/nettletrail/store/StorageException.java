package nettletrail.store;

import java.io.IOException;

/**
 * An operation on the disk failed; tells which step on which file. Whether the step took effect is
 * unknown.
 */
public final class StorageException extends IOException {

  private static final long serialVersionUID = 1L;

  /** The operations of the store that can fail. */
  public enum Step {
    LIST,
    READ,
    WRITE,
    SYNC,
    RENAME,
    REMOVE,
    SYNC_DIRECTORY,
    CREATE_DIRECTORY,
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

  /** The operation that failed. */
  public Step step() {
    return step;
  }

  /** The file or folder that it was applied to. */
  public String file() {
    return file;
  }
}
