package nettletrail.fleet.cli.demonstration;

import java.io.IOException;
import java.io.InputStream;
import nettletrail.fleet.Main;

/**
 * Runs a role of the fleet as a child process that terminates with its parent. The parent has the
 * other end of standard input open, which the operating system closes however the parent
 * terminates.
 */
public final class SupervisedMain {
  private static final int PARENT_TERMINATED = 70;

  private SupervisedMain() {}

  /** Starts a role, as {@link Main#main} does. */
  public static void main(String[] arguments) throws Exception {
    Thread watcher = new Thread(() -> haltAtEndOf(System.in), "parent-watcher");
    watcher.setDaemon(true);
    watcher.start();
    Main.main(arguments);
  }

  private static void haltAtEndOf(InputStream input) {
    try {
      while (input.read() >= 0) {
        // The content is ignored; only the end of the stream matters.
      }
    } catch (IOException closed) {
      // Treated like the end of the stream.
    }
    Runtime.getRuntime().halt(PARENT_TERMINATED);
  }
}
