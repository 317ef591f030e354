package nettletrail.fleet.cli;

/** One command of the operators' client, with its options set. */
interface OperatorCommand {
  /**
   * Runs the command.
   *
   * @return how it ended
   * @throws ClientException if it could not do what it was asked for
   */
  ExitCode run(Console console) throws ClientException;

  /** Whether results and errors are written as JSON. */
  boolean isJson();
}
