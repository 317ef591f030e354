package nettletrail.control.shard;

/**
 * The outcome of a {@link CoreAction.StorePromise} or {@link CoreAction.StoreVersion}.
 *
 * @param stored true if it is durable
 * @param failure why it is not known to be durable, for operators; empty if it is
 */
public record StoreOutcome(boolean stored, String failure) {

  /** It is durable. */
  public static final StoreOutcome STORED = new StoreOutcome(true, "");

  /** It failed, and may or may not be durable. */
  public static StoreOutcome failed(String reason) {
    return new StoreOutcome(false, reason);
  }
}
