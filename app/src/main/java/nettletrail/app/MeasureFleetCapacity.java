package nettletrail.app;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import nettletrail.emulator.capacity.FleetCapacity;
import nettletrail.emulator.capacity.ScaleExtent;
import nettletrail.emulator.capacity.sockets.SocketRun;

/**
 * What the control plane of a router fleet costs at growing size, against the plan's budgets: in virtual time, and one size over sockets
 * with real core processes. In processes of their own, with the doors' Java options.
 */
final class MeasureFleetCapacity implements Measure.Measurement {
    /** Below this the run shows only that it works. */
    private static final int LEAST_S = 20;
    private static final String MOST_HEAP = "-Xmx6g";
    private static final int SOCKET_DOORS = 30;
    private static final int SOCKET_S = 5;
    /** This one, the run in virtual time, that over sockets, and three core processes. */
    private static final int PROCESSES = 6;

    @Override
    public Measure.Result run(Measure.Options options) throws IOException, InterruptedException {
        ScaleExtent extent = extent(options);
        Map<String, Object> figures = child(FleetCapacity.class, extent.name().toLowerCase(Locale.ROOT), Long.toString(options.seed()));
        if (extent != ScaleExtent.TINY) {
            figures.put("sockets", child(SocketRun.class, Integer.toString(SOCKET_DOORS), Integer.toString(SOCKET_S)));
            figures.put("processes", PROCESSES);
        }
        List<String> broken = ((List<?>) figures.remove("broken")).stream().map(String::valueOf).toList();
        return new Measure.Result(figures, broken);
    }

    /** What a program tells as one JSON object. */
    private static Map<String, Object> child(Class<?> program, String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", MOST_HEAP, "-cp", System.getProperty("java.class.path"),
                program.getName()));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        try {
            String told = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int status = process.waitFor();
            if (told.isBlank()) {
                throw new IOException(program.getSimpleName() + " ended with " + status + " and told nothing");
            }
            return JSON.std.mapFrom(told);
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
