package nettletrail.control.shard;

/** A document or a patch that must not come into force; the message says why, for the operator. */
public final class InvalidConfigurationException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Says what is wrong. */
  public InvalidConfigurationException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
