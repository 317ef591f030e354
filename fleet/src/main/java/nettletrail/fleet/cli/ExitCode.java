package nettletrail.fleet.cli;

/** The exit codes of the operators' command line. Part of its public interface. */
enum ExitCode {
  /** The command succeeded and found no faults or differences. */
  DONE(0, "done"),
  /** Faults or differences were found. */
  DIFFERENT(1, "faults or differences were found"),
  /** The command line is invalid, or a file can't be read. */
  USAGE(2, "the command line can't be understood or a file can't be read"),
  /** The core rejected the request; a retry would not help. */
  REFUSED(3, "the core refused the call"),
  /** No core gave a definite response; a change may or may not have been accepted. */
  NO_CLEAR_ANSWER(4, "no core gave a clear answer, so a change may or may not have been taken");

  private final int number;
  private final String meaning;

  ExitCode(int number, String meaning) {
    this.number = number;
    this.meaning = meaning;
  }

  /** The exit status of the process. */
  int number() {
    return number;
  }

  /** A description for the help. */
  String meaning() {
    return meaning;
  }
}
