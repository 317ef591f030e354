package nettletrail.emulator.checker;

/** What operators do with the configuration, and what doors show of it. */
public sealed interface ConfigurationOperation {
  /** An operator's call that would replace the configuration. */
  record Write(ChangeRequest change, Answer answer) implements ConfigurationOperation {}

  /**
   * An operator's call that read the configuration.
   *
   * @param change the change whose configuration came back; {@link ChangeRequest#NONE} before the
   *     first
   */
  record Read(ChangeRequest change) implements ConfigurationOperation {}

  /** A door used what an order brought. */
  record Use(ChangeRequest change) implements ConfigurationOperation {}

  /** How a write was answered. */
  enum Answer {
    /** 200: it was taken, by this call or an earlier one. */
    ACKNOWLEDGED,
    /** 412: another version is current. */
    REJECTED,
    /** Anything else, or nothing. */
    INDETERMINATE
  }

  /**
   * One change, however often it is sent.
   *
   * @param id unique in a history
   * @param basedOn the edition in If-Match
   * @param edition the edition that it brings; two orders may bring the same
   */
  record ChangeRequest(int id, long basedOn, long edition) {
    /** Stands for the state before the first order. */
    public static final ChangeRequest NONE = new ChangeRequest(0, 0, 0);
  }
}
