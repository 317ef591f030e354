package nettletrail.site;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The site's quota meter: units by customer over a period of a second, told late. Each id counts once. Pure; times are
 * the caller's, in ns. Any thread.
 */
final class Meter {
    private static final long PERIOD_NS = 1_000_000_000L;

    private final long lateNs;
    private final Set<String> counted = new HashSet<>();
    private Map<String, Double> running = new HashMap<>();
    private Map<String, Double> done = new HashMap<>();
    private Map<String, Double> told = new HashMap<>();
    private long period = Long.MIN_VALUE;

    /** @param lateNs from the end of a period until it is told; under a period */
    Meter(long lateNs) {
        this.lateNs = lateNs;
    }

    private void turn(long now) {
        long current = Math.floorDiv(now, PERIOD_NS);
        if (current != period) {
            done = current == period + 1 ? running : new HashMap<>();
            running = new HashMap<>();
            period = current;
            if (counted.size() > 200_000) {
                counted.clear();
            }
        }
        if (now - current * PERIOD_NS >= lateNs) {
            told = done;
        }
    }

    synchronized void took(String id, String customer, double units, long now) {
        turn(now);
        if (counted.add(id)) {
            running.merge(customer, units, Double::sum);
        }
    }

    /** Percent of the rate in the last period that is told; -1 without a rate. */
    synchronized int percent(String customer, double rate, long now) {
        turn(now);
        return rate <= 0 ? -1 : (int) Math.round(told.getOrDefault(customer, 0.0) / rate * 100);
    }
}
