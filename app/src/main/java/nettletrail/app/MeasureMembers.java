package nettletrail.app;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import nettletrail.app.explore.Explorer;
import nettletrail.app.members.Beliefs;
import nettletrail.app.members.DetectorWorld;
import nettletrail.app.members.MembersJudge;
import nettletrail.app.members.ViewWorld;
import nettletrail.app.processes.DoorProcesses;
import nettletrail.app.processes.EventLog.Event;
import nettletrail.app.processes.Fleet;
import nettletrail.core.Endpoint;
import nettletrail.counter.StandInCounter;
import nettletrail.faults.DatagramRelay.Weather;
import nettletrail.members.Traffic;
import nettletrail.site.Site;
import nettletrail.site.SiteBackend;
import nettletrail.site.SiteClients;
import nettletrail.site.SiteSettings;
import org.HdrHistogram.Histogram;

/** Five front doors as processes, under load and faults, beside two that know of nobody; then the explorations. */
final class MeasureMembers implements Measure.Measurement {
    private static final int DOORS = 5;
    private static final int ALONE = 2;
    private static final int RATE = 300;
    private static final int WEATHER_MS = 3_000;
    private static final int WARM_MS = 2_000;
    private static final double CEILING_RATE = 10;
    private static final double CEILING_BURST = 20;
    private static final int OVER_S = 10;
    private static final int FLOOD_PER_S = 20_000;
    private static final long LONG_MS = 20_000;
    private static final double MOST_DETECT_S = 5;
    private static final double MOST_HEAL_S = 10;
    private static final double MOST_OVERSHOOT_PCT = 5;
    private static final double MOST_P99_RATIO = 1.1;
    private static final int EXPLORERS = 5;
    private static final int STATES = 2_500;
    private static final List<String> VERDICTS = List.of("members.gone", "members.back", "members.cut", "members.healed",
            "members.replaced");

    private Fleet fleet;
    private long falseGone;
    private Map<String, Object> figures;
    private List<String> broken;

    @Override
    public Measure.Result run(Measure.Options options) throws Exception {
        figures = java.util.Collections.synchronizedMap(new LinkedHashMap<>());
        broken = java.util.Collections.synchronizedList(new ArrayList<>());
        SiteSettings usual = SiteSettings.usual(DOORS);
        SiteSettings settings = new SiteSettings(DOORS, usual.classes(), List.of(new SiteSettings.Plan("shared", 10_000, 10_000,
                0, 0, 0, 0, 1)), usual.coldFrom(), usual.rampMs(), usual.overloadFactor(), usual.fallMs(),
                usual.drainGraceMs(), false);
        SiteSettings two = new SiteSettings(ALONE, settings.classes(), settings.plans(), usual.coldFrom(), usual.rampMs(),
                usual.overloadFactor(), usual.fallMs(), usual.drainGraceMs(), false);
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        String limits = "[limits]\nenabled = true\ncounter = \"127.0.0.1:%d\"\nprefix = \"%s\"\nceilings = \"shared="
                + CEILING_RATE + "/" + CEILING_BURST + "\"\n";
        try (Site site = new Site(settings, 8, new SiteBackend.Machine(8, 64, 10), options.seed());
                Site aloneSite = new Site(two, 8, new SiteBackend.Machine(8, 64, 10), options.seed());
                StandInCounter counter = new StandInCounter(group.next(), null);
                DoorProcesses alone = new DoorProcesses("alone");
                Fleet doors = new Fleet("measure-members", site, DOORS, options.seed(),
                        limits.formatted(counter.address().getPort(), "members"))) {
            fleet = doors;
            for (int i = 0; i < DOORS; i++) {
                fleet.launch(i);
            }
            Path operator = alone.file("operator.toml");
            Files.writeString(operator, limits.formatted(counter.address().getPort(), "alone"));
            List<InetSocketAddress> others = alone.start(aloneSite, "--operator", operator.toString());
            for (int i = 0; i < DOORS; i++) {
                fleet.awaitReady(i);
            }
            agreed("at the start");
            // The same load to as many doors that know of others and that don't; later, one to all.
            SiteClients clients = new SiteClients(site.group(), two, fleet.addresses().subList(0, ALONE), site.events(), 7);
            SiteClients aloneClients = new SiteClients(aloneSite.group(), two, others, aloneSite.events(), 7);
            clients.start(RATE);
            aloneClients.start(RATE);
            calm(clients, aloneClients, options.seed());
            clients.stop();
            aloneClients.stop();
            SiteClients wide = site.clients(fleet.addresses()).numberedFrom(1L << 32);
            wide.start(RATE);
            faults(counter);
            wide.stop();
            double over = Overshoot.units(site.events().all(), CEILING_RATE, CEILING_BURST);
            figure("overshoot_pct", round(100 * over / (CEILING_BURST + OVER_S * CEILING_RATE)), MOST_OVERSHOOT_PCT);
            List<String> wrong = MembersJudge.broken(fleet.log().all());
            wrong.forEach(each -> broken.add("judge: " + each));
            figures.put("promises_broken", wrong.size());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        return new Measure.Result(figures, broken);
    }

    /** Faults of the links only, which cost requests nothing. */
    private void calm(SiteClients clients, SiteClients alone, long seed) throws Exception {
        figures.put("doors", DOORS);
        TimeUnit.MILLISECONDS.sleep(WARM_MS);
        Histogram before = latency(clients);
        Histogram aloneBefore = latency(alone);
        int mark = fleet.log().mark();
        long bytes = bytes();
        long since = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep(1_500);
        figures.put("bytes_per_s_per_door", Math.round((bytes() - bytes) * 1e9 / (System.nanoTime() - since) / DOORS));
        figures.put("bytes_per_s_per_door_40_most", Math.round(Traffic.mostBytesPerS(40)));
        figures.put("bytes_per_s_per_door_400_most", Math.round(Traffic.mostBytesPerS(400)));
        fleet.mesh().weather(Weather.lossy(0.3));
        TimeUnit.MILLISECONDS.sleep(WEATHER_MS);
        fleet.mesh().weather(Weather.late(200, 200));
        TimeUnit.MILLISECONDS.sleep(WEATHER_MS);
        fleet.mesh().heal();
        Histogram on = latency(clients);
        Histogram off = latency(alone);
        figure("request_p99_ratio", round(p99(on, before) / p99(off, aloneBefore)), MOST_P99_RATIO);
        flood(clients, alone, seed);
        falseGone = count(mark, each -> each.kind().equals("members.gone"));
    }

    private void faults(StandInCounter counter) throws Exception {
        int mark = fleet.log().mark();
        stops();
        none("false_gone", falseGone + count(mark, each -> each.kind().equals("members.gone")));
        kills();
        // From here on nothing is measured that their load could change.
        ForkJoinPool few = new ForkJoinPool(EXPLORERS);
        Future<?> explored = few.submit(this::explorations);
        oneWay();
        split(counter);
        explored.get();
        few.shutdown();
        none("accused_by_paused", MembersJudge.broken(fleet.log().all()).stream().filter(each -> each.contains("stopped")).count());
    }

    private void flood(SiteClients clients, SiteClients alone, long seed) throws Exception {
        String at = String.valueOf(((Map<?, ?>) ((List<?>) fleet.ask(0, "members").get("members")).get(0)).get("address"));
        InetSocketAddress to = Endpoint.address(at);
        SplittableRandom random = new SplittableRandom(seed);
        Histogram before = latency(clients);
        Histogram aloneBefore = latency(alone);
        long taken = taken();
        long sent = 0;
        long begin = System.nanoTime();
        try (DatagramSocket socket = new DatagramSocket()) {
            for (long now = begin; now - begin < TimeUnit.MILLISECONDS.toNanos(2_500); now = System.nanoTime()) {
                byte[] bytes = new byte[60 + random.nextInt(400)];
                random.nextBytes(bytes);
                bytes[0] = 1;
                socket.send(new DatagramPacket(bytes, bytes.length, to));
                sent++;
                long ahead = begin + sent * 1_000_000_000L / FLOOD_PER_S - System.nanoTime();
                if (ahead > 1_000_000) {
                    TimeUnit.NANOSECONDS.sleep(ahead);
                }
            }
        }
        figures.put("flood_per_s", Math.round(sent * 1e9 / (System.nanoTime() - begin)));
        figures.put("flood_p99_ratio", round(p99(latency(clients), before) / p99(latency(alone), aloneBefore)));
        none("forged_taken", taken() - taken);
    }

    /** Statements on members that there never were: a forged datagram that was believed would show there. */
    private long taken() throws IOException {
        long taken = 0;
        for (Object each : (List<?>) fleet.ask(0, "members").get("members")) {
            taken += ((Map<?, ?>) each).get("name").toString().matches("n[0-4]") ? 0 : 1;
        }
        return taken;
    }

    private void stops() throws Exception {
        fleet.stop(2);
        TimeUnit.MILLISECONDS.sleep(500);
        fleet.go(2);
        TimeUnit.MILLISECONDS.sleep(700);
        fleet.stop(3);
        TimeUnit.SECONDS.sleep(2);
        fleet.go(3);
        TimeUnit.SECONDS.sleep(1);
    }

    private void kills() throws Exception {
        List<Double> detected = new ArrayList<>();
        List<Double> surely = new ArrayList<>();
        agreed("before doors are killed");
        List<Integer> killed = List.of(4, 1);
        Map<Integer, Long> at = new LinkedHashMap<>();
        int mark = fleet.log().mark();
        for (int door : killed) {
            at.put(door, System.nanoTime());
            fleet.kill(door);
            for (int other : but(at.keySet())) {
                detected.add(after(mark, at.get(door), other, "members.gone", "n" + door));
            }
        }
        for (int door : killed) {
            for (int other : but(at.keySet())) {
                surely.add(after(mark, at.get(door), other, "members.surely_gone", "n" + door));
            }
        }
        for (int door : killed) {
            fleet.launch(door);
        }
        for (int door : killed) {
            fleet.awaitReady(door);
        }
        detected.sort(null);
        surely.sort(null);
        figures.put("detect_p50_s", round(detected.get(detected.size() / 2)));
        figure("detect_max_s", round(detected.get(detected.size() - 1)), MOST_DETECT_S);
        figures.put("surely_gone_p50_s", round(surely.get(surely.size() / 2)));
        figures.put("surely_gone_max_s", round(surely.get(surely.size() - 1)));
    }

    private static int[] but(java.util.Set<Integer> dead) {
        return IntStream.range(0, DOORS).filter(each -> !dead.contains(each)).toArray();
    }

    private double after(int mark, long at, int by, String kind, String who) throws InterruptedException {
        Event event = fleet.log().await(mark, LONG_MS, each -> each.process() == by && each.kind().equals(kind)
                && each.field("who").equals(who));
        if (event == null) {
            broken.add("n" + by + " never said " + kind + " of " + who);
            return LONG_MS / 1e3;
        }
        return (event.readNs() - at) / 1e9;
    }

    private void oneWay() throws Exception {
        agreed("before a cut in one direction");
        fleet.mesh().works((from, to) -> to != 1);
        TimeUnit.SECONDS.sleep(5);
        int mark = fleet.log().mark();
        TimeUnit.SECONDS.sleep(2);
        none("one_way_flaps", count(mark, each -> VERDICTS.contains(each.kind())));
        fleet.mesh().heal();
        agreed("after a cut in one direction");
    }

    private void split(StandInCounter counter) throws Exception {
        int mark = fleet.log().mark();
        counter.gone();
        fleet.mesh().works((from, to) -> from / 3 == to / 3);
        TimeUnit.MILLISECONDS.sleep(4_500);
        none("minority_verdicts", count(mark, each -> each.process() >= 3 && (each.kind().equals("members.surely_gone")
                || each.kind().equals("members.view"))));
        long at = System.nanoTime();
        fleet.mesh().heal();
        counter.again();
        agreed("after the partition");
        figure("heal_s", round((System.nanoTime() - at) / 1e9), MOST_HEAL_S);
    }

    /** All orders of steps around the real deciders, and the defects that are put in to be found. */
    private void explorations() {
        long states = 0;
        for (ViewWorld.Bounds bounds : ViewWorld.Bounds.ALL) {
            states += sound(Explorer.explore(() -> new ViewWorld(ViewWorld.Planted.NONE, bounds), STATES, 10));
        }
        for (DetectorWorld.Bounds bounds : DetectorWorld.Bounds.ALL) {
            states += sound(Explorer.explore(() -> new DetectorWorld(DetectorWorld.Planted.NONE, bounds), STATES, 20));
        }
        int planted = 0;
        int found = 0;
        for (ViewWorld.Planted each : ViewWorld.Planted.values()) {
            if (each != ViewWorld.Planted.NONE) {
                planted++;
                found += ViewWorld.Bounds.ALL.stream().filter(bounds -> each != ViewWorld.Planted.REBORN_ANSWERS
                        || bounds.crashes() >= 0).anyMatch(bounds -> Explorer.explore(() -> new ViewWorld(each, bounds),
                                10 * STATES, Integer.MAX_VALUE).wrong() != null) ? 1 : 0;
            }
        }
        for (DetectorWorld.Planted each : DetectorWorld.Planted.values()) {
            if (each != DetectorWorld.Planted.NONE) {
                planted++;
                found += DetectorWorld.Bounds.ALL.stream().anyMatch(bounds -> Explorer.explore(
                        () -> new DetectorWorld(each, bounds), STATES, 20).wrong() != null) ? 1 : 0;
            }
        }
        figures.put("states_explored", states);
        figures.put("planted_defects", planted);
        figures.put("planted_found", found);
        if (found < planted) {
            broken.add("planted_found is " + found + ", of " + planted);
        }
    }

    private long sound(Explorer.Result result) {
        if (result.wrong() != null) {
            broken.add("explored: " + result.wrong() + " by " + result.path());
        }
        return result.states();
    }

    private void agreed(String when) throws InterruptedException {
        Beliefs wrong = Beliefs.await(fleet.log(), LONG_MS, Beliefs::oneAgreed);
        if (wrong != null) {
            broken.add("no one view " + when + ": " + wrong);
        }
    }

    private long bytes() throws IOException {
        long sum = 0;
        for (int i = 0; i < DOORS; i++) {
            sum += ((Number) fleet.ask(i, "members").get("sent_bytes")).longValue();
        }
        return sum;
    }

    private long count(int mark, Predicate<Event> which) {
        return fleet.log().since(mark).stream().filter(which).count();
    }

    private void none(String name, long count) {
        figures.put(name, count);
        if (count != 0) {
            broken.add(name + " is " + count);
        }
    }

    private void figure(String name, double value, double most) {
        figures.put(name, value);
        if (!(value <= most)) {
            broken.add(name + " is " + value + ", over " + most);
        }
    }

    private static Histogram latency(SiteClients clients) {
        Histogram all = new Histogram(60_000_000L, 3);
        clients.counts().values().forEach(each -> all.add(each.latency));
        return all;
    }

    private static double p99(Histogram now, Histogram before) {
        Histogram between = now.copy();
        between.subtract(before);
        return between.getValueAtPercentile(99);
    }

    private static double round(double figure) {
        return Math.round(figure * 1_000) / 1_000.0;
    }
}
