package nettletrail.emulator.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each judge finds the defect that it is there for, and nothing in what is allowed. */
class JudgesTest {
  private static final long SECOND = 1_000_000_000L;

  private final List<Violation> violations = new ArrayList<>();

  @Test
  void findsTwoOwners() {
    OwnershipJudge judge = new OwnershipJudge(violations::add);
    judge.leaseHolders(1, 0, List.of());
    judge.leaseHolders(2, 0, List.of("core-1"));
    assertBroken();
    judge.leaseHolders(3, 0, List.of("core-1", "core-2"));
    assertBroken(Promise.ONE_OWNER);
  }

  @Test
  void findsATokenOfTwoProcesses() {
    OwnershipJudge judge = new OwnershipJudge(violations::add);
    judge.tokenUsed(1, 0, "3/core-1", "core-1 life 1");
    judge.tokenUsed(2, 0, "3/core-1", "core-1 life 1");
    judge.tokenUsed(2, 1, "3/core-1", "core-1 life 2");
    assertBroken();
    judge.tokenUsed(3, 0, "3/core-1", "core-1 life 2");
    assertBroken(Promise.TOKEN_USED_ONCE);
  }

  @Test
  void findsTwoValuesUnderOneTokenAndSequence() {
    OwnershipJudge judge = new OwnershipJudge(violations::add);
    judge.written(1, 0, "3/core-1", 9, "a");
    judge.written(2, 0, "3/core-1", 9, "a");
    judge.written(3, 0, "3/core-1", 10, "b");
    assertBroken();
    judge.written(4, 0, "3/core-1", 9, "b");
    assertBroken(Promise.TOKEN_USED_ONCE);
  }

  @Test
  void findsAWindowOverTheQuota() {
    QuotaJudge.Limit limit = new QuotaJudge.Limit(10, 20, 2 * SECOND, 0.1, 6);
    QuotaJudge judge = new QuotaJudge("tenant", limit, violations::add);
    judge.used(0, 50);
    judge.used(2 * SECOND, 50);
    assertBroken();
    judge.used(3 * SECOND, 1);
    assertBroken(Promise.QUOTA_WINDOW);
    assertEquals(51, judge.maxUsed());
  }

  @Test
  void findsARevokedKeyInUse() {
    KeyJudge judge = new KeyJudge(5 * SECOND, violations::add);
    judge.taken(SECOND, "door-1", "key");
    judge.revoked(2 * SECOND, "key");
    judge.taken(7 * SECOND, "door-1", "key");
    judge.taken(8 * SECOND, "door-1", "other");
    assertBroken();
    judge.taken(7 * SECOND + 1, "door-1", "key");
    assertBroken(Promise.REVOKED_KEY);
  }

  @Test
  void findsADrainedBackendInUse() {
    DrainJudge judge = new DrainJudge(2 * SECOND, violations::add);
    judge.endAcknowledged(SECOND, "backend");
    judge.used(3 * SECOND, "door-1", true, "backend");
    judge.used(4 * SECOND, "door-2", false, "backend");
    assertBroken();
    judge.used(4 * SECOND, "door-1", true, "backend");
    assertBroken(Promise.DRAINED_BACKEND);
  }

  @Test
  void letsDoorsTryABackendThatHasEnded() {
    DrainJudge judge = new DrainJudge(2 * SECOND, violations::add);
    judge.endAcknowledged(SECOND, "backend");
    judge.ended("backend");
    judge.endAcknowledged(4 * SECOND, "backend");
    judge.used(9 * SECOND, "door-1", true, "backend");
    assertBroken();
  }

  @Test
  void findsADoorThatGoesBack() {
    InForceJudge judge = new InForceJudge(2 * SECOND, violations::add);
    judge.used(1, "door-1 life 1", true, 5);
    judge.used(2, "door-1 life 2", true, 4);
    assertBroken();
    judge.used(3, "door-1 life 1", true, 4);
    assertBroken(Promise.CONFIGURATION_NEVER_BACK);
  }

  @Test
  void findsAConfigurationThatIsNotInForceInTime() {
    InForceJudge judge = new InForceJudge(2 * SECOND, violations::add);
    judge.acknowledged(SECOND, 5);
    judge.used(3 * SECOND, "door-1", true, 4);
    judge.used(4 * SECOND, "door-2", false, 4);
    assertBroken();
    judge.used(4 * SECOND, "door-1", true, 4);
    assertBroken(Promise.CONFIGURATION_IN_FORCE);
  }

  private void assertBroken(Promise... promises) {
    assertEquals(List.of(promises), violations.stream().map(Violation::promise).toList());
  }
}
