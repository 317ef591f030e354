package nettletrail.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import picocli.CommandLine.Model.PositionalParamSpec;

/**
 * Each {@code measure} that the command line has, at its least length: it starts what it needs, measures, stops and tells its
 * figures. Whether its promises hold is told by runs of the usual length. In processes of their own, two at once: a
 * measurement may take the process's standard error or count its descriptors.
 */
class MeasuresRunTest {
    private static final int AT_ONCE = 2;
    /** Far more than the longest takes; a measurement that waits for what never comes is ended then. */
    private static final int MOST_S = 120;

    private record Ran(int status, String out, List<String> err) { }

    private static final ExecutorService THREADS = Executors.newFixedThreadPool(AT_ONCE);
    private static final Map<String, Future<Ran>> RUNNING = new TreeMap<>();

    @TempDir
    private static Path folder;

    /** Whatever the command takes as NAME, and whatever is a command below it. */
    private static TreeSet<String> names() {
        CommandLine measure = App.commandLine().getSubcommands().get("measure");
        TreeSet<String> names = new TreeSet<>(measure.getSubcommands().keySet());
        for (PositionalParamSpec each : measure.getCommandSpec().positionalParameters()) {
            each.completionCandidates().forEach(names::add);
        }
        return names;
    }

    @BeforeAll
    static void start() {
        names().forEach(name -> RUNNING.put(name, THREADS.submit((Callable<Ran>) () -> run(name))));
    }

    @AfterAll
    static void stop() {
        THREADS.shutdownNow();
    }

    private static Ran run(String name) throws IOException, InterruptedException {
        File out = folder.resolve(name + ".out").toFile();
        File err = folder.resolve(name + ".err").toFile();
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
                App.class.getName(), "measure", name, "--seconds", "1", "--json").redirectOutput(out).redirectError(err)
                .start();
        try {
            boolean ended = process.waitFor(MOST_S, TimeUnit.SECONDS);
            return new Ran(ended ? process.exitValue() : -1, Files.readString(out.toPath()),
                    Files.readAllLines(err.toPath()));
        } finally {
            List<ProcessHandle> all = new ArrayList<>(process.descendants().toList());
            all.add(process.toHandle());
            all.forEach(ProcessHandle::destroyForcibly);
        }
    }

    @TestFactory
    Stream<DynamicTest> eachStartsMeasuresAndTells() {
        return RUNNING.entrySet().stream().map(each -> DynamicTest.dynamicTest(each.getKey(),
                () -> check(each.getValue().get())));
    }

    private static void check(Ran ran) throws IOException {
        String seen = "status " + ran.status() + ", standard error:\n" + String.join("\n", ran.err());
        assertTrue(ran.status() == 0 || ran.status() == 1, seen);
        // A measurement that throws has status 1 too: what it owes is a line of figures, and only then what broke.
        assertEquals(1, ran.out().lines().count(), seen);
        long broken = ran.err().stream().filter(line -> line.startsWith("broken: ")).count();
        assertEquals(broken > 0 ? 1 : 0, ran.status(), seen);
        assertFalse(ran.err().stream().anyMatch(line -> line.contains("the figures say nothing")), seen);
        assertFalse(ran.err().stream().anyMatch(line -> line.contains("Exception")), seen);
        Map<String, Object> figures = JSON.std.mapFrom(ran.out());
        assertFalse(figures.isEmpty(), seen);
        figures.forEach(MeasuresRunTest::isSound);
    }

    private static void isSound(String key, Object value) {
        assertTrue(key.matches("[a-z][a-z0-9]*(_[a-z0-9]+)*"), key);
        if (value instanceof Map<?, ?> inner) {
            inner.forEach((name, each) -> isSound(String.valueOf(name), each));
        } else if (value instanceof List<?> list) {
            list.forEach(each -> isSound(key, each));
        } else if (value instanceof Double number) {
            assertTrue(Double.isFinite(number), key + " is " + number);
        } else if (String.valueOf(value).equals("NaN") || String.valueOf(value).endsWith("Infinity")) {
            fail(key + " is " + value);
        }
    }

    @Test
    void noneIsForgotten() {
        assertTrue(names().containsAll(List.of("ext-proc", "faults", "front-door", "limits", "start", "tokens")), names().toString());
    }
}
