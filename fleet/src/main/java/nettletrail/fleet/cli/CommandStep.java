package nettletrail.fleet.cli;

/** What a command was doing when it failed. */
enum CommandStep {
  /** Reading a file or the command line. */
  READ("reading"),
  /** Checking a document or a settings file. */
  CHECK("checking"),
  /** Sending a request to a core. */
  CALL("calling"),
  /** Writing a file. */
  WRITE("writing"),
  /** Running a demonstration. */
  RUN("running");

  private final String label;

  CommandStep(String label) {
    this.label = label;
  }

  /** The step as it stands in error messages, before the name of the peer. */
  String label() {
    return label;
  }
}
