package nettletrail.emulator.checker;

/**
 * An operator's request to replace the configuration, however often it is submitted.
 *
 * @param id unique in a history
 * @param basedOn the edition in If-Match
 * @param edition the new edition; two requests may have the same
 */
public record ChangeRequest(int id, long basedOn, long edition) {
  /** Stands for the state before the first change. */
  public static final ChangeRequest NONE = new ChangeRequest(0, 0, 0);
}
