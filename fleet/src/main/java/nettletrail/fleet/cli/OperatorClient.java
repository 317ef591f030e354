package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;

/** The operators' command line. */
@Cli(
    name = "nettletrail-fleet",
    description =
        "Reads, writes and checks the fleet's configuration and settings; shows a fleet at work.",
    groups = {
      @Group(
          name = "config",
          description = "The configuration that the core holds.",
          commands = {
            ConfigGetCommand.class,
            ConfigPutCommand.class,
            ConfigPatchCommand.class,
            ConfigDiffCommand.class,
            ConfigCheckCommand.class,
            ConfigHistoryCommand.class,
            ConfigRollbackCommand.class
          }),
      @Group(
          name = "snapshot",
          description = "Copies of the configuration in files.",
          commands = {
            SnapshotSaveCommand.class,
            SnapshotVerifyCommand.class,
            SnapshotRestoreCommand.class
          })
    },
    commands = {
      TryCommand.class,
      DoorsCommand.class,
      BackendsCommand.class,
      ShardsCommand.class,
      LeasesCommand.class,
      QuotaCommand.class,
      CheckSettingsCommand.class,
      DiskCheckCommand.class
    })
public final class OperatorClient {
  private static final List<String> HELP_WORDS = List.of("help", "--help", "-h");

  private final Console console;
  private final com.github.rvesse.airline.Cli<OperatorCommand> parser =
      new com.github.rvesse.airline.Cli<>(OperatorClient.class);

  private OperatorClient(Console console) {
    this.console = console;
  }

  /**
   * Runs a command line with the process's standard streams.
   *
   * @param arguments the command with its options and arguments
   * @return the exit code, a number of {@link ExitCode}
   */
  public static int run(String... arguments) {
    return run(new Console(System.out, System.err), arguments);
  }

  /** As above, with other streams. */
  public static int run(Console console, String... arguments) {
    ExitCode code = new OperatorClient(console).runCommand(arguments);
    console.out().flush();
    console.err().flush();
    return code.number();
  }

  private ExitCode execute(OperatorCommand command) {
    try {
      return command.run(console);
    } catch (CommandException failure) {
      if (command.isJson()) {
        console.printJsonError(failure);
      } else {
        console.printError(failure);
      }
      return failure.exitCode();
    }
  }

  private ExitCode runCommand(String... arguments) {
    boolean help = Arrays.stream(arguments).anyMatch(HELP_WORDS::contains);
    if (help || arguments.length == 0) {
      return help(arguments);
    }
    OperatorCommand command;
    try {
      command = parser.parse(arguments);
    } catch (ParseException failure) {
      console.err().println(failure.getMessage());
      console.err().println("Try: help");
      return ExitCode.USAGE;
    }
    return execute(command);
  }

  private ExitCode help(String... arguments) {
    List<String> command =
        Arrays.stream(arguments).filter(word -> !HELP_WORDS.contains(word)).toList();
    PrintStream out = console.out();
    try {
      Help.help(parser.getMetadata(), command, out);
    } catch (IOException failure) {
      console.err().println("The help can't be written: " + failure);
      return ExitCode.USAGE;
    }
    out.println("EXIT CODES");
    for (ExitCode code : ExitCode.values()) {
      out.println("        " + code.number() + "  " + code.meaning());
    }
    return ExitCode.DONE;
  }
}
