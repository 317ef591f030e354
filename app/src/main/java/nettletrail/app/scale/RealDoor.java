package nettletrail.app.scale;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import nettletrail.app.processes.ChildJvm;

/**
 * A front door as the platform runs it ({@code run} in {@code deploy/balancer.toml}), in a process of its own. The
 * program watches no pipe, so a shell beside it does, and kills it by its id when the parent has ended.
 */
final class RealDoor implements AutoCloseable {
    private static final String SHELL = """
            exec 3<&0
            "$@" </dev/null 3<&- &
            child=$!
            echo "child $child"
            (cat <&3 >/dev/null; kill -KILL $child 2>/dev/null) &
            wait $child
            """;
    /** The platform's own command, from the project's folder. */
    static final List<String> PLATFORM = List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "@deploy/serve.args", "-jar", "front-door/target/nettletrail.jar", "serve");
    private static final long START_S = 60;
    private static final int READY_TRIES = 600;

    private final String name;
    private final InetSocketAddress agent;
    private final Path config;
    private final List<String> command;
    private ChildJvm shell;
    private long pid;
    private volatile CompletableFuture<String> child;
    private volatile CompletableFuture<String> listens;
    private InetSocketAddress address;

    /** @param command that serves, from the project's folder */
    RealDoor(String name, InetSocketAddress agent, Path config, List<String> command) {
        this.command = List.copyOf(command);
        this.name = name;
        this.agent = agent;
        this.config = config;
    }

    /** The project's folder: where this program's classes are, or above. */
    static Path root() throws IOException {
        try {
            Path at = Path.of(RealDoor.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            for (; at != null; at = at.getParent()) {
                if (Files.exists(at.resolve("deploy/serve.args"))) {
                    return at;
                }
            }
        } catch (URISyntaxException e) {
            throw new IOException(e);
        }
        throw new IOException("deploy/serve.args is not above this program; run it from a checkout");
    }

    /** Without waiting for it. */
    void launch() throws IOException {
        child = new CompletableFuture<>();
        listens = new CompletableFuture<>();
        List<String> words = new ArrayList<>(List.of("sh", "-c", SHELL, "sh"));
        words.addAll(command);
        shell = new ChildJvm(Map.of("EDGE_NAME", name, "EDGE_LISTEN", "127.0.0.1:0", "EDGE_DISCOVERY",
                agent.getAddress().getHostAddress() + ":" + agent.getPort(), "EDGE_CONFIG", config.toString()), root(),
                words, this::heard);
    }

    private void heard(String line) {
        if (line.startsWith("child ")) {
            child.complete(line.substring("child ".length()).strip());
        } else if (line.contains(name + " listens on ")) {
            listens.complete(line.substring(line.lastIndexOf(':') + 1).strip());
        }
    }

    /** Returns when it has answered that it is ready. */
    void awaitReady() throws IOException, InterruptedException {
        try {
            pid = Long.parseLong(child.get(START_S, TimeUnit.SECONDS));
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(),
                    Integer.parseInt(listens.get(START_S, TimeUnit.SECONDS)));
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("the front door " + name + " never listened: " + shell.said(), e);
        }
        for (int i = 0; i < READY_TRIES; i++) {
            HttpURLConnection call = (HttpURLConnection) URI.create("http://127.0.0.1:" + address.getPort() + "/-/ready")
                    .toURL().openConnection();
            if (call.getResponseCode() == HttpURLConnection.HTTP_OK) {
                return;
            }
            Thread.sleep(10);
        }
        throw new IOException("the front door " + name + " was never ready");
    }

    /** SIGTERM; returns when it has ended, with how long that took, s. */
    double terminate() throws InterruptedException, ExecutionException {
        long from = System.nanoTime();
        ProcessHandle process = ProcessHandle.of(pid).orElseThrow();
        process.destroy();
        process.onExit().get();
        shell.close();
        return (System.nanoTime() - from) / 1e9;
    }

    InetSocketAddress address() {
        return address;
    }

    long pid() {
        return pid;
    }

    long cpuNs() {
        return ProcessHandle.of(pid).flatMap(each -> each.info().totalCpuDuration()).map(each -> each.toNanos()).orElse(0L);
    }

    @Override
    public void close() {
        if (pid != 0) {
            ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
        }
        if (shell != null) {
            shell.close();
        }
    }
}
