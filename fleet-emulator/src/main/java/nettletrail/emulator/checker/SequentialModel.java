package nettletrail.emulator.checker;

/**
 * The sequential specification of a system: what its operations do one after another.
 *
 * @param <S> state; immutable, with equals and hashCode
 * @param <O> operation together with its answer
 */
public interface SequentialModel<S, O> {
  /** The state before the first operation. */
  S initial();

  /** The state after an operation; null if the operation can't have this answer in this state. */
  S apply(S state, O operation);
}
