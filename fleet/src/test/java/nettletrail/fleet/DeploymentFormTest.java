package nettletrail.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import nettletrail.fleet.settings.FleetSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The deploy file, and that the binary accepts the arguments of its run lines. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class DeploymentFormTest {
  private static final Path HOME = Path.of("").toAbsolutePath().getParent();
  private static final Path DEPLOY_FILE = HOME.resolve("deploy/system.toml");
  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"java .*\\.jar (.*)\"$");

  /** How a process ended, and what it wrote. */
  private record End(int exitCode, String output) {}

  private static End run(String... arguments) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(Main.class.getName());
    command.addAll(List.of(arguments));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().remove(FleetSettings.PATH_VARIABLE);
    Process process = builder.start();
    byte[] output = process.getInputStream().readAllBytes();
    return new End(process.waitFor(), new String(output, StandardCharsets.UTF_8));
  }

  @Test
  void deployFileHasItsKeysAndValues() throws IOException {
    List<String> lines =
        Files.readAllLines(DEPLOY_FILE).stream()
            .filter(line -> !line.isBlank() && !line.startsWith("#"))
            .toList();
    ApprovedForm.verify("deploy-system.txt", lines);
  }

  @Test
  void runLinesAreAcceptedAndOnlyTheSettingsFileIsMissing() throws Exception {
    Matcher runLine = RUN_LINE.matcher(Files.readString(DEPLOY_FILE));
    int runLines = 0;
    while (runLine.find()) {
      runLines++;
      End end = run(runLine.group(1).split(" "));
      assertEquals(2, end.exitCode(), end.output());
      assertTrue(end.output().contains("NT104 can't start: "), end.output());
      assertTrue(end.output().contains("NETTLETRAIL_NODE_FILE"), end.output());
      assertFalse(end.output().contains("usage:"), end.output());
    }
    assertEquals(2, runLines);
  }

  @Test
  void otherArgumentsOfARoleAreRefusedWithItsUsage() throws Exception {
    for (String role : List.of("door", "core")) {
      End end = run(role, "--port", "9464");
      assertEquals(2, end.exitCode(), end.output());
      assertTrue(end.output().contains("usage: " + role + " [--metrics-port PORT]"), end.output());
    }
  }
}
