package nettletrail.app.scale;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;

/** The sweep: small sizes, a prediction of the largest from them, the largest itself, and what of it breaks a budget. */
public final class Capacity {
    /** A size. */
    record Size(int doors, int backends) {
        @Override
        public String toString() {
            return doors + "/" + backends;
        }
    }

    /**
     * Which sizes are run.
     *
     * @param small from which the last is predicted
     * @param last the largest
     * @param seeds of each size
     * @param further the schedule of the small sizes' further seeds
     * @param lastSchedule of the largest's first seed; further ones, and the run without the mechanism, go without the events
     */
    record Sweep(List<Size> small, Size last, int seeds, SizeRun.Schedule smallSchedule, SizeRun.Schedule further,
            SizeRun.Schedule lastSchedule) { }

    /** Figures in the order in which they are shown, and the budgets broken. */
    public record Outcome(Map<String, Object> figures, List<String> broken) { }

    private static final List<Size> SIZES = List.of(new Size(30, 470), new Size(60, 940), new Size(120, 1_875),
            new Size(240, 3_750), new Size(480, 7_500));
    private static final int USUAL_SECONDS = 20;
    /** In less there is no time for racks, zones, restarts and a loss of discovery. */
    private static final int LEAST_SECONDS_WITH_EVENTS = 5;
    /** The contract's figures that a run without the mechanism tells again. */
    private static final List<String> KEYS = List.of("hollow_doors", "real_doors", "backends", "control_cpu_pct", "control_mb",
            "control_bytes_per_s", "told_p99_s", "told_max_s", "added_p99_ms", "cpu_us_per_request_small",
            "cpu_us_per_request_full", "cost_ratio", "connections_per_door", "reuse_pct", "refused_thin", "imbalance", "mean_ms_thin",
            "thin_source",
            "predicted_error_pct", "machine_mb_max", "processes");

    private final Thin thin;
    private final long seed;

    /** @param thin what is told of thin traffic */
    public Capacity(Thin thin, long seed) {
        this.thin = thin;
        this.seed = seed;
    }

    /** The default: under 100 s in all, 60/940 predicted from 15/235 and 30/470. */
    static Sweep usual(int seconds) {
        int part = Math.max(2, Math.min(USUAL_SECONDS, seconds) / 3);
        boolean events = seconds >= LEAST_SECONDS_WITH_EVENTS;
        SizeRun.Schedule small = new SizeRun.Schedule(events ? 3 : 1, part, 2, false);
        return new Sweep(List.of(new Size(15, 235), new Size(30, 470)), new Size(60, 940), 1, small, small,
                new SizeRun.Schedule(small.warmS(), part, part, events));
    }

    /** All sizes up to 480/7,500, two seeds each. */
    static Sweep full() {
        return upTo(SIZES.size(), 2);
    }

    /** The first so many of the full run's sizes; the last of them is predicted. */
    static Sweep upTo(int sizes, int seeds) {
        return new Sweep(SIZES.subList(0, sizes - 1), SIZES.get(sizes - 1), seeds, new SizeRun.Schedule(5, 10, 6, true),
                new SizeRun.Schedule(5, 10, 6, false), new SizeRun.Schedule(8, 15, 10, true));
    }

    /** The default run; its parts are shorter where fewer seconds are asked for. */
    public Outcome usualRun(int seconds) throws IOException, InterruptedException, ExecutionException {
        return run(usual(seconds));
    }

    /** All of it, or its first so many sizes. */
    public Outcome fullRun(int sizes, int seeds) throws IOException, InterruptedException, ExecutionException {
        return run(upTo(Math.min(sizes, SIZES.size()), seeds));
    }

    /** The sizes of the full run. */
    public static int sizes() {
        return SIZES.size();
    }

    Outcome run(Sweep sweep) throws IOException, InterruptedException, ExecutionException {
        long from = System.nanoTime();
        List<Map<String, Object>> runs = new ArrayList<>();
        for (Size size : sweep.small()) {
            for (int i = 0; i < sweep.seeds(); i++) {
                runs.add(SizeRun.play(size.doors(), size.backends(), seed + i, Mechanism.ON,
                        i == 0 ? sweep.smallSchedule() : sweep.further()));
                told(runs);
            }
        }
        List<Map<String, Object>> largest = new ArrayList<>();
        for (int i = 0; i < sweep.seeds(); i++) {
            largest.add(SizeRun.play(sweep.last().doors(), sweep.last().backends(), seed + i, Mechanism.ON,
                    i == 0 ? sweep.lastSchedule() : sweep.lastSchedule().withoutEvents()));
            told(largest);
        }
        Map<String, Object> predictions = Prediction.of(runs, largest);
        Map<String, Object> figures = figures(runs, largest, predictions, Mechanism.ON);
        List<Map<String, Object>> off = new ArrayList<>(List.of(SizeRun.play(sweep.last().doors(), sweep.last().backends(), seed,
                Mechanism.OFF, sweep.lastSchedule().withoutEvents())));
        told(off);
        figures.put("mechanism_off", only(figures(runs, off, predictions, Mechanism.OFF)));
        figures.put("predictions", predictions);
        List<Map<String, Object>> all = new ArrayList<>(runs);
        all.addAll(largest);
        figures.put("runs", all);
        figures.put("took_s", SizeRun.round((System.nanoTime() - from) / 1e9));
        return new Outcome(figures, Budgets.broken(figures));
    }

    /** Each run's figures as soon as it is over: a sweep that is broken off keeps what it has measured. */
    private static void told(List<Map<String, Object>> runs) throws IOException {
        Map<String, Object> run = runs.get(runs.size() - 1);
        System.err.println("capacity: " + run.get("hollow_doors") + "/" + run.get("backends") + " seed " + run.get("seed")
                + " in " + run.get("run_s") + " s: " + JSON.std.asString(run));
    }

    private static Map<String, Object> only(Map<String, Object> figures) {
        Map<String, Object> only = new LinkedHashMap<>();
        KEYS.forEach(each -> only.put(each, figures.get(each)));
        return only;
    }

    /** The contract's figures: of the largest size, the worst of its seeds. */
    private Map<String, Object> figures(List<Map<String, Object>> runs, List<Map<String, Object>> largest,
            Map<String, Object> predictions, Mechanism mechanism) {
        Map<String, Object> figures = new LinkedHashMap<>();
        for (String name : List.of("hollow_doors", "real_doors", "backends")) {
            figures.put(name, largest.get(0).get(name));
        }
        for (String name : List.of("control_cpu_pct", "control_mb", "control_bytes_per_s", "told_p99_s", "told_max_s",
                "added_p99_ms")) {
            figures.put(name, worst(largest, name));
        }
        double fewest = runs.stream().mapToDouble(each -> Prediction.number(each, "backends")).min().orElse(0);
        List<Map<String, Object>> smallest = runs.stream().filter(each -> Prediction.number(each, "backends") == fewest).toList();
        double small = Prediction.mean(smallest, "cpu_us_per_request");
        double full = Prediction.mean(largest, "cpu_us_per_request");
        figures.put("cpu_us_per_request_small", SizeRun.round(small));
        figures.put("cpu_us_per_request_full", SizeRun.round(full));
        figures.put("cost_ratio", SizeRun.round(full / small));
        Thin.Figures told = thin.run((int) Prediction.mean(largest, "hollow_doors"), (int) Prediction.mean(largest, "backends"),
                seed, mechanism == Mechanism.ON);
        figures.put("connections_per_door", Prediction.mean(largest, "connections_per_door"));
        figures.put("reuse_pct", SizeRun.round(Prediction.mean(largest, "reuse_pct")));
        figures.put("refused_thin", SizeRun.round(told.refused()));
        figures.put("imbalance", SizeRun.round(told.imbalance()));
        figures.put("mean_ms_thin", SizeRun.round(told.meanMs()));
        figures.put("thin_source", told.source());
        figures.put("predicted_error_pct", SizeRun.round(Prediction.worstPct(predictions)));
        figures.put("machine_mb_max", worst(largest, "machine_mb_max"));
        figures.put("machines", largest.get(0).get("machines"));
        figures.put("processes", largest.get(0).get("processes"));
        return figures;
    }

    private static double worst(List<Map<String, Object>> runs, String name) {
        return runs.stream().mapToDouble(each -> Prediction.number(each, name)).max().orElse(0);
    }
}
