package nettletrail.app.scale;

import java.util.Arrays;
import java.util.Collection;

/** Percentiles of a few values, by nearest rank: with under a hundred, the 99th is the largest. */
record Spread(double p50, double p99, double max, double mean) {
    static Spread of(Collection<? extends Number> values) {
        double[] sorted = values.stream().mapToDouble(Number::doubleValue).sorted().toArray();
        if (sorted.length == 0) {
            return new Spread(0, 0, 0, 0);
        }
        return new Spread(at(sorted, 0.5), at(sorted, 0.99), sorted[sorted.length - 1],
                Arrays.stream(sorted).average().orElse(0));
    }

    private static double at(double[] sorted, double share) {
        return sorted[Math.max(0, (int) Math.ceil(share * sorted.length) - 1)];
    }
}
