package nettletrail.emulator.checker;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Checks that doors use an acknowledged configuration in time and never return to an older one. */
public final class ActivationChecker {
  private final long limitNanos;
  private final Consumer<Violation> violations;
  private final NavigableMap<Long, Long> acknowledged = new TreeMap<>();
  private final Map<String, Long> used = new HashMap<>();

  /**
   * @param limitNanos for how long a stable door may use an older configuration, in nanoseconds
   * @param violations receives the violations
   */
  public ActivationChecker(long limitNanos, Consumer<Violation> violations) {
    this.limitNanos = limitNanos;
    this.violations = violations;
  }

  /** An operator received the acknowledgement of an edition. */
  public void acknowledged(long instant, long edition) {
    acknowledged.merge(instant, edition, Math::max);
  }

  /**
   * A door used an edition.
   *
   * @param door the incarnation of the door's process, not just its machine
   */
  public void used(long instant, String door, boolean stable, long edition) {
    long before = used.getOrDefault(door, 0L);
    if (edition < before) {
      String what = door + " went back from " + before + " to " + edition;
      violations.accept(new Violation(Guarantee.CONFIGURATION_MONOTONIC, instant, what));
    }
    used.put(door, Math.max(before, edition));
    long due = due(instant);
    if (stable && edition < due) {
      String what = door + " uses " + edition + " though " + due + " was acknowledged";
      violations.accept(new Violation(Guarantee.CONFIGURATION_ACTIVATED, instant, what));
    }
  }

  private long due(long instant) {
    return acknowledged.headMap(instant - limitNanos).values().stream()
        .mapToLong(Long::longValue)
        .max()
        .orElse(0);
  }
}
