package nettletrail.emulator.checker;

/**
 * An operation in a history.
 *
 * @param operation what was called, and the answer
 * @param invoked when the call was made
 * @param returned when the answer came; {@link #NEVER} if none came, and then the operation may
 *     have taken effect at any later time or not at all
 */
public record TimedOperation<O>(O operation, long invoked, long returned) {
  /** No answer came. */
  public static final long NEVER = Long.MAX_VALUE;

  /** True if the answer is known, so that the operation must have taken effect. */
  public boolean isAnswered() {
    return returned != NEVER;
  }
}
