package nettletrail.plans.ledger;

import java.io.IOException;
import java.util.List;

/**
 * The file system as a ledger uses it: one folder. An interface, so that tests can lose, tear and
 * delay what was written.
 */
public interface Disk {
  /** A file that is being written. */
  interface File extends AutoCloseable {
    /** Appends. What a failure leaves of it is unknown. */
    void write(byte[] bytes) throws IOException;

    /**
     * Makes everything written so far durable. After a failure nothing is known about what was not
     * synced before.
     */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }

  /** Names of the files in it, in no order. */
  List<String> names() throws IOException;

  /** Whether there is a file of this name. */
  boolean exists(String name) throws IOException;

  /** The complete content of a file. */
  byte[] read(String name) throws IOException;

  /**
   * Creates a file whose name is durable.
   *
   * @throws java.nio.file.FileAlreadyExistsException if there is a file of this name
   */
  File create(String name) throws IOException;

  /** Makes the content of a file durable, whoever wrote it. */
  void sync(String name) throws IOException;

  /** Deletes a file. */
  void delete(String name) throws IOException;

  /** About how many bytes can still be written. */
  long free() throws IOException;
}
