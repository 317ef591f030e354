package nettletrail.decision;

/**
 * Input that violates its format, such as settings or a frame; the message says what is wrong and
 * where.
 */
public final class InvalidInputException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public InvalidInputException(String message) {
    super(message);
  }
}
