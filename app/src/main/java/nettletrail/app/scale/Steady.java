package nettletrail.app.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The steady figures of a run: what a second costs a front door while changes are squeezed. */
final class Steady {
    private static final double PCT_A_NS = 100 / 1e9;

    private final Map<String, Object> figures;
    private final FleetPlan plan;

    Steady(Map<String, Object> figures, FleetPlan plan) {
        this.figures = figures;
        this.plan = plan;
    }

    private void put(String key, double value) {
        figures.put(key, SizeRun.round(value));
    }

    void put(Snapshot before, Snapshot after, List<Double> told, int changes, long[] sendsBefore, long[] sendsAfter) {
        double seconds = after.secondsSince(before);
        List<Long> driven = after.doors("driven");
        List<Long> list = after.since(before, "control_ns");
        List<Long> moduleList = after.since(before, "module_list_ns");
        List<Long> module = after.since(before, "module_request_ns");
        List<Double> control = new ArrayList<>();
        List<Double> modulePct = new ArrayList<>();
        for (int i = 0; i < driven.size(); i++) {
            if (driven.get(i) == 1) {
                control.add((list.get(i) + module.get(i)) * PCT_A_NS / seconds);
                modulePct.add(module.get(i) * PCT_A_NS / seconds);
            }
        }
        put("control_cpu_pct", Spread.of(control).p99());
        put("control_cpu_mean_pct", Spread.of(control).mean());
        List<Double> listPct = list.stream().map(each -> each * PCT_A_NS / seconds).toList();
        put("list_cpu_pct", Spread.of(listPct).p99());
        put("list_cpu_mean_pct", Spread.of(listPct).mean());
        put("list_cpu_in_module_mean_pct", Spread.of(moduleList).mean() * PCT_A_NS / seconds);
        put("module_cpu_pct", Spread.of(modulePct).p99());
        put("module_cpu_mean_pct", Spread.of(modulePct).mean());
        put("list_us_per_change", changes == 0 ? 0 : Spread.of(list).mean() / 1e3 / changes);
        List<Long> answers = after.since(before, "answers");
        put("list_us_per_answer", sum(list) / 1e3 / Math.max(1, sum(answers)));
        put("answers_per_change", changes == 0 ? 0 : Spread.of(answers).mean() / changes);
        double doors = list.size();
        put("loop_rest_pct", ((after.processes("loop_ns") - before.processes("loop_ns")) - sum(list) - sum(module)) / doors
                * PCT_A_NS / seconds);
        put("process_cpu_pct_per_door", (after.processes("process_ns") - before.processes("process_ns")) / doors * PCT_A_NS
                / seconds);
        bytes(before, after, seconds, changes);
        requests(before, after, driven, sum(module));
        spread(sendsBefore, sendsAfter);
        Spread times = Spread.of(told);
        put("change_told_p50_s", times.p50());
        put("change_told_p99_s", times.p99());
        put("change_told_max_s", times.max());
        put("steady_s", seconds);
        figures.put("changes", changes);
        List<Double> machineCpu = after.machineSince(before, "process_ns").stream().map(each -> each * PCT_A_NS / seconds)
                .toList();
        put("machine_cpu_pct_max", Spread.of(machineCpu).max());
        put("machine_bytes_per_s_max", Spread.of(after.machineSince(before, "bytes_out")).max() / seconds);
        put("machine_calls_per_s_max", Spread.of(after.machineSince(before, "calls")).max() / seconds);
        List<Double> real = new ArrayList<>();
        for (int i = 0; i < after.realCpuNs().size(); i++) {
            real.add((after.realCpuNs().get(i) - before.realCpuNs().get(i)) * PCT_A_NS / seconds);
        }
        put("real_door_cpu_pct_max", Spread.of(real).max());
    }

    /** Of a time in which nothing changes. */
    void putQuiet(Snapshot before, Snapshot after) {
        double seconds = after.secondsSince(before);
        put("quiet_bytes_per_s", (Spread.of(after.since(before, "bytes_in")).mean()
                + Spread.of(after.since(before, "bytes_out")).mean()) / seconds);
        put("quiet_list_cpu_pct", Spread.of(after.since(before, "control_ns")).mean() * PCT_A_NS / seconds);
        put("warming_us_per_request", sum(after.since(before, "module_request_ns")) / 1e3
                / Math.max(1, after.sum("arrived") - before.sum("arrived")));
    }

    private static double sum(List<Long> counts) {
        return counts.stream().mapToDouble(each -> each).sum();
    }

    private void bytes(Snapshot before, Snapshot after, double seconds, int changes) {
        List<Long> in = after.since(before, "bytes_in");
        List<Long> out = after.since(before, "bytes_out");
        List<Double> both = new ArrayList<>();
        for (int i = 0; i < in.size(); i++) {
            both.add((in.get(i) + out.get(i)) / seconds);
        }
        put("control_bytes_per_s", Spread.of(both).p99());
        put("control_bytes_mean_per_s", Spread.of(both).mean());
        put("bytes_per_change", changes == 0 ? 0 : Spread.of(both).mean() * seconds / changes);
    }

    private void requests(Snapshot before, Snapshot after, List<Long> driven, double moduleNs) {
        long requests = Math.max(1, after.sum("arrived") - before.sum("arrived"));
        put("cpu_us_per_request", moduleNs / 1e3 / requests);
        figures.put("driven_doors", driven.stream().filter(each -> each == 1).count());
        figures.put("hollow_requests", requests);
        put("refused_hollow", (double) (after.sum("refused") - before.sum("refused")) / requests);
        put("failed_hollow", (double) (after.sum("failed") - before.sum("failed")) / requests);
        List<Long> open = after.doors("connections");
        List<Long> mine = new ArrayList<>();
        for (int i = 0; i < driven.size(); i++) {
            if (driven.get(i) == 1) {
                mine.add(open.get(i));
            }
        }
        put("connections_per_door", Spread.of(mine).mean());
        long attempts = Math.max(1, after.sum("attempts") - before.sum("attempts"));
        put("reuse_pct", 100.0 * (attempts - (after.sum("connects") - before.sum("connects"))) / attempts);
    }

    /** Most over mean of sends, the worst of the zones; beside it what an even draw of as many gives. */
    private void spread(long[] before, long[] after) {
        long[] sends = new long[after.length];
        Arrays.setAll(sends, i -> after[i] - before[i]);
        put("imbalance", worst(sends));
        long[] drawn = new long[sends.length];
        SplittableRandom random = new SplittableRandom(plan.seed());
        for (long i = Arrays.stream(sends).sum(); i > 0; i--) {
            drawn[random.nextInt(drawn.length)]++;
        }
        put("imbalance_even_draw", worst(drawn));
        put("sends_per_backend", Arrays.stream(sends).average().orElse(0));
    }

    static double worst(long[] sends) {
        double[] most = new double[FleetPlan.ZONES];
        double[] sum = new double[FleetPlan.ZONES];
        int[] count = new int[FleetPlan.ZONES];
        for (int i = 0; i < sends.length; i++) {
            int zone = FleetPlan.zone(i);
            most[zone] = Math.max(most[zone], sends[i]);
            sum[zone] += sends[i];
            count[zone]++;
        }
        double worst = 0;
        for (int zone = 0; zone < most.length; zone++) {
            worst = Math.max(worst, sum[zone] == 0 ? 0 : most[zone] / (sum[zone] / count[zone]));
        }
        return worst;
    }
}
