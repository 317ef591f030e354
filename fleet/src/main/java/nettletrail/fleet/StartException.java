package nettletrail.fleet;

/** A process could not start; the message names the step that failed, and why. */
final class StartException extends Exception {
  private static final long serialVersionUID = 2;

  private final StartStep step;

  /**
   * A failed step.
   *
   * @param detail what the step was about, as an address, or the reason where there is no cause
   * @param cause null if the step failed by a check of this program
   */
  StartException(StartStep step, String detail, Throwable cause) {
    super(step + ": " + detail, cause);
    this.step = step;
  }

  /** The step that failed. */
  StartStep step() {
    return step;
  }
}
