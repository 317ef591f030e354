package nettletrail.app;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import nettletrail.emulator.capacity.FleetCapacity;
import nettletrail.emulator.capacity.ScaleExtent;

/** What the control plane of a router fleet costs at growing size, against the plan's budgets; in a process with the doors' Java options. */
final class MeasureFleetCapacity implements Measure.Measurement {
    /** Below this the run shows only that it works. */
    private static final int LEAST_S = 20;
    private static final String MOST_HEAP = "-Xmx6g";

    @Override
    public Measure.Result run(Measure.Options options) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", MOST_HEAP, "-cp", System.getProperty("java.class.path"),
                FleetCapacity.class.getName(), extent(options).name().toLowerCase(Locale.ROOT), Long.toString(options.seed()))
                .redirectError(ProcessBuilder.Redirect.INHERIT).start();
        try {
            String told = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int status = process.waitFor();
            if (told.isBlank()) {
                throw new IOException("the scale run ended with " + status + " and told nothing");
            }
            Map<String, Object> figures = JSON.std.mapFrom(told);
            List<String> broken = ((List<?>) figures.remove("broken")).stream().map(String::valueOf).toList();
            return new Measure.Result(figures, broken);
        } finally {
            process.destroy();
        }
    }

    private static ScaleExtent extent(Measure.Options options) {
        if (options.full()) {
            return ScaleExtent.FULL;
        }
        return options.seconds() < LEAST_S ? ScaleExtent.TINY : ScaleExtent.SHORT;
    }
}
