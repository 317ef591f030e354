package nettletrail.fleet.cli;

/** The exit codes of the operators' client. */
enum ExitCode {
  /** Done; or nothing is wrong, or nothing differs. */
  DONE(0, "done"),
  /** What was checked has faults, or what was compared differs. */
  DIFFERENT(1, "faults or differences were found"),
  /** The command line can't be understood, or a file can't be read. */
  USAGE(2, "the command line can't be understood or a file can't be read"),
  /** The core refused the call; sending it again would not help. */
  REFUSED(3, "the core refused the call"),
  /** No core gave a clear answer; a change may or may not have been taken. */
  NO_CLEAR_ANSWER(4, "no core gave a clear answer, so a change may or may not have been taken");

  private final int number;
  private final String meaning;

  ExitCode(int number, String meaning) {
    this.number = number;
    this.meaning = meaning;
  }

  /** The number that the process ends with. */
  int number() {
    return number;
  }

  /** What the number says, for the help. */
  String meaning() {
    return meaning;
  }
}
