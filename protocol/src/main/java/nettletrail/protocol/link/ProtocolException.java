package nettletrail.protocol.link;

/** A failure on a link, with the step and the peer at which it arose. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  private final LinkStep step;
  private final String peer;
  private final String reason;

  /** A failure without another exception behind it. */
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

  /** The peer's key, or its socket address as long as it has not said hello. */
  public String peer() {
    return peer;
  }
}
