package nettletrail.app.scale;

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
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import nettletrail.emulator.capacity.ProcessUse;

/**
 * All processes of one run at one size: discovery on the machines set aside, hollow front doors, backends on sockets, real
 * front doors and the relay, and the load on the latter. All end with this, also when this process is killed. One thread.
 */
final class ScaleFleet implements AutoCloseable {
    /** Set aside for control by the plan. */
    static final int MACHINES = 3;
    static final int REAL_DOORS = 3;
    /** Hollow front doors to a process at most, so that its loop is not the bottleneck. */
    private static final int DOORS_A_PROCESS = 60;
    /** Front doors driven at their share: more than this at 7,500 backends is more than a machine has cores for. */
    private static final int MOST_DRIVEN = 30;
    /** Descriptors that a real front door is told it may hold. */
    private static final int SOCKETS = 4_096;
    private static final int MACHINE_MB = 256;
    private static final int BACKENDS_MB = 384;
    private static final int RELAY_MB = 128;
    private static final double HOLLOW_MB = 160;
    private static final double DOOR_MB = 2;
    private static final double BACKEND_MB = 0.0012;
    private static final long POLL_MS = 50;

    /** A version of the list, and when it was ordered. */
    record Mark(long index, long atNs) { }

    private final Path folder = Files.createTempDirectory("nettletrail-capacity");
    private final FleetPlan plan;
    private final List<Child> machines = new ArrayList<>();
    private final List<Child> hollow = new ArrayList<>();
    private final List<RealDoor> real = new ArrayList<>();
    private final List<RealLoad> loads = new ArrayList<>();
    private final List<InetSocketAddress> agents = new ArrayList<>();
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final List<RealLoad> relayLoads = new ArrayList<>();
    private final Mechanism mechanism;
    private Child backends;
    private Child relay;
    private long index = 1;

    /** Starts all; returns when every front door has the list. */
    ScaleFleet(int doors, int backendCount, long seed, Mechanism mechanism) throws IOException, InterruptedException {
        this.mechanism = mechanism;
        FleetPlan without = new FleetPlan(doors, backendCount, seed, 0);
        try {
            backends = child("backends", BACKENDS_MB, "scale-backends", "--plan", HollowDoorsProcess.text(without));
            plan = new FleetPlan(doors, backendCount, seed, number(backends.reply()).intValue());
            String text = HollowDoorsProcess.text(plan);
            for (int zone = 0; zone < FleetPlan.ZONES; zone++) {
                Files.writeString(folder.resolve("zone" + zone + ".json"), plan.config(zone, SOCKETS, mechanism));
            }
            for (int i = 0; i < MACHINES; i++) {
                machines.add(child("discovery " + i, MACHINE_MB, "scale-discovery", "--plan", text));
            }
            relay = child("relay", RELAY_MB, "scale-relay", "--plan", text);
            for (Child each : machines) {
                agents.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), number(each.reply()).intValue()));
            }
            startReal();
            int relayPort = number(relay.reply()).intValue();
            for (int i = 0; i < REAL_DOORS; i++) {
                relayLoads.add(new RealLoad(group.next(), plan, i));
                relayLoads.get(i).start(new InetSocketAddress(InetAddress.getLoopbackAddress(), relayPort));
            }
            startHollow(text);
        } catch (IOException | InterruptedException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private void startReal() throws IOException, InterruptedException {
        for (int i = 0; i < REAL_DOORS; i++) {
            // The hollow ones' settings of zone N are those of front door N; the first real ones have its place too.
            real.add(new RealDoor("real-" + i, agents.get(i % MACHINES), folder.resolve("zone" + FleetPlan.zone(i) + ".json"),
                    RealDoor.PLATFORM));
            real.get(i).launch();
        }
        for (int i = 0; i < REAL_DOORS; i++) {
            real.get(i).awaitReady();
            loads.add(new RealLoad(group.next(), plan, i));
            loads.get(i).start(real.get(i).address());
        }
    }

    private void startHollow(String text) throws IOException, InterruptedException {
        String at = agents.stream().map(each -> "127.0.0.1:" + each.getPort()).collect(Collectors.joining(","));
        int processes = (plan.doors() + DOORS_A_PROCESS - 1) / DOORS_A_PROCESS;
        int driven = Math.min(MOST_DRIVEN, plan.doors());
        for (int i = 0; i < processes; i++) {
            int first = part(plan.doors(), i, processes);
            int count = part(plan.doors(), i + 1, processes) - first;
            int heapMb = (int) (HOLLOW_MB + count * (DOOR_MB + BACKEND_MB * plan.backends()));
            hollow.add(child("hollow " + i, heapMb, "hollow-doors", "--plan", text, "--first", "" + first, "--count", "" + count,
                    "--driven", "" + (part(driven, i + 1, processes) - part(driven, i, processes)), "--sockets", "" + SOCKETS,
                    "--agents", at, "--configs", folder.toString(), "--mechanism", mechanism.name()));
        }
        for (Child each : hollow) {
            each.reply();
        }
        Child.askAll(hollow, "start");
    }

    private static int part(int all, int of, int parts) {
        return (int) ((long) all * of / parts);
    }

    private static Child child(String name, int heapMb, String... arguments) throws IOException {
        return new Child(name, heapMb, List.of(arguments));
    }

    static Number number(Object told) {
        return (Number) told;
    }

    FleetPlan plan() {
        return plan;
    }

    /** All that this run consists of, this process too. */
    int processes() {
        return machines.size() + hollow.size() + real.size() + 3;
    }

    List<RealDoor> real() {
        return real;
    }

    List<RealLoad> loads() {
        return loads;
    }

    /** As many as real front doors, all to the one relay. */
    List<RealLoad> relayLoads() {
        return relayLoads;
    }

    /** Hollow front doors get no requests from now on, or get them again. */
    void paused(boolean now) throws IOException, InterruptedException {
        Child.askAll(hollow, now ? "pause" : "go");
    }

    // ---- What is done to it ------------------------------------------------------------------------------

    /** The entries that are selected change, at all machines; when that was ordered. */
    Mark change(String status, long sinceMs, String selector) throws IOException, InterruptedException {
        long at = System.nanoTime();
        Child.askAll(machines, "change " + status + " " + sinceMs + " " + selector);
        return new Mark(++index, at);
    }

    /** The version that holds now. */
    Mark now() {
        return new Mark(index, System.nanoTime());
    }

    /** Discovery is silent from now on, or answers again. */
    void discovery(boolean down) throws IOException, InterruptedException {
        Child.askAll(machines, down ? "down" : "up");
    }

    /** The selected backends die, or are there again; hollow and real. */
    void backends(boolean down, String selector) throws IOException, InterruptedException {
        String order = (down ? "down " : "up ") + selector;
        Child.askAll(hollow, order);
        backends.ask(order);
    }

    /** Of each ten hollow front doors this one begins anew. */
    void restart(int tenth) throws IOException, InterruptedException {
        Child.askAll(hollow, "restart " + tenth);
    }

    /** Seconds from the mark until each hollow front door had it, in their order; those that haven't by the limit: the limit. */
    List<Double> told(Mark mark, long mostS) throws IOException, InterruptedException {
        long until = mark.atNs() + TimeUnit.SECONDS.toNanos(mostS);
        while (true) {
            List<Long> at = new ArrayList<>();
            for (Object reply : Child.askAll(hollow, "told " + mark.index())) {
                ((List<?>) reply).forEach(each -> at.add(number(each).longValue()));
            }
            if (!at.contains(0L) || System.nanoTime() > until) {
                return at.stream().map(each -> each == 0 ? mostS : Math.max(0, (each - mark.atNs()) / 1e9)).toList();
            }
            Thread.sleep(POLL_MS);
        }
    }

    // ---- What it costs -----------------------------------------------------------------------------------

    /** All that is counted so far. */
    Snapshot snapshot() throws IOException, InterruptedException {
        for (Child each : machines) {
            each.tell("stats");
        }
        List<Map<?, ?>> doors = Child.askAll(hollow, "stats").stream().<Map<?, ?>>map(each -> (Map<?, ?>) each).toList();
        List<Map<?, ?>> control = new ArrayList<>();
        for (Child each : machines) {
            control.add((Map<?, ?>) each.reply());
        }
        return new Snapshot(doors, control, real.stream().map(RealDoor::cpuNs).toList(), System.nanoTime());
    }

    /** MB that a front door holds, by process on the mean over its front doors. */
    List<Double> doorMb() throws IOException, InterruptedException {
        return Child.askAll(hollow, "memory").stream().map(each -> number(each).doubleValue()).toList();
    }

    /** Attempts so far, by backend, over all hollow front doors. */
    long[] sends() throws IOException, InterruptedException {
        long[] sends = new long[plan.backends()];
        for (Object reply : Child.askAll(hollow, "sends")) {
            List<?> each = (List<?>) reply;
            for (int i = 0; i < sends.length; i++) {
                sends[i] += number(each.get(i)).longValue();
            }
        }
        return sends;
    }

    /** What the backends on sockets counted. */
    Map<String, Long> backendCounts() throws IOException, InterruptedException {
        Map<String, Long> counts = new LinkedHashMap<>();
        ((Map<?, ?>) backends.ask("stats")).forEach((key, value) -> counts.put("" + key, number(value).longValue()));
        return counts;
    }

    /** Resident MB of all processes together, this one too. */
    double residentMb() {
        return Stream.concat(Stream.of(ProcessHandle.current().pid(), backends.pid(), relay.pid()),
                Stream.concat(Stream.concat(machines.stream(), hollow.stream()).map(Child::pid),
                        real.stream().map(RealDoor::pid))).mapToDouble(ProcessUse::residentMb).sum();
    }

    @Override
    public void close() {
        real.forEach(RealDoor::close);
        Stream.concat(Stream.of(backends, relay), Stream.concat(machines.stream(), hollow.stream())).filter(each -> each != null)
                .forEach(Child::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        try (Stream<Path> files = Files.list(folder)) {
            for (Path each : files.toList()) {
                Files.deleteIfExists(each);
            }
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            System.err.println("measure: " + folder + " is left behind: " + e.getMessage());
        }
    }
}
