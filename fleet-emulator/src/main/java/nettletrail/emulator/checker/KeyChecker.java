package nettletrail.emulator.checker;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Checks that no door takes a key after its removal was acknowledged and a bound has passed, in
 * touch or not.
 */
public final class KeyChecker {
  private final long bound;
  private final Consumer<Violation> violations;
  private final Map<String, Long> revoked = new HashMap<>();

  /**
   * @param bound how long a key may be taken after the acknowledgement, in nanoseconds
   * @param violations told what is broken
   */
  public KeyChecker(long bound, Consumer<Violation> violations) {
    this.bound = bound;
    this.violations = violations;
  }

  /** The operator has the acknowledgement of a configuration without the key. */
  public void revoked(long instant, String key) {
    revoked.putIfAbsent(key, instant);
  }

  /** A door took the key of a request that was sent at an instant. */
  public void accepted(long instant, String door, String key) {
    Long revokedAt = revoked.get(key);
    if (revokedAt != null && instant > revokedAt + bound) {
      String what = door + " took " + key + ", revoked at " + revokedAt;
      violations.accept(new Violation(Guarantee.KEY_REVOKED, instant, what));
    }
  }
}
