package nettletrail.emulator.checker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that no door in touch uses a backend that still runs after its end was acknowledged and a
 * bound has passed.
 */
public final class DrainChecker {
  private final long bound;
  private final Consumer<Violation> violations;
  private final Map<String, Long> acknowledged = new HashMap<>();
  private final Set<String> ended = new HashSet<>();

  /**
   * @param bound how long a backend may be used after the acknowledgement, in nanoseconds
   * @param violations told what is broken
   */
  public DrainChecker(long bound, Consumer<Violation> violations) {
    this.bound = bound;
    this.violations = violations;
  }

  /** A core process acknowledged that a backend is closing or gone. */
  public void endAcknowledged(long instant, String backend) {
    if (!ended.contains(backend)) {
      acknowledged.putIfAbsent(backend, instant);
    }
  }

  /** A backend has ended, so that nothing reaches it any more. */
  public void ended(String backend) {
    acknowledged.remove(backend);
    ended.add(backend);
  }

  /** A door sent a request to a backend. */
  public void used(long instant, String door, boolean stable, String backend) {
    Long since = acknowledged.get(backend);
    if (stable && since != null && instant > since + bound) {
      String what = door + " used " + backend + ", whose end was acknowledged at " + since;
      violations.accept(new Violation(Guarantee.BACKEND_DRAINED, instant, what));
    }
  }
}
