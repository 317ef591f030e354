package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Option;

/** Options about what a command writes. */
public final class OutputOptions {
  /** Results and errors as one JSON object on one line each. */
  @Option(name = "--json", description = "Write one JSON object on one line instead of text.")
  boolean json;
}
