package nettletrail.fleet.cli.demonstration;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import nettletrail.fleet.settings.FleetSettings;

/** A process of the fleet, started as by the deploy file. It terminates with this process. */
final class ChildProcess {
  private static final Path JAR = Path.of("fleet", "target", "nettletrail-fleet.jar");
  private static final long TERMINATION_TIMEOUT_S = 12;

  private final Process process;

  private ChildProcess(Process process) {
    this.process = process;
  }

  /**
   * Starts the role of a machine, whose settings file must exist.
   *
   * @param home the repository, which contains {@code deploy/}
   */
  static ChildProcess start(Path home, EmulatedMachine machine) throws IOException {
    Path java = Path.of(System.getProperty("java.home"), "bin", "java");
    ProcessBuilder builder =
        new ProcessBuilder(
            List.of(
                java.toString(),
                "@deploy/" + machine.role() + ".args",
                "-cp",
                classPath(home),
                SupervisedMain.class.getName(),
                machine.role()));
    builder.directory(home.toFile());
    builder.environment().put(FleetSettings.PATH_VARIABLE, machine.settingsFile().toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(machine.log().toFile()));
    return new ChildProcess(builder.start());
  }

  /**
   * The jar, by the same relative path as for the class data sharing archive, which is valid for
   * that path only; or the class path of this process, as in tests.
   */
  private static String classPath(Path home) throws IOException {
    try {
      Path own =
          Path.of(FleetSettings.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      Path jar = home.resolve(JAR);
      boolean runsFromJar = Files.exists(jar) && Files.isSameFile(own, jar);
      return runsFromJar ? JAR.toString() : System.getProperty("java.class.path");
    } catch (URISyntaxException malformed) {
      throw new IOException("the class path can't be found", malformed);
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Kills the process without a graceful shutdown, like a loss of power; returns when it has ended.
   */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Sends SIGTERM. */
  void requestTermination() {
    // Process.destroy would also close standard input, at which SupervisedMain halts the child.
    process.toHandle().destroy();
  }

  /**
   * Waits for the requested termination; kills the process after a time-out.
   *
   * @return empty if it terminated in time with exit code 0, else what it did instead
   */
  Optional<String> awaitTermination() throws InterruptedException {
    if (!process.waitFor(TERMINATION_TIMEOUT_S, TimeUnit.SECONDS)) {
      kill();
      return Optional.of("didn't end within " + TERMINATION_TIMEOUT_S + " s");
    }
    int code = process.exitValue();
    return code == 0 ? Optional.empty() : Optional.of("ended with code " + code);
  }
}
