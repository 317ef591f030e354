package nettletrail.members;

import java.util.HashSet;
import java.util.Set;

/**
 * How long a suspect may still answer, as Lifeguard has it (IV.B): at first twice the least time, shrinking to the least as
 * others accuse it by themselves, {@code max - (max - min) log(c + 1) / log(k + 1)} with c confirmations of k expected. One
 * that accuses alone is more likely wrong.
 */
final class Suspicion {
    private static final int MOST_EXPECTED = 3;

    private final Set<String> accusers = new HashSet<>();
    private final long minNs;
    private final int expected;
    private long startedAt;

    /** @param others that may confirm */
    Suspicion(long now, String by, long minNs, int others, boolean lifeguard) {
        startedAt = now;
        this.minNs = minNs;
        expected = lifeguard ? Math.min(MOST_EXPECTED, Math.max(0, others)) : 0;
        accusers.add(by);
    }

    /** Whether this accuser is a new one, and still counts. */
    boolean confirm(String by) {
        return accusers.size() <= expected && accusers.add(by);
    }

    long startedAt() {
        return startedAt;
    }

    /** When it is over. */
    long endsAt() {
        if (expected == 0) {
            return startedAt + minNs;
        }
        double shrunk = Math.log(accusers.size()) / Math.log(expected + 1);
        return startedAt + (long) (2 * minNs - minNs * Math.min(1, shrunk));
    }

    /** Time that doesn't count. */
    void later(long ns) {
        startedAt += ns;
    }
}
