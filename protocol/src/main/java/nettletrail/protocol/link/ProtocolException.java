package nettletrail.protocol.link;

/** A failure on a link: at which step, with which peer, and why. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  private final LinkStep step;
  private final String peer;
  private final String reason;

  /** A failure without an underlying exception. */
  public ProtocolException(LinkStep step, String peer, String reason) {
    this(step, peer, reason, null);
  }

  /** A failure with the exception that caused it; {@code cause} may be null. */
  public ProtocolException(LinkStep step, String peer, String reason, Throwable cause) {
    super(step + " with " + peer + ": " + reason, cause);
    this.step = step;
    this.peer = peer;
    this.reason = reason;
  }

  /** The step at which the failure arose. */
  public LinkStep step() {
    return step;
  }

  /** What went wrong, without step and peer. */
  public String reason() {
    return reason;
  }

  /** The peer's key; before its hello, the address that was dialled or accepted. */
  public String peer() {
    return peer;
  }
}
