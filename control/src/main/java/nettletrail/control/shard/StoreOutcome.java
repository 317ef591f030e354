package nettletrail.control.shard;

/**
 * What became of a {@link CoreAction.StorePromise} or {@link CoreAction.StoreVersion}.
 *
 * @param stored true if it is durable
 * @param failure empty, or why it is not known to be durable
 */
public record StoreOutcome(boolean stored, String failure) {

  /** It is durable. */
  public static final StoreOutcome STORED = new StoreOutcome(true, "");

  /** It may or may not be on disk. */
  public static StoreOutcome failed(String reason) {
    return new StoreOutcome(false, reason);
  }
}
