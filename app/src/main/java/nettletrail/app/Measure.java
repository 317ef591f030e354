package nettletrail.app;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs a measurement that starts all it needs on loopback; exits with 1 if a promise is broken. */
@Command(name = "measure", mixinStandardHelpOptions = true,
        description = "Runs a measurement; exits with 1 and names the broken promises if any.")
final class Measure implements Callable<Integer> {
    /** The usual length; each promise is one of a run that is at least so long. */
    private static final int USUAL_S = 20;

    /** What a measurement is told. */
    record Options(int seconds, long seed, int rate, boolean full, int sizes) {
        /** Of a phase's length or a number of cases: all of it in a run of the usual length, else in proportion; never none. */
        int part(int whole) {
            return seconds >= USUAL_S ? whole : Math.max(1, whole * seconds / USUAL_S);
        }
    }

    /** One measurement. */
    interface Measurement {
        Result run(Options options) throws Exception;
    }

    /** Figures in the order in which they are shown, and the promises that did not hold. */
    record Result(Map<String, Object> figures, java.util.List<String> broken) { }

    private static final Map<String, Measurement> ALL = new TreeMap<>(Map.ofEntries(
            Map.entry("capacity", new MeasureCapacity()),
            Map.entry("ext-proc", new MeasureExtProc()),
            Map.entry("faults", new MeasureFaults()),
            Map.entry("front-door", new MeasureFrontDoor()),
            Map.entry("limits", new MeasureLimits()),
            Map.entry("roles", new MeasureRoles()),
            Map.entry("start", new MeasureStart()),
            Map.entry("tokens", new MeasureTokens())));

    /** Their names, for help and completion, and for the test that starts each. */
    static final class Names implements Iterable<String> {
        @Override
        public Iterator<String> iterator() {
            return ALL.keySet().iterator();
        }
    }

    @Parameters(paramLabel = "NAME", completionCandidates = Names.class, description = "Which one: ${COMPLETION-CANDIDATES}.")
    private String name;
    @Option(names = "--json", description = "One JSON object on one line.")
    private boolean json;
    @Option(names = "--seconds", paramLabel = "N", defaultValue = "" + USUAL_S,
            description = "Length (default ${DEFAULT-VALUE}). Under that all phases are shorter, and promises may not hold.")
    private int seconds;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "For all random draws.")
    private long seed;
    @Option(names = "--rate", paramLabel = "N", defaultValue = "0", description = "A second; 0 for the usual one.")
    private int rate;
    @Option(names = "--full", description = "capacity: all sizes up to 480 front doors and 7,500 backends.")
    private boolean full;
    @Option(names = "--sizes", paramLabel = "N", defaultValue = "0",
            description = "capacity: only the first so many sizes of --full, 2 or more; 0 for all.")
    private int sizes;
    @Spec
    private CommandSpec spec;

    private final Map<String, Measurement> all;

    /** For picocli. */
    Measure() {
        this(ALL);
    }

    /** @param all that can be named */
    Measure(Map<String, Measurement> all) {
        this.all = all;
    }

    @Override
    public Integer call() throws Exception {
        Measurement measurement = all.get(name);
        if (measurement == null || seconds < 1 || rate < 0 || sizes < 0 || sizes == 1) {
            spec.commandLine().getErr().println("measure: " + (measurement == null
                    ? "'" + name + "' is no measurement; there are: " + String.join(", ", all.keySet())
                    : "--seconds must be 1 or more, --rate 0 or more, and --sizes 0, 2 or more"));
            return App.UNUSABLE;
        }
        Result result = measurement.run(new Options(seconds, seed, rate, full, sizes));
        if (json) {
            spec.commandLine().getOut().println(com.fasterxml.jackson.jr.ob.JSON.std.asString(result.figures()));
        } else {
            result.figures().forEach((key, value) -> spec.commandLine().getOut().printf("%-28s %s%n", key, value));
        }
        spec.commandLine().getOut().flush();
        result.broken().forEach(broken -> spec.commandLine().getErr().println("broken: " + broken));
        return result.broken().isEmpty() ? 0 : 1;
    }
}
