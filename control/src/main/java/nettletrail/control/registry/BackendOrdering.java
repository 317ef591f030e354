package nettletrail.control.registry;

import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;

/**
 * The order in which reports about one backend replace each other, the same in every process: GONE
 * is final, then the higher call sequence wins, then the later state of the life cycle.
 * Commutative, associative and idempotent, so reports may arrive in any order and more than once.
 */
public final class BackendOrdering {
  private BackendOrdering() {}

  /** Whether {@code candidate} replaces {@code current}, which may be null. */
  public static boolean replaces(Backend candidate, Backend current) {
    if (current == null) {
      return true;
    }
    if (isDeregistered(current) || isDeregistered(candidate)) {
      return isDeregistered(candidate) && !isDeregistered(current);
    }
    if (candidate.getCallSequence() != current.getCallSequence()) {
      return candidate.getCallSequence() > current.getCallSequence();
    }
    return candidate.getState().ordinal() > current.getState().ordinal();
  }

  /**
   * Whether two reports are equal but for their call sequence and the time that is left of the
   * backend's slow start.
   */
  public static boolean sameContent(Backend one, Backend other) {
    return one.getState() == other.getState()
        && one.getSlots() == other.getSlots()
        && sameEndpoint(one, other)
        && sameSoftware(one, other);
  }

  private static boolean sameEndpoint(Backend one, Backend other) {
    return one.getService().equals(other.getService())
        && one.getAddress().equals(other.getAddress())
        && one.getZone().equals(other.getZone());
  }

  private static boolean sameSoftware(Backend one, Backend other) {
    return one.getEdition().equals(other.getEdition())
        && one.getStage().equals(other.getStage())
        && one.getModels().equals(other.getModels());
  }

  /** Whether the backend has deregistered itself; its record is a tombstone. */
  public static boolean isDeregistered(Backend backend) {
    return backend.getState() == BackendState.GONE;
  }

  /**
   * Whether the backend takes no new requests any more: it is draining (CLOSING) or deregistered
   * (GONE).
   */
  public static boolean isWithdrawn(Backend backend) {
    return backend.getState() != BackendState.READY;
  }
}
