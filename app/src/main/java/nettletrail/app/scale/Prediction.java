package nettletrail.app.scale;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.emulator.capacity.Fit;

/** What smaller sizes tell of the largest: a line through each figure over the number of backends, and how far off it was. */
final class Prediction {
    /** What is predicted. */
    static final List<String> OF = List.of("control_cpu_pct", "list_cpu_pct", "module_cpu_mean_pct", "cpu_us_per_request",
            "list_us_per_change", "control_mb", "control_bytes_per_s", "change_told_p99_s", "machine_cpu_pct_max",
            "machine_mb_max");
    /** Over which the error is told as one figure: those that have a budget. */
    private static final List<String> JUDGED = List.of("control_cpu_pct", "control_mb", "control_bytes_per_s");

    private Prediction() { }

    /**
     * Of each figure the line, the prediction, what was measured (the mean over its runs) and the error in percent.
     *
     * @param runs figures of runs at two sizes at least, all seeds
     * @param largest of the runs at the size that is predicted, all seeds
     */
    static Map<String, Object> of(List<Map<String, Object>> runs, List<Map<String, Object>> largest) {
        double x = mean(largest, "backends");
        Map<String, Object> all = new LinkedHashMap<>();
        for (String name : OF) {
            Fit line = Fit.of(numbers(runs, "backends"), numbers(runs, name));
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("slope_per_1000_backends", SizeRun.round(line.slope() * 1_000));
            one.put("intercept", SizeRun.round(line.intercept()));
            one.put("residual", SizeRun.round(line.residual()));
            one.put("predicted", SizeRun.round(line.at(x)));
            one.put("measured", SizeRun.round(mean(largest, name)));
            Spread spread = Spread.of(largest.stream().map(each -> number(each, name)).toList());
            one.put("measured_max_over_seeds", SizeRun.round(spread.max()));
            one.put("error_pct", SizeRun.round(Fit.errorPct(line.at(x), mean(largest, name))));
            all.put(name, one);
        }
        return all;
    }

    /** The largest error, without its sign, of the figures that have a budget. */
    static double worstPct(Map<String, Object> predictions) {
        return JUDGED.stream().mapToDouble(each -> Math.abs(number((Map<?, ?>) predictions.get(each), "error_pct"))).max()
                .orElse(0);
    }

    private static double[] numbers(List<Map<String, Object>> runs, String name) {
        return runs.stream().mapToDouble(each -> number(each, name)).toArray();
    }

    static double number(Map<?, ?> figures, String name) {
        return ((Number) figures.get(name)).doubleValue();
    }

    static double mean(List<Map<String, Object>> runs, String name) {
        return runs.stream().mapToDouble(each -> number(each, name)).average().orElse(0);
    }
}
