package nettletrail.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IdleTimeoutEstimatorTest {
  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long START = 5_000 * NANOS_PER_MS;

  private final IdleTimeoutEstimator estimator = new IdleTimeoutEstimator(START);

  private void recordUses(int uses, int lost, long idleMs) {
    for (int i = 0; i < uses; i++) {
      estimator.recordUse(idleMs * NANOS_PER_MS, i < lost, START);
    }
  }

  @Test
  void limitsIdleTimeWhereConnectionsAreLost() {
    recordUses(40, 2, 5);
    recordUses(20, 1, 100);
    recordUses(10, 4, 200);
    assertEquals(128 * NANOS_PER_MS, estimator.maxIdleNanos(START));
  }

  @Test
  void setsNoLimitIfConnectionsAreLostAtAllIdleTimes() {
    recordUses(40, 16, 5);
    recordUses(20, 9, 100);
    recordUses(10, 4, 200);
    assertEquals(Long.MAX_VALUE, estimator.maxIdleNanos(START));
  }

  @Test
  void ignoresSingleLoss() {
    recordUses(40, 0, 5);
    recordUses(1, 1, 200);
    assertEquals(Long.MAX_VALUE, estimator.maxIdleNanos(START));
  }

  @Test
  void liftsLimitAfterDecay() {
    recordUses(40, 0, 5);
    recordUses(4, 4, 200);
    assertTrue(estimator.maxIdleNanos(START) < 200 * NANOS_PER_MS);
    assertEquals(Long.MAX_VALUE, estimator.maxIdleNanos(START + 30_000 * NANOS_PER_MS));
  }
}
