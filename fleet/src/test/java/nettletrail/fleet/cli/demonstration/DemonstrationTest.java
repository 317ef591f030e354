package nettletrail.fleet.cli.demonstration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A small demonstration completes, every guarantee is kept, and no process is left behind. */
class DemonstrationTest {
  private static final int LOAD_SECONDS = 8;
  private static final Path HOME = Path.of("").toAbsolutePath().getParent();

  @Test
  @Timeout(value = 60, unit = TimeUnit.SECONDS)
  void smallFleetKeepsEveryGuarantee(@TempDir Path directory) throws Exception {
    List<String> events = new CopyOnWriteArrayList<>();
    Demonstration demonstration =
        new Demonstration(DemonstrationPlan.small(LOAD_SECONDS), HOME, directory, events::add);
    DemonstrationResult result = demonstration.run();
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    result.print(new PrintStream(printed, true, StandardCharsets.UTF_8));
    String text = printed.toString(StandardCharsets.UTF_8);
    assertTrue(result.isPassed(), text);
    assertEquals(RequestKind.values().length, result.requests().size());
    assertTrue(text.contains("held    no request ran twice"), text);
    assertTrue(events.stream().anyMatch(line -> line.contains("crashes")), events.toString());
    List<ProcessHandle> left = ProcessHandle.current().children().toList();
    assertTrue(left.stream().noneMatch(DemonstrationTest::isFleetProcess), left.toString());
  }

  private static boolean isFleetProcess(ProcessHandle child) {
    return child.info().commandLine().orElse("").contains(SupervisedMain.class.getName());
  }
}
