package nettletrail.emulator.checker;

/** An operation on the configuration by an operator, or its use by a door. */
public sealed interface ConfigurationOperation {
  /** An operator's call that submits a change. */
  record Write(ChangeRequest change, Answer answer) implements ConfigurationOperation {}

  /**
   * An operator's call that read the configuration.
   *
   * @param change the change whose configuration came back; {@link ChangeRequest#NONE} before the
   *     first
   */
  record Read(ChangeRequest change) implements ConfigurationOperation {}

  /** A door used the configuration of a change. */
  record Use(ChangeRequest change) implements ConfigurationOperation {}

  /** The answer to a write. */
  enum Answer {
    /** Status 200: it was committed by this call or an earlier one. */
    ACKNOWLEDGED,
    /** Status 412: another edition is current. */
    REJECTED,
    /** Any other status, or no answer: the outcome is unknown. */
    INDETERMINATE
  }
}
