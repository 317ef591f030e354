package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Option;

/** The options that choose the form of the output. */
public final class OutputOptions {
  /** Whether results and errors are one JSON object on one line each. */
  @Option(name = "--json", description = "Write one JSON object on one line instead of text.")
  boolean json;

  /** Writes a result in the chosen form. */
  void write(CommandResult result, Console console) {
    if (json) {
      console.out().println(result.toJson());
    } else {
      result.printText(console.out());
    }
  }
}
