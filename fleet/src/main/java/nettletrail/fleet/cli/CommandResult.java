package nettletrail.fleet.cli;

import java.io.PrintStream;

/** The result of a command, which an operator reads as text and a program as JSON. */
interface CommandResult {
  /** The result for {@code --json}; the names of its fields must not change. */
  JsonObject toJson();

  /** Prints the result as text, with a line break at its end. */
  void printText(PrintStream out);
}
