package nettletrail.app.processes;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import nettletrail.app.App;
import nettletrail.door.Main;

/** A command of this program in a JVM of its own, with the platform's options, so that its CPU can be told apart. */
public final class ChildJvm implements AutoCloseable {
    private static final List<String> OPTIONS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
            "-XX:CompileThresholdScaling=0.3", "-XX:-UsePerfData",
            "-Dio.netty.allocator.numDirectArenas=1", "-Dio.netty.allocator.numHeapArenas=1",
            "-Dio.netty.allocator.maxOrder=6", "-Dio.netty.leakDetection.level=disabled");
    private static final List<String> HEAP = List.of("-Xms96m", "-Xmx96m", "-XX:+AlwaysPreTouch");
    private static final int MOST_KEPT = 200;

    private final Process process;
    private final Consumer<String> heard;
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>(MOST_KEPT);

    /** A command of this program. */
    public ChildJvm(Map<String, String> env, String... arguments) throws IOException {
        this(env, line -> { }, arguments);
    }

    /** @param heard hears of each line that it writes, on a thread of its own */
    public ChildJvm(Map<String, String> env, Consumer<String> heard, String... arguments) throws IOException {
        this(builder(env, command(HEAP, arguments)), heard);
    }

    /** The same with a heap of so many MB at most, none of it touched before it is used. */
    public ChildJvm(Map<String, String> env, int heapMb, Consumer<String> heard, String... arguments) throws IOException {
        this(builder(env, command(List.of("-Xmx" + heapMb + "m"), arguments)), heard);
    }

    /** Another program, from this folder. */
    public ChildJvm(Map<String, String> env, Path folder, List<String> command, Consumer<String> heard) throws IOException {
        this(builder(env, command).directory(folder.toFile()), heard);
    }

    private ChildJvm(ProcessBuilder builder, Consumer<String> heard) throws IOException {
        this.heard = heard;
        process = builder.start();
        Thread reader = new Thread(this::read, "child's output");
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * The front door as it is delivered: the deploy file's {@code run}, with its options, its jar and its archive of classes.
     * Where the jar isn't built (a test before {@code package}) its classes are taken from this process's path.
     *
     * @param home the repository, against which the options' paths are taken
     */
    public static ChildJvm delivered(Path home, Map<String, String> env) throws IOException {
        List<String> command = new ArrayList<>(List.of("java", "@deploy/serve.args"));
        String jar = "front-door/target/nettletrail.jar";
        command.addAll(Files.exists(home.resolve(jar)) ? List.of("-jar", jar)
                : List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
        command.add("serve");
        return new ChildJvm(env, home, command, line -> { });
    }

    private static List<String> command(List<String> heap, String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(OPTIONS);
        command.addAll(heap);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), App.class.getName()));
        command.addAll(List.of(arguments));
        return command;
    }

    private static ProcessBuilder builder(Map<String, String> env, List<String> command) {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(env);
        return builder;
    }

    private void read() {
        try (BufferedReader from = new BufferedReader(new InputStreamReader(process.getInputStream(),
                StandardCharsets.UTF_8))) {
            for (String line = from.readLine(); line != null; line = from.readLine()) {
                heard.accept(line);
                lines.offer(line);
            }
        } catch (IOException e) {
            lines.offer("output ended: " + e.getMessage());
        }
    }

    /** What stands behind this text in the next line that has it. */
    public String await(String text) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        StringBuilder seen = new StringBuilder();
        while (System.nanoTime() < until) {
            String line = lines.poll(100, TimeUnit.MILLISECONDS);
            if (line != null && line.contains(text)) {
                return line.substring(line.indexOf(text) + text.length()).strip();
            }
            seen.append(line == null ? "" : line + "\n");
            if (line == null && !process.isAlive()) {
                break;
            }
        }
        throw new IOException("the process started for this measurement never said '" + text + "'; it said:\n" + seen);
    }

    /** CPU time used so far. */
    public Duration cpu() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Its output from here on, as far as kept. */
    public List<String> said() {
        List<String> said = new ArrayList<>();
        lines.drainTo(said);
        return said;
    }

    /** SIGTERM; the exit status. */
    public int terminate() throws InterruptedException {
        process.destroy();
        return process.waitFor(8, TimeUnit.SECONDS) ? process.exitValue() : -1;
    }

    /** A line on its standard input. */
    public void tell(String line) throws IOException {
        process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().flush();
    }

    /** Sends it a signal, by name. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** SIGKILL; returns when it is gone. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    public boolean alive() {
        return process.isAlive();
    }

    public long pid() {
        return process.pid();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
