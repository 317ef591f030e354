package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Option;

/** Whether a change is only shown. */
public final class DryRunOption {
  /** Changes nothing. */
  @Option(
      name = "--dry-run",
      description = "Only tells what would change; ends with 1 if anything would.")
  boolean dryRun;
}
