package nettletrail.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import nettletrail.protocol.event.LogEvent;
import org.junit.jupiter.api.Test;

/**
 * Every line of the fleet's log has an event, and every event a row in the operators' catalogue.
 */
class LogEventTest {
  private static final Path HOME = Path.of("").toAbsolutePath().getParent();
  private static final Path CATALOGUE = HOME.resolve("docs/operate/events.md");
  private static final List<String> MODULES =
      List.of("configuration", "protocol", "store", "control", "router", "fleet");
  private static final Pattern LOG_CALL =
      Pattern.compile("LOG\\.(error|warn|info|at\\w+)\\((.*?)\\);\n", Pattern.DOTALL);
  private static final Pattern CATALOGUE_ROW = Pattern.compile("(?m)^\\| (NT\\d+) \\|");

  private static List<Path> sources() throws IOException {
    List<Path> sources = new ArrayList<>();
    for (String module : MODULES) {
      try (Stream<Path> files = Files.walk(HOME.resolve(module).resolve("src/main/java"))) {
        files.filter(file -> file.toString().endsWith(".java")).forEach(sources::add);
      }
    }
    return sources;
  }

  @Test
  void everyLogCallNamesItsEventFirst() throws IOException {
    List<String> without = new ArrayList<>();
    int calls = 0;
    for (Path source : sources()) {
      Matcher call = LOG_CALL.matcher(Files.readString(source));
      while (call.find()) {
        calls++;
        String arguments = call.group(2).strip();
        if (!arguments.startsWith("\"{} ") || !arguments.contains("LogEvent.")) {
          without.add(source + ": " + call.group());
        }
      }
    }
    assertEquals(List.of(), without);
    assertTrue(calls >= LogEvent.values().length, calls + " calls");
  }

  @Test
  void catalogueHasEveryEventOnce() throws IOException {
    List<String> listed = new ArrayList<>();
    Matcher row = CATALOGUE_ROW.matcher(Files.readString(CATALOGUE));
    while (row.find()) {
      listed.add(row.group(1));
    }
    assertEquals(Arrays.stream(LogEvent.values()).map(LogEvent::id).toList(), listed);
  }

  @Test
  void idsAreUnique() {
    Set<String> ids = new HashSet<>();
    for (LogEvent event : LogEvent.values()) {
      assertTrue(ids.add(event.id()), event.id());
    }
  }

  @Test
  void everyEventIsLoggedSomewhere() throws IOException {
    StringBuilder all = new StringBuilder();
    for (Path source : sources()) {
      all.append(Files.readString(source));
    }
    for (LogEvent event : LogEvent.values()) {
      assertTrue(all.indexOf("LogEvent." + event.name()) >= 0, event.name());
    }
  }
}
