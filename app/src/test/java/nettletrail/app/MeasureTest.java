package nettletrail.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** How a measurement's outcome reaches whoever ran it. */
class MeasureTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(List<String> broken, String... arguments) {
        Map<String, Measure.Measurement> planted = Map.of("planted", options -> new Measure.Result(
                Map.of("control_mb", 65.0), broken));
        return new CommandLine(new Measure(planted)).setOut(new PrintWriter(out)).setErr(new PrintWriter(err))
                .execute(arguments);
    }

    @Test
    void brokenBudgetsAreNamedAndExitWithOne() {
        assertEquals(1, run(List.of("control_mb is 65.0, over 64.0", "told_max_s is 20.0, over 19.0"), "planted", "--json"));
        assertEquals("{\"control_mb\":65.0}", out.toString().strip());
        assertEquals(List.of("broken: control_mb is 65.0, over 64.0", "broken: told_max_s is 20.0, over 19.0"),
                err.toString().lines().toList());
    }

    @Test
    void withNoneBrokenItExitsWithZero() {
        assertEquals(0, run(List.of(), "planted"));
        assertEquals("", err.toString());
    }

    @Test
    void capacityIsOneOfThem() {
        assertEquals(2, run(List.of(), "capacity"), "not planted");
        int status = new CommandLine(new Measure()).setErr(new PrintWriter(err)).execute("none");
        assertEquals(2, status);
        assertEquals(true, err.toString().contains("capacity, "), err.toString());
    }
}
