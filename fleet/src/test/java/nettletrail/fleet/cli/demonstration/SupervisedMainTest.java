package nettletrail.fleet.cli.demonstration;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.fleet.settings.FleetSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A process of the demonstration terminates when its parent is killed. */
class SupervisedMainTest {
  private static final long TERMINATION_TIMEOUT_S = 20;

  /**
   * In place of the demonstration: starts a core, prints its process id, and waits to be killed.
   */
  static final class Parent {
    private Parent() {}

    public static void main(String[] arguments) throws Exception {
      Path settings = Path.of(arguments[0]);
      ProcessBuilder child = java(List.of(SupervisedMain.class.getName(), "core"));
      child.environment().put(FleetSettings.PATH_VARIABLE, settings.toString());
      child.redirectOutput(settings.resolveSibling("log").toFile());
      System.out.println(child.start().pid());
      Thread.currentThread().join();
    }
  }

  private static ProcessBuilder java(List<String> arguments) {
    Path java = Path.of(System.getProperty("java.home"), "bin", "java");
    ProcessBuilder builder =
        new ProcessBuilder(
            java.toString(), "-Xmx64m", "-cp", System.getProperty("java.class.path"));
    builder.command().addAll(arguments);
    return builder.redirectErrorStream(true);
  }

  @Test
  @Timeout(value = 60, unit = TimeUnit.SECONDS)
  void childTerminatesWhenItsParentIsKilled(@TempDir Path folder) throws Exception {
    String ip = LoopbackNetwork.findFree().nextAddress();
    EmulatedMachine core =
        new EmulatedMachine("core-1", EmulatedMachine.CORE, ip, DemonstrationPlan.zone(0), folder);
    Files.writeString(
        core.settingsFile(), SettingsTemplate.of(core, List.of(core.controlAddress()), true));
    Process parent = java(List.of(Parent.class.getName(), core.settingsFile().toString())).start();
    try (BufferedReader output =
        new BufferedReader(
            new InputStreamReader(parent.getInputStream(), StandardCharsets.UTF_8))) {
      ProcessHandle child = ProcessHandle.of(Long.parseLong(output.readLine())).orElseThrow();
      assertTrue(child.isAlive());
      parent.destroyForcibly().waitFor();
      child.onExit().get(TERMINATION_TIMEOUT_S, TimeUnit.SECONDS);
    } finally {
      parent.destroyForcibly();
    }
  }
}
