package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Option;

/** The option that shows a change without making it. */
public final class DryRunOption {
  /** Whether nothing is changed. */
  @Option(
      name = "--dry-run",
      description = "Only tells what would change; ends with 1 if anything would.")
  boolean dryRun;

  /** Restores a document, or shows what that would change, and writes the result. */
  ExitCode run(ConfigurationRestorer restorer, OutputOptions output, Console console)
      throws CommandException {
    RestoreResult result = dryRun ? restorer.preview() : restorer.restore();
    output.write(result, console);
    return dryRun && !result.changes().isEmpty() ? ExitCode.DIFFERENT : ExitCode.DONE;
  }
}
