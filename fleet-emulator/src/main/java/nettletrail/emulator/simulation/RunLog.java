package nettletrail.emulator.simulation;

import java.util.function.Consumer;

/** The log of a run: lines with their virtual time. No line is formatted without a reader. */
public final class RunLog {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final VirtualTime time;
  private Consumer<String> reader;

  RunLog(VirtualTime time) {
    this.time = time;
  }

  /** Passes all further lines to a reader. */
  public void readBy(Consumer<String> newReader) {
    reader = newReader;
  }

  /** True if there is a reader; checked where the arguments of a line are costly. */
  public boolean isRead() {
    return reader != null;
  }

  /** Adds a line, formatted as by {@link String#format}. */
  public void add(String format, Object... arguments) {
    if (reader != null) {
      String text = String.format(format, arguments);
      reader.accept(String.format("%9.4f %s", time.now() / NANOSECONDS_PER_SECOND, text));
    }
  }
}
