package nettletrail.emulator.checker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that no stable door uses a running backend for longer than a limit after its closing was
 * acknowledged.
 */
public final class DrainChecker {
  private final long limitNanos;
  private final Consumer<Violation> violations;
  private final Map<String, Long> acknowledged = new HashMap<>();
  private final Set<String> ended = new HashSet<>();

  /**
   * @param limitNanos for how long a backend may be used after the acknowledgement, in nanoseconds
   * @param violations receives the violations
   */
  public DrainChecker(long limitNanos, Consumer<Violation> violations) {
    this.limitNanos = limitNanos;
    this.violations = violations;
  }

  /** A core process acknowledged that a backend is closing or deleted. */
  public void endAcknowledged(long instant, String backend) {
    if (!ended.contains(backend)) {
      acknowledged.putIfAbsent(backend, instant);
    }
  }

  /** A backend has ended; requests to it fail from now on. */
  public void ended(String backend) {
    acknowledged.remove(backend);
    ended.add(backend);
  }

  /** A door sent a request to a backend. */
  public void used(long instant, String door, boolean stable, String backend) {
    Long since = acknowledged.get(backend);
    if (stable && since != null && instant > since + limitNanos) {
      String what = door + " used " + backend + ", whose end was acknowledged at " + since;
      violations.accept(new Violation(Guarantee.BACKEND_DRAINED, instant, what));
    }
  }
}
