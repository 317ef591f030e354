package nettletrail.fleet.http;

/** A request that can't be understood; its message is for the caller. */
final class BadRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  BadRequestException(String message) {
    super(message);
  }

  BadRequestException(String message, Throwable cause) {
    super(message, cause);
  }
}
