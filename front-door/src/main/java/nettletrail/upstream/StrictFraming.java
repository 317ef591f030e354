package nettletrail.upstream;

/**
 * Head errors that Netty's decoders accept and those of this project reject, because the end of a
 * message must be unambiguous (RFC 9112 section 6.3).
 */
public final class StrictFraming {
  private StrictFraming() {}

  /** A rejected head; the message contains nothing that the peer sent. */
  public static final class HeadFormatException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private HeadFormatException(String message) {
      super(message);
    }
  }

  /**
   * Two lengths may smuggle a second message in the body of the first: Netty drops one of them and
   * goes on.
   */
  public static HeadFormatException conflictingLengths() {
    return new HeadFormatException(
        "both Content-Length and Transfer-Encoding: a body has one of them");
  }

  /**
   * A folded line, or white space before the first line: another parser may read it as a separate
   * header.
   */
  public static HeadFormatException foldedLine() {
    return new HeadFormatException(
        "a line of the head begins with white space: each header must stand on a line of its own");
  }

  /**
   * Rejects a line without a colon, which Netty accepts as a header without a value.
   *
   * @param end index behind the header name in the line
   */
  public static void requireColon(byte[] line, int end) {
    if (end >= line.length || line[end] != ':') {
      throw new HeadFormatException("a header without a colon");
    }
  }
}
