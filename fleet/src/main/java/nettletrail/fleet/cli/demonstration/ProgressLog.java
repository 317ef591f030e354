package nettletrail.fleet.cli.demonstration;

import java.util.function.Consumer;

/** Reports the events of a demonstration with the time since its start. */
final class ProgressLog {
  private static final double NANOS_PER_SECOND = 1e9;

  private final Consumer<String> listener;
  private final long startedAt = System.nanoTime();

  /** Starts the time; the listener receives one line for each event. */
  ProgressLog(Consumer<String> listener) {
    this.listener = listener;
  }

  /** When the demonstration started: steady clock, nanoseconds. */
  long startedAt() {
    return startedAt;
  }

  void report(String event) {
    double seconds = (System.nanoTime() - startedAt) / NANOS_PER_SECOND;
    listener.accept(String.format("%5.1f s  %s", seconds, event));
  }
}
