package nettletrail.fleet;

/** A process could not start; the message says at which step, and why. */
final class StartException extends Exception {
  private static final long serialVersionUID = 1;

  StartException(String step, String reason, Throwable cause) {
    super(step + ": " + reason, cause);
  }
}
