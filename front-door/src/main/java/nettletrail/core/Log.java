package nettletrail.core;

import java.time.Instant;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** The front door's log: one line per event, on standard error. */
public final class Log {
  private Log() {}

  /**
   * Routes the libraries' log records here. The standard formatter reads the time zone file for its
   * first line. With no file descriptor left, which is when an accept fails and Netty logs it, that
   * threw an Error and ended the event loop.
   */
  public static void install() {
    LogManager.getLogManager().reset();
    Logger.getLogger("")
        .addHandler(
            new Handler() {
              @Override
              public void publish(LogRecord record) {
                if (record.getThrown() == null) {
                  line(record.getMessage());
                } else {
                  line(record.getMessage(), record.getThrown());
                }
              }

              @Override
              public void flush() {}

              @Override
              public void close() {}
            });
  }

  public static void line(String text) {
    System.err.println(Instant.now() + " " + text);
  }

  public static void line(String text, Throwable fault) {
    StackTraceElement[] trace = fault.getStackTrace();
    line(text + ": " + fault + (trace.length > 0 ? " at " + trace[0] : ""));
  }
}
