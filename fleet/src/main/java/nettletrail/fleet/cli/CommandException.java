package nettletrail.fleet.cli;

/** Thrown by a command that failed; the message is printed for the operator. */
public final class CommandException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;
  private final CommandStep step;
  private final String peer;

  /**
   * Creates an error.
   *
   * @param exitCode what the process ends with
   * @param step what the command was doing
   * @param peer the core's address, the file's name or the option that the step concerned
   * @param reason what went wrong
   */
  CommandException(ExitCode exitCode, CommandStep step, String peer, String reason) {
    this(exitCode, step, peer, reason, null);
  }

  /** As above, with a cause, which may be null. */
  CommandException(
      ExitCode exitCode, CommandStep step, String peer, String reason, Throwable cause) {
    super(step.label() + " " + peer + ": " + reason, cause);
    this.exitCode = exitCode;
    this.step = step;
    this.peer = peer;
  }

  ExitCode exitCode() {
    return exitCode;
  }

  CommandStep step() {
    return step;
  }

  String peer() {
    return peer;
  }
}
