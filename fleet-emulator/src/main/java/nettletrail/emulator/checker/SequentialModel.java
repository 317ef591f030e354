package nettletrail.emulator.checker;

/**
 * What a system does when its operations run one after another.
 *
 * @param <S> state; immutable, with equals and hashCode
 * @param <O> operation, with its answer
 */
public interface SequentialModel<S, O> {
  /** The state before the first operation. */
  S initial();

  /**
   * The state after an operation; null if the operation can't have had its answer in this state.
   */
  S apply(S state, O operation);
}
