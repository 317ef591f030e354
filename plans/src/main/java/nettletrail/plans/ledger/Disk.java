package nettletrail.plans.ledger;

import java.io.IOException;
import java.util.List;

/**
 * The file system as a ledger sees it: one folder. A seam, so that tests can lose, tear and delay
 * what was written.
 */
public interface Disk {
  /** A file that is being written. */
  interface File extends AutoCloseable {
    /** Appends. What a failure leaves of it is unknown. */
    void write(byte[] bytes) throws IOException;

    /**
     * Returns when all written so far lasts. After a failure nothing is known of what was not
     * synced before it.
     */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }

  /** Names of the files in it, in no order. */
  List<String> names() throws IOException;

  /** Whether there is a file of this name. */
  boolean exists(String name) throws IOException;

  byte[] read(String name) throws IOException;

  /**
   * A new file whose name lasts. @throws java.nio.file.FileAlreadyExistsException if there is one
   * of that name
   */
  File create(String name) throws IOException;

  /** Returns when all that this file holds lasts, whoever wrote it. */
  void sync(String name) throws IOException;

  void delete(String name) throws IOException;

  /** Bytes that can still be written, about. */
  long free() throws IOException;
}
