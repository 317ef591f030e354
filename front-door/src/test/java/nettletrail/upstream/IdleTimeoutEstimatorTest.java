package nettletrail.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IdleTimeoutEstimatorTest {
    private static final long MS = 1_000_000L;
    private static final long START = 5_000 * MS;

    private final IdleTimeoutEstimator ages = new IdleTimeoutEstimator(START);

    private void used(int times, int broken, long ageMs) {
        for (int i = 0; i < times; i++) {
            ages.recordUse(ageMs * MS, i < broken, START);
        }
    }

    @Test
    void anAgeAtWhichConnectionsBreakIsTooOld() {
        used(40, 2, 5);
        used(20, 1, 100);
        used(10, 4, 200);
        assertEquals(128 * MS, ages.maxIdleNanos(START));
    }

    @Test
    void breaksAtAllAgesMakeNoneBad() {
        used(40, 16, 5);
        used(20, 9, 100);
        used(10, 4, 200);
        assertEquals(Long.MAX_VALUE, ages.maxIdleNanos(START));
    }

    @Test
    void oneBreakIsChance() {
        used(40, 0, 5);
        used(1, 1, 200);
        assertEquals(Long.MAX_VALUE, ages.maxIdleNanos(START));
    }

    @Test
    void aBadAgeIsTriedAgainLater() {
        used(40, 0, 5);
        used(4, 4, 200);
        assertTrue(ages.maxIdleNanos(START) < 200 * MS);
        assertEquals(Long.MAX_VALUE, ages.maxIdleNanos(START + 30_000 * MS));
    }
}
