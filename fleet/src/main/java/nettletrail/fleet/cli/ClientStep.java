package nettletrail.fleet.cli;

/** The step of a command at which an error arose. */
enum ClientStep {
  /** Reading a file or the command line. */
  READ("reading"),
  /** Checking a document or a settings file. */
  CHECK("checking"),
  /** Calling a core. */
  CALL("calling"),
  /** Writing a file. */
  WRITE("writing"),
  /** Running a whole fleet. */
  RUN("running");

  private final String words;

  ClientStep(String words) {
    this.words = words;
  }

  /** The step in a message, before the name of the peer. */
  String words() {
    return words;
  }
}
