package nettletrail.emulator.checker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each checker finds the violation of its guarantee and accepts what is allowed. */
class CheckersTest {
  private static final long SECOND = 1_000_000_000L;

  private final List<Violation> violations = new ArrayList<>();

  @Test
  void findsTwoOwners() {
    OwnershipChecker checker = new OwnershipChecker(violations::add);
    checker.leaseOwners(1, 0, List.of());
    checker.leaseOwners(2, 0, List.of("core-1"));
    assertBroken();
    checker.leaseOwners(3, 0, List.of("core-1", "core-2"));
    assertBroken(Guarantee.SINGLE_OWNER);
  }

  @Test
  void findsATokenOfTwoProcesses() {
    OwnershipChecker checker = new OwnershipChecker(violations::add);
    checker.tokenUsed(1, 0, "3/core-1", "core-1 incarnation 1");
    checker.tokenUsed(2, 0, "3/core-1", "core-1 incarnation 1");
    checker.tokenUsed(2, 1, "3/core-1", "core-1 incarnation 2");
    assertBroken();
    checker.tokenUsed(3, 0, "3/core-1", "core-1 incarnation 2");
    assertBroken(Guarantee.FENCING_TOKEN_UNIQUE);
  }

  @Test
  void findsTwoValuesUnderOneTokenAndSequence() {
    OwnershipChecker checker = new OwnershipChecker(violations::add);
    checker.written(1, 0, "3/core-1", 9, "a");
    checker.written(2, 0, "3/core-1", 9, "a");
    checker.written(3, 0, "3/core-1", 10, "b");
    assertBroken();
    checker.written(4, 0, "3/core-1", 9, "b");
    assertBroken(Guarantee.FENCING_TOKEN_UNIQUE);
  }

  @Test
  void findsAWindowOverTheQuota() {
    QuotaChecker.Limit limit = new QuotaChecker.Limit(10, 20, 2 * SECOND, 0.1, 6);
    QuotaChecker checker = new QuotaChecker("tenant", limit, violations::add);
    checker.used(0, 50);
    checker.used(2 * SECOND, 50);
    assertBroken();
    checker.used(3 * SECOND, 1);
    assertBroken(Guarantee.QUOTA_WINDOW);
    assertEquals(51, checker.maxUsed());
  }

  @Test
  void findsARevokedKeyInUse() {
    KeyChecker checker = new KeyChecker(5 * SECOND, violations::add);
    checker.accepted(SECOND, "door-1", "key");
    checker.revoked(2 * SECOND, "key");
    checker.accepted(7 * SECOND, "door-1", "key");
    checker.accepted(8 * SECOND, "door-1", "other");
    assertBroken();
    checker.accepted(7 * SECOND + 1, "door-1", "key");
    assertBroken(Guarantee.KEY_REVOKED);
  }

  @Test
  void findsADrainedBackendInUse() {
    DrainChecker checker = new DrainChecker(2 * SECOND, violations::add);
    checker.endAcknowledged(SECOND, "backend");
    checker.used(3 * SECOND, "door-1", true, "backend");
    checker.used(4 * SECOND, "door-2", false, "backend");
    assertBroken();
    checker.used(4 * SECOND, "door-1", true, "backend");
    assertBroken(Guarantee.BACKEND_DRAINED);
  }

  @Test
  void letsDoorsTryABackendThatHasEnded() {
    DrainChecker checker = new DrainChecker(2 * SECOND, violations::add);
    checker.endAcknowledged(SECOND, "backend");
    checker.ended("backend");
    checker.endAcknowledged(4 * SECOND, "backend");
    checker.used(9 * SECOND, "door-1", true, "backend");
    assertBroken();
  }

  @Test
  void findsADoorThatGoesBack() {
    ActivationChecker checker = new ActivationChecker(2 * SECOND, violations::add);
    checker.used(1, "door-1 incarnation 1", true, 5);
    checker.used(2, "door-1 incarnation 2", true, 4);
    assertBroken();
    checker.used(3, "door-1 incarnation 1", true, 4);
    assertBroken(Guarantee.CONFIGURATION_MONOTONIC);
  }

  @Test
  void findsAConfigurationThatIsNotActiveInTime() {
    ActivationChecker checker = new ActivationChecker(2 * SECOND, violations::add);
    checker.acknowledged(SECOND, 5);
    checker.used(3 * SECOND, "door-1", true, 4);
    checker.used(4 * SECOND, "door-2", false, 4);
    assertBroken();
    checker.used(4 * SECOND, "door-1", true, 4);
    assertBroken(Guarantee.CONFIGURATION_ACTIVATED);
  }

  private void assertBroken(Guarantee... guarantees) {
    assertEquals(List.of(guarantees), violations.stream().map(Violation::guarantee).toList());
  }
}
