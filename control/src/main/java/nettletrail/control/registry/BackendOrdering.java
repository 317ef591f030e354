package nettletrail.control.registry;

import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;

/**
 * The order in which reports about one backend replace each other, the same in every process: GONE
 * is final, then the higher call sequence wins, then the later state of the life cycle.
 * Commutative, so reports may arrive in any order.
 */
public final class BackendOrdering {
  private BackendOrdering() {}

  /** Whether {@code candidate} replaces {@code current}, which may be null. */
  public static boolean replaces(Backend candidate, Backend current) {
    if (current == null) {
      return true;
    }
    if (isGone(current) || isGone(candidate)) {
      return isGone(candidate) && !isGone(current);
    }
    if (candidate.getCallSequence() != current.getCallSequence()) {
      return candidate.getCallSequence() > current.getCallSequence();
    }
    return candidate.getState().ordinal() > current.getState().ordinal();
  }

  /**
   * Whether two reports say the same but for their call sequence and the time that the backend
   * stays slow.
   */
  public static boolean sameContent(Backend one, Backend other) {
    return one.getState() == other.getState()
        && one.getSlots() == other.getSlots()
        && samePlace(one, other)
        && sameSoftware(one, other);
  }

  private static boolean samePlace(Backend one, Backend other) {
    return one.getService().equals(other.getService())
        && one.getAddress().equals(other.getAddress())
        && one.getZone().equals(other.getZone());
  }

  private static boolean sameSoftware(Backend one, Backend other) {
    return one.getEdition().equals(other.getEdition())
        && one.getStage().equals(other.getStage())
        && one.getModels().equals(other.getModels());
  }

  /** Whether the backend has deleted itself. */
  public static boolean isGone(Backend backend) {
    return backend.getState() == BackendState.GONE;
  }
}
