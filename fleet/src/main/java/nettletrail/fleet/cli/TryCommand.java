package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import nettletrail.fleet.cli.demonstration.Demonstration;
import nettletrail.fleet.cli.demonstration.DemonstrationPlan;
import nettletrail.fleet.cli.demonstration.DemonstrationResult;

/** Runs a demonstration of the fleet on this computer. */
@Command(
    name = "try",
    description =
        "Starts a core of three and four doors as processes on loopback, with emulated backends and"
            + " clients; replaces a core machine, revokes a key, drains and crashes a backend,"
            + " restarts a door; tells what came of every request and whether each rule held.")
public final class TryCommand implements OperatorCommand {
  private static final String HOME_PROPERTY = "nettletrail.home";
  private static final int MIN_SECONDS = 12;

  @AirlineModule OutputOptions output = new OutputOptions();

  /** How long the clients send requests, in seconds. */
  @Option(
      name = "--seconds",
      title = "N",
      description = "How long clients send requests; 18 unless named, 12 at least.")
  int seconds = 18;

  @Override
  public ExitCode run(Console console) throws CommandException {
    if (seconds < MIN_SECONDS) {
      throw new CommandException(
          ExitCode.USAGE, CommandStep.READ, "--seconds", "name " + MIN_SECONDS + " at least");
    }
    Path home = Path.of(System.getProperty(HOME_PROPERTY, "."));
    try {
      Path directory = Files.createTempDirectory("nettletrail-try-");
      DemonstrationResult result =
          new Demonstration(
                  DemonstrationPlan.standard(seconds),
                  home,
                  directory,
                  line -> narrate(console, line))
              .run();
      print(result, directory, console);
      return result.isPassed() ? ExitCode.DONE : ExitCode.DIFFERENT;
    } catch (IOException failure) {
      throw new CommandException(
          ExitCode.DIFFERENT, CommandStep.RUN, "the demonstration", failure.toString(), failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new CommandException(
          ExitCode.DIFFERENT, CommandStep.RUN, "the demonstration", "interrupted", interrupted);
    }
  }

  private void narrate(Console console, String line) {
    if (!output.json) {
      console.out().println(line);
    }
  }

  private void print(DemonstrationResult result, Path directory, Console console)
      throws IOException {
    if (output.json) {
      console.out().println(result.toJson());
    } else {
      console.out().println();
      result.print(console.out());
      console.out().println();
      console
          .out()
          .println(
              result.isPassed()
                  ? "every rule held"
                  : "a rule was BROKEN; logs and disks are in " + directory);
    }
    if (result.isPassed()) {
      Demonstration.deleteDirectory(directory);
    }
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
