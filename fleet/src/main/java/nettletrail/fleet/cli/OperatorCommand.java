package nettletrail.fleet.cli;

/** A command of the operators' command line. Its fields are set by the parser. */
interface OperatorCommand {
  /**
   * Runs the command; blocks until it has ended.
   *
   * @return how it ended
   * @throws CommandException if it failed
   */
  ExitCode run(Console console) throws CommandException;

  /** Whether the output is JSON. */
  boolean isJson();
}
