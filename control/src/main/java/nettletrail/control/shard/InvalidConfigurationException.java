package nettletrail.control.shard;

/** A document or a patch that can't be applied; the message tells the operator why. */
public final class InvalidConfigurationException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Rejects a document or a patch.
   *
   * @param reason for the operator
   * @param cause the error behind it, or null
   */
  public InvalidConfigurationException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
