package nettletrail.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LogTest {
  private final PrintStream before = System.err;

  @AfterEach
  void restoreLogging() throws IOException {
    System.setErr(before);
    LogManager.getLogManager().readConfiguration();
  }

  @Test
  void libraryLogRecordIsWrittenAsOneLine() {
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
    Log.install();
    Logger.getLogger("io.netty")
        .log(Level.WARNING, "accept", new IOException("Too many open files"));
    String text = written.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("Z accept: java.io.IOException: Too many open files at "), text);
    assertTrue(text.lines().count() == 1, text);
  }
}
