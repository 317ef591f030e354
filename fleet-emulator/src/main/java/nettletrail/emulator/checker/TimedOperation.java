package nettletrail.emulator.checker;

/**
 * An operation in a history.
 *
 * @param operation the call and its answer
 * @param invoked instant of the call
 * @param returned instant of the answer; {@link #NEVER} if there was none, and then the operation
 *     may have taken effect at any later time or not at all
 */
public record TimedOperation<O>(O operation, long invoked, long returned) {
  /** There was no answer. */
  public static final long NEVER = Long.MAX_VALUE;

  /** True if the answer is known, so that the operation must have taken effect. */
  public boolean isAnswered() {
    return returned != NEVER;
  }
}
