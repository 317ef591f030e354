package nettletrail.fleet.http;

/** Thrown for a malformed request; the message is sent to the client with status 400. */
final class BadRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  BadRequestException(String message) {
    super(message);
  }

  BadRequestException(String message, Throwable cause) {
    super(message, cause);
  }
}
