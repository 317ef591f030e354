package nettletrail.app;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import nettletrail.app.processes.ChildJvm;
import nettletrail.app.processes.DoorProcesses;
import nettletrail.proxy.EchoProcessor;
import nettletrail.proxy.StandInProxy;
import nettletrail.site.Ledger;
import nettletrail.site.StandInAgent;
import nettletrail.site.StandInBackend;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * The external processor under a stand-in proxy that retries, gives up and cancels: how fast it decides, whether it
 * decides twice, what it costs beside a bare gRPC echo. Processor and echo are processes of their own.
 */
final class MeasureExtProc implements Measure.Measurement {
    private static final int RATE = 500;
    private static final int BUDGET_MS = 20;
    private static final int WARM_S = 3;
    private static final int ECHO_S = 6;
    private static final int BACKENDS = 6;
    private static final long REMAINING_MS = 3_000;
    /** The plan with a ceiling: units a second, units at once, and units it may go below nothing. */
    private static final double CEILING_RATE = 40;
    private static final double CEILING_BURST = 80;
    private static final double CEILING_SLACK = 8;
    private static final String SETTINGS = """
            {"Balancers":1,"Ceilings":{"ConnIdle":30000000000,"ConnectTimeout":250000000,"MaxAttempts":3},
             "Dcs":["a"],"Discovery":"push","FamilyInfo":{"MostUnits":6},"Flavors":["m1"],
             "Obligations":{"ColdFrom":0.3,"RampTime":5000000000,"OverloadFactor":3.0,"Fall":2000000000},
             "Services":[{"Aim":750000000,"Deadline":3000000000,"Effect":"free","Name":"order-status","Worth":2,"LateValue":0.2},
                         {"Aim":750000000,"Deadline":3000000000,"Effect":"single_shot","Name":"order-submit","Worth":5}],
             "TiersOfService":[{"Name":"mini","PerSecond":20,"Burst":60,"ExcessCost":0.6,"Pays":0.5},
                         {"Name":"standard","PerSecond":40,"Burst":120,"ExcessCost":0.8,"Pays":0.8},
                         {"Name":"business","PerSecond":25,"Burst":50,"NeverOverRate":%s,"HardBurst":%s,"HardSlack":%s,"ExcessCost":1.0,"Pays":1.3},
                         {"Name":"carrier","MaxOut":40,"ExcessCost":0.8,"Pays":1.6}],"Zone":0}"""
            .formatted(CEILING_RATE, CEILING_BURST, CEILING_SLACK);
    private static final String[] PLANS = {"mini", "standard", "business", "carrier"};

    private record Phase(StandInProxy.Figures figures, long cpuNs, long lateNs) { }

    @Override
    public Measure.Result run(Measure.Options options) throws Exception {
        int rate = options.rate() == 0 ? RATE : options.rate();
        NioEventLoopGroup group = new NioEventLoopGroup(2);
        Ledger ledger = new Ledger();
        List<StandInBackend> backends = new ArrayList<>();
        Path folder = Files.createTempDirectory("nettletrail-measure");
        try (StandInAgent agent = new StandInAgent(group)) {
            for (int i = 0; i < BACKENDS; i++) {
                StandInBackend backend = new StandInBackend("s-" + i, group, ledger,
                        new StandInBackend.Manner(15, 0.01, 0.005, 0.01, 0), options.seed() + i);
                backends.add(backend);
                agent.set(backend.name(), backend.address(), "SERVING", 0);
            }
            return measure(options, rate, agent, backends, ledger, folder);
        } finally {
            backends.forEach(StandInBackend::close);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            for (String name : List.of("config.json", "operator.toml")) {
                Files.deleteIfExists(folder.resolve(name));
            }
            Files.deleteIfExists(folder);
        }
    }

    private Measure.Result measure(Measure.Options options, int rate, StandInAgent agent,
            List<StandInBackend> backends, Ledger ledger, Path folder) throws Exception {
        Path config = folder.resolve("config.json");
        String discovery = "127.0.0.1:" + agent.address().getPort();
        Files.writeString(config, "{\"name\":\"n0\",\"discovery\":\"" + discovery + "\",\"seed\":\""
                + Long.toHexString(options.seed()) + "\",\"limits\":{\"sockets\":1024},\"known\":" + agent.list(-1)
                + ",\"settings\":" + SETTINGS + "}");
        Path operator = folder.resolve("operator.toml");
        Files.writeString(operator, "[ext_proc]\nenabled = true\nlisten = \"127.0.0.1:0\"\nbudget_ms = " + BUDGET_MS
                + "\n");
        // The echo first: it warms the proxy of this process, whose own slowness would else count as the processor's.
        Phase echo;
        List<String> nodes = new ArrayList<>(List.of("echo-ext-proc"));
        backends.forEach(each -> nodes.add("127.0.0.1:" + each.address().getPort()));
        try (ChildJvm bare = new ChildJvm(Map.of(), nodes.toArray(String[]::new))) {
            InetSocketAddress address = loopback("127.0.0.1:" + bare.await("echo on "));
            try (StandInProxy proxy = new StandInProxy(address, StandInProxy.Habits.ROUGH, options.seed(), BUDGET_MS)) {
                play(proxy, bare, rate, options.part(WARM_S), options.seed() * 31 + 1, "c");
                echo = play(proxy, bare, rate, Math.min(ECHO_S, options.seconds()), options.seed() * 31 + 2, "d");
            }
        }
        ledger.clear();
        Phase cold;
        Phase warm;
        int status;
        Map<String, String> env = Map.of("EDGE_NAME", "n0", "EDGE_LISTEN", "127.0.0.1:0", "EDGE_DISCOVERY", discovery,
                "EDGE_CONFIG", config.toString());
        try (ChildJvm door = new ChildJvm(env, "serve", "--operator", operator.toString())) {
            String asks = door.await("ext_proc listens on ");
            DoorProcesses.awaitReady(loopback(door.await("n0 listens on ")));
            try (StandInProxy proxy = new StandInProxy(loopback(asks.split(" ")[0]), StandInProxy.Habits.ROUGH,
                    options.seed(), BUDGET_MS)) {
                cold = play(proxy, door, rate, WARM_S, options.seed() * 31 + 1, "a");
                warm = play(proxy, door, rate, options.seconds(), options.seed() * 31 + 2, "b");
            }
            status = door.terminate();
            if (Boolean.getBoolean("nettletrail.measure.log")) {
                door.said().forEach(System.err::println);
            }
        }
        long runsBefore = ledger.runs().size();
        int ranTwice = ledger.ranTwice().size();
        double below = ledger.worstBelowNothing("business", CEILING_RATE, CEILING_BURST);
        return result(rate, cold, warm, echo, status, runsBefore, ranTwice, below);
    }

    private static Measure.Result result(int rate, Phase cold, Phase warm, Phase echo, int status, long runs,
            int ranTwice, double below) {
        StandInProxy.Figures it = warm.figures();
        long unanswered = it.errors + cold.figures().errors;
        double overshoot = Math.max(0, below - CEILING_SLACK) / CEILING_BURST * 100;
        long twice = it.decidedTwice + cold.figures().decidedTwice;
        double max = it.decisions.getMaxValue() / 1e3;
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("calls", it.asks);
        figures.put("calls_per_s", rate);
        figures.put("decided_twice", twice);
        figures.put("unanswered", unanswered);
        figures.put("p50_ms", it.decisions.getValueAtPercentile(50) / 1e3);
        figures.put("p99_ms", it.decisions.getValueAtPercentile(99) / 1e3);
        figures.put("max_ms", max);
        figures.put("over_budget", it.overBudget);
        figures.put("ran_twice", ranTwice);
        figures.put("ceiling_overshoot_pct", Math.round(overshoot * 100) / 100.0);
        figures.put("cpu_us_per_call", round(warm.cpuNs() / 1e3 / Math.max(1, it.asks)));
        figures.put("echo_cpu_us_per_call", round(echo.cpuNs() / 1e3 / Math.max(1, echo.figures().asks)));
        figures.put("echo_max_ms", echo.figures().decisions.getMaxValue() / 1e3);
        figures.put("echo_p50_ms", echo.figures().decisions.getValueAtPercentile(50) / 1e3);
        figures.put("first_3_s_max_ms", cold.figures().decisions.getMaxValue() / 1e3);
        figures.put("first_3_s_over_budget", cold.figures().overBudget);
        figures.put("forwarded", it.forwarded);
        figures.put("refused", it.refused);
        figures.put("failed", it.failed);
        figures.put("withdrawn", it.withdrawn);
        figures.put("asked_again", it.askedAgain);
        figures.put("ran", runs);
        figures.put("generator_late_max_ms", warm.lateNs() / 1_000 / 1e3);
        figures.put("exit_status", status);
        List<String> broken = new ArrayList<>();
        cold.figures().faults.stream().limit(5).forEach(fault -> broken.add("seen by the proxy at first: " + fault));
        it.faults.stream().limit(5).forEach(fault -> broken.add("seen by the proxy: " + fault));
        check(broken, twice == 0, "decided_twice is " + twice + ", not 0");
        check(broken, unanswered == 0, "unanswered is " + unanswered + ", not 0");
        check(broken, max < BUDGET_MS, "max_ms is " + max + ", not under " + BUDGET_MS);
        check(broken, it.overBudget == 0, "over_budget is " + it.overBudget + ", not 0");
        check(broken, ranTwice == 0, "ran_twice is " + ranTwice + ", not 0");
        check(broken, overshoot == 0, "ceiling_overshoot_pct is " + overshoot + ", not 0");
        check(broken, status == 0, "the processor ended with status " + status + " on SIGTERM, not 0");
        return new Measure.Result(figures, broken);
    }

    private static void check(List<String> broken, boolean holds, String what) {
        if (!holds) {
            broken.add(what);
        }
    }

    private static double round(double value) {
        return Math.round(value * 10) / 10.0;
    }

    /** Paced asks with exponential gaps, and then a wait until all are decided. */
    private static Phase play(StandInProxy proxy, ChildJvm asked, int rate, int seconds, long seed, String ids)
            throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        on(proxy, proxy::takeFigures);
        long cpu = asked.cpu().toNanos();
        long[] late = new long[1];
        long start = System.nanoTime();
        long[] due = {start};
        long[] number = new long[1];
        long end = start + TimeUnit.SECONDS.toNanos(seconds);
        Runnable tick = new Runnable() {
            @Override
            public void run() {
                long now = System.nanoTime();
                while (due[0] <= now && due[0] < end) {
                    late[0] = Math.max(late[0], now - due[0]);
                    proxy.request(request(random, ids, number[0]++));
                    due[0] += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / rate);
                }
                if (due[0] < end) {
                    proxy.loop().schedule(this, Math.max(0, due[0] - System.nanoTime()), TimeUnit.NANOSECONDS);
                }
            }
        };
        proxy.loop().execute(tick);
        Thread.sleep(TimeUnit.SECONDS.toMillis(seconds));
        // Second asks come up to 150 ms behind the first; then all has to be decided. Looked at in one turn of the
        // loop: else an ask that comes between the look and the count would pass for one without a decision.
        Thread.sleep(200);
        StandInProxy.Figures figures = null;
        for (int i = 0; i < 100 && figures == null; i++) {
            boolean last = i == 99;
            figures = on(proxy, () -> proxy.undecided() == 0 || last ? proxy.takeFigures() : null);
            Thread.sleep(figures == null ? 20 : 0);
        }
        int left = on(proxy, proxy::undecided);
        long used = asked.cpu().toNanos() - cpu;
        if (left > 0) {
            figures.errors += left;
            figures.faults.add(left + " asks have no decision");
        }
        return new Phase(figures, used, late[0]);
    }

    private static <T> T on(StandInProxy proxy, Callable<T> what) throws Exception {
        return proxy.loop().submit(what).get();
    }

    /** Four plans alike; two business customers ask at many times what their ceiling gives. */
    private static StandInProxy.Request request(SplittableRandom random, String ids, long number) {
        String id = ids + String.format("%015x", number);
        boolean unsafe = random.nextInt(10) < 4;
        int plan = random.nextInt(PLANS.length);
        int customer = plan == 2 && random.nextBoolean() ? random.nextInt(2) : random.nextInt(40);
        double units = 1 + random.nextInt(20) / 10.0;
        return StandInProxy.Request.of(id, unsafe, unsafe ? "order-submit" : "order-status", PLANS[plan],
                String.format("%016x", plan * 1_000 + customer), units, 1, REMAINING_MS);
    }

    private static InetSocketAddress loopback(String text) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(),
                Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)));
    }

    /** The floor's process. */
    @Command(name = "echo-ext-proc", hidden = true, description = "A bare gRPC echo of the processor's messages.")
    static final class Echo implements Callable<Integer> {
        @Parameters(paramLabel = "NODE")
        private String[] nodes;

        @Override
        public Integer call() throws IOException, InterruptedException {
            EchoProcessor echo = new EchoProcessor(nodes);
            System.out.println("echo on " + echo.port());
            Thread.currentThread().join();
            return 0;
        }
    }
}
