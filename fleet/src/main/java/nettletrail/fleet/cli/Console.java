package nettletrail.fleet.cli;

import java.io.PrintStream;

/**
 * The streams that a command writes to.
 *
 * @param out for results
 * @param err for errors
 */
public record Console(PrintStream out, PrintStream err) {
  /** Writes an error as text. */
  void printError(CommandException failure) {
    err.println(failure.getMessage());
  }

  /**
   * Writes a warning to the stream for errors.
   *
   * @param json whether as one JSON object on one line, else as text
   */
  void printWarning(String warning, boolean json) {
    err.println(json ? new JsonObject().put("warning", warning) : "warning: " + warning);
  }

  /** Writes an error as one JSON object on one line. */
  void printJsonError(CommandException failure) {
    JsonObject error =
        new JsonObject()
            .put("error", failure.getMessage())
            .put("step", failure.step().label())
            .put("peer", failure.peer())
            .put("exit_code", failure.exitCode().number());
    err.println(error);
  }
}
