package nettletrail.control.door;

import java.util.HashSet;
import java.util.Set;
import nettletrail.control.registry.BackendOrdering;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;

/**
 * One backend in the {@link BackendView}: the newest registration by {@link BackendOrdering}, and
 * which core processes reported it. Instants are nanoseconds of the steady clock.
 */
final class KnownBackend {
  private static final int EXPECTED_CORE_PROCESSES = 4;

  private final Set<String> listedBy = new HashSet<>(EXPECTED_CORE_PROCESSES);
  private final Set<String> stateReportedBy = new HashSet<>(EXPECTED_CORE_PROCESSES);
  private Backend registration;
  private long lastListedAt;
  private long stateSince;

  /** The newest registration; null until the first {@link #replace}. */
  Backend registration() {
    return registration;
  }

  /** Whether the backend deregistered. */
  boolean isGone() {
    return BackendOrdering.isDeregistered(registration);
  }

  /** Whether the backend is closing or gone. */
  boolean isDeregistered() {
    return isDeregistration(registration);
  }

  /** Whether a registration says that the backend is closing or gone. */
  static boolean isDeregistration(Backend registration) {
    return registration.getState() != BackendState.READY;
  }

  /** A core process lists the backend, in whatever state. */
  void listed(String core, long now) {
    listedBy.add(core);
    lastListedAt = now;
  }

  /** A core process doesn't list the backend any more. */
  void unlisted(String core) {
    listedBy.remove(core);
  }

  boolean isListedBy(String core) {
    return listedBy.contains(core);
  }

  boolean isListedByAnyOf(Set<String> cores) {
    for (String core : listedBy) {
      if (cores.contains(core)) {
        return true;
      }
    }
    return false;
  }

  /** A core process that is followed still lists the backend. */
  void stillListed(long now) {
    lastListedAt = now;
  }

  /** When a followed core process last listed the backend. */
  long lastListedAt() {
    return lastListedAt;
  }

  /** A core process reported a registration that wins over the present one. */
  void replace(String core, Backend newer, long now) {
    if (registration == null || registration.getState() != newer.getState()) {
      stateReportedBy.clear();
      stateSince = now;
    }
    registration = newer;
    stateReportedBy.add(core);
  }

  /** A core process reported a registration that doesn't win, though its state may be the same. */
  void confirmState(String core, Backend reported) {
    if (reported.getState() == registration.getState()) {
      stateReportedBy.add(core);
    }
  }

  /** Forgets that this core process reported the present state. */
  void forgetStateReport(String core) {
    stateReportedBy.remove(core);
  }

  boolean isStateReportedBy(String core) {
    return stateReportedBy.contains(core);
  }

  /** For how long the door has known the present state, in nanoseconds. */
  long stateAge(long now) {
    return now - stateSince;
  }
}
