package nettletrail.fleet.cli.demonstration;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits until the processes of a fleet have reached a state. */
final class StartupCondition {
  private static final long TIMEOUT_MS = 30_000;
  private static final long POLL_INTERVAL_MS = 50;

  private final FleetProcesses fleet;
  private final ProgressLog progress;

  StartupCondition(FleetProcesses fleet, ProgressLog progress) {
    this.fleet = fleet;
    this.progress = progress;
  }

  /**
   * Blocks until a condition holds, and reports that.
   *
   * @param description what holds then
   * @throws IOException if it does not hold in time, or a process has terminated
   */
  void await(String description, BooleanSupplier condition)
      throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadline > 0) {
        throw new IOException("not within " + TIMEOUT_MS + " ms: " + description);
      }
      List<String> terminated = fleet.terminatedProcesses();
      if (!terminated.isEmpty()) {
        throw new IOException("ended at the start: " + terminated);
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
    progress.report(description);
  }
}
