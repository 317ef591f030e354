package nettletrail.emulator.checker;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Checks that no door, stable or not, accepts a key for longer than a limit after its removal was
 * acknowledged.
 */
public final class KeyChecker {
  private final long limitNanos;
  private final Consumer<Violation> violations;
  private final Map<String, Long> revoked = new HashMap<>();

  /**
   * @param limitNanos for how long a key may be accepted after the acknowledgement, in nanoseconds
   * @param violations receives the violations
   */
  public KeyChecker(long limitNanos, Consumer<Violation> violations) {
    this.limitNanos = limitNanos;
    this.violations = violations;
  }

  /** An operator received the acknowledgement of a configuration without the key. */
  public void revoked(long instant, String key) {
    revoked.putIfAbsent(key, instant);
  }

  /** A door accepted a key. */
  public void accepted(long instant, String door, String key) {
    Long revokedAt = revoked.get(key);
    if (revokedAt != null && instant > revokedAt + limitNanos) {
      String what = door + " accepted " + key + ", revoked at " + revokedAt;
      violations.accept(new Violation(Guarantee.KEY_REVOKED, instant, what));
    }
  }
}
