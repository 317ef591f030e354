package nettletrail.app;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import nettletrail.app.members.Detection;

/** Detection and false accusations in virtual time, at 3 to 400 doors, beside plain SWIM and beside heartbeats. */
final class MeasureMembersVirtual implements Measure.Measurement {
    private static final List<Integer> SIZES = List.of(3, 5, 40, 400);
    /** Seeds for each second of the run, by size: what fits on a few cores. */
    private static final Map<Integer, Integer> SEEDS_A_SECOND = Map.of(3, 24, 5, 16, 40, 2, 400, 0);

    @Override
    public Measure.Result run(Measure.Options options) {
        Map<String, Object> figures = new LinkedHashMap<>();
        List<String> broken = new ArrayList<>();
        for (int doors : SIZES) {
            int seeds = Math.max(4, SEEDS_A_SECOND.get(doors) * options.seconds());
            for (Detection.Way way : Detection.Way.values()) {
                List<Detection.Figures> all = LongStream.range(0, seeds).parallel()
                        .mapToObj(seed -> Detection.play(way, doors, options.seed() * 1_000_003 + seed)).toList();
                String prefix = way.name().toLowerCase(java.util.Locale.ROOT) + "_" + doors + "_";
                List<Double> detected = all.stream().map(Detection.Figures::detectS).sorted().toList();
                figures.put(prefix + "seeds", seeds);
                figures.put(prefix + "detect_p50_s", detected.get(detected.size() / 2));
                figures.put(prefix + "detect_max_s", detected.get(detected.size() - 1));
                for (Detection.Phase phase : Detection.Phase.values()) {
                    long gone = all.stream().mapToLong(each -> each.falseGone().get(phase)).sum();
                    figures.put(prefix + "false_gone_" + phase.name().toLowerCase(java.util.Locale.ROOT), gone);
                    if (way == Detection.Way.MEMBERS && gone > 0) {
                        broken.add(prefix + phase + ": " + gone + " called gone that live");
                    }
                }
                figures.put(prefix + "datagrams_per_s_per_door", Math.round(10 * all.stream()
                        .mapToDouble(Detection.Figures::datagramsPerS).average().orElse(0)) / 10.0);
            }
        }
        return new Measure.Result(figures, broken);
    }
}
