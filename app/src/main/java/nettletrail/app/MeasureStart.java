package nettletrail.app;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import nettletrail.app.processes.ChildJvm;
import nettletrail.app.processes.DoorProcesses;
import nettletrail.site.SiteSettings;
import nettletrail.site.StandInAgent;

/**
 * What a start of the front door costs until it says that it is ready: the delivered process, by the deploy file's {@code run}
 * line with its options and its archive of classes, twenty times one after another, each killed once it is ready.
 *
 * <p>Processor time is counted over all of its threads. On a share s of a core it is taken to be ready after processor time / s
 * and what it waited for here without computing (wall less processor time; discovery's first answer, reads, this rig's polls).
 * That the share costs nothing by itself (caches, turns of the scheduler) is assumed.
 */
final class MeasureStart implements Measure.Measurement {
    private static final int STARTS = 20;
    /** Listed backends, as in a large fleet; none is there, as none is called before the first request. */
    private static final int LISTED = 200;
    /** Hundredths of a core for which the time is told. */
    private static final int[] SHARES_PCT = {20, 26, 30};
    private static final int LEAST_SHARE_PCT = 20;
    private static final double MOST_S = 10;

    /** One start, in seconds. */
    private record Start(double cpuS, double wallS, double dryRunS) {
        double readyS(int sharePct) {
            return cpuS * 100 / sharePct + Math.max(0, wallS - cpuS);
        }
    }

    @Override
    public Measure.Result run(Measure.Options options) throws Exception {
        Path home = home();
        boolean archived = archive(home);
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        Path config = Files.createTempFile("nettletrail-measure", ".json");
        List<Start> starts = new ArrayList<>();
        try (StandInAgent agent = new StandInAgent(group)) {
            for (int i = 0; i < LISTED; i++) {
                agent.set("s-" + i, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + i), "SERVING", 0);
            }
            Files.writeString(config, "{\"name\":\"n0\",\"discovery\":\"\",\"seed\":\"" + Long.toHexString(options.seed())
                    + "\",\"limits\":{\"sockets\":1024},\"known\":" + agent.list(-1) + ",\"settings\":"
                    + SiteSettings.usual(1).json() + "}");
            Map<String, String> env = Map.of("EDGE_NAME", "n0", "EDGE_LISTEN", "127.0.0.1:0", "EDGE_DISCOVERY",
                    "127.0.0.1:" + agent.address().getPort(), "EDGE_CONFIG", config.toString());
            int count = options.part(STARTS);
            for (int i = 0; i < count; i++) {
                starts.add(start(home, env));
            }
        } finally {
            Files.deleteIfExists(config);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        return result(starts, archived);
    }

    private static Start start(Path home, Map<String, String> env) throws IOException, InterruptedException {
        long from = System.nanoTime();
        try (ChildJvm door = ChildJvm.delivered(home, env)) {
            String dryRun = door.await("dry run: ");
            String at = door.await("n0 listens on ");
            DoorProcesses.awaitReady(new InetSocketAddress(InetAddress.getLoopbackAddress(),
                    Integer.parseInt(at.substring(at.lastIndexOf(':') + 1))));
            double wallS = (System.nanoTime() - from) / 1e9;
            double cpuS = door.cpu().toNanos() / 1e9;
            String[] words = dryRun.split(" ");
            return new Start(cpuS, wallS, Integer.parseInt(words[words.length - 2]) / 1e3);
        }
    }

    private static Measure.Result result(List<Start> starts, boolean archived) {
        double[] cpu = sorted(starts, Start::cpuS);
        Map<String, Object> figures = new LinkedHashMap<>();
        List<String> broken = new ArrayList<>();
        figures.put("starts", cpu.length);
        figures.put("class_archive", archived);
        spread(figures, "cpu_", "s", cpu);
        spread(figures, "wall_", "s", sorted(starts, Start::wallS));
        spread(figures, "dry_run_wall_", "s", sorted(starts, Start::dryRunS));
        for (int share : SHARES_PCT) {
            spread(figures, "ready_", "s_at_" + share + "_pct", sorted(starts, each -> each.readyS(share)));
        }
        if (cpu[0] == 0) {
            broken.add("a start took no processor time: the system doesn't tell it, and the figures say nothing");
        }
        double p90 = quantile(sorted(starts, each -> each.readyS(LEAST_SHARE_PCT)), 0.9);
        if (p90 > MOST_S) {
            broken.add("ready_p90_s_at_" + LEAST_SHARE_PCT + "_pct is " + round(p90) + ", over " + MOST_S);
        }
        return new Measure.Result(figures, broken);
    }

    private static void spread(Map<String, Object> figures, String name, String unit, double[] sorted) {
        figures.put(name + "p50_" + unit, round(quantile(sorted, 0.5)));
        figures.put(name + "p90_" + unit, round(quantile(sorted, 0.9)));
        figures.put(name + "max_" + unit, round(sorted[sorted.length - 1]));
    }

    private static double[] sorted(List<Start> starts, ToDoubleFunction<Start> figure) {
        return starts.stream().mapToDouble(figure).sorted().toArray();
    }

    /** The smallest value that so many of all don't exceed. */
    private static double quantile(double[] sorted, double part) {
        return sorted[(int) Math.ceil(part * sorted.length) - 1];
    }

    private static double round(double figure) {
        return Math.round(figure * 100) / 100.0;
    }

    /** The repository: the folder above this module's. */
    private static Path home() throws IOException, URISyntaxException {
        Path code = Path.of(App.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        Path home = code.resolve("../../..").normalize();
        if (!Files.exists(home.resolve("deploy/serve.args"))) {
            throw new IOException("measure start: no deploy/serve.args in " + home + "; run it from a checkout");
        }
        return home;
    }

    /**
     * Makes the archive of classes that the deploy file's {@code build} makes, unless there is one of this jar.
     *
     * @return whether there is one now; a JDK that can't make it starts without
     */
    private static boolean archive(Path home) throws IOException, InterruptedException {
        Path jar = home.resolve("front-door/target/nettletrail.jar");
        Path archive = home.resolve("front-door/target/nettletrail.jsa");
        if (!Files.exists(jar)) {
            return false;
        }
        if (!Files.exists(archive) || Files.getLastModifiedTime(archive).compareTo(Files.getLastModifiedTime(jar)) < 0) {
            Process made = new ProcessBuilder("sh", "deploy/archive.sh").directory(home.toFile())
                    .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
            if (!made.waitFor(60, TimeUnit.SECONDS)) {
                made.descendants().forEach(ProcessHandle::destroyForcibly);
                made.destroyForcibly();
            }
        }
        return Files.exists(archive);
    }
}
