package nettletrail.app;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import nettletrail.app.LimitsFleet.Audit;
import nettletrail.app.LimitsFleet.Door;
import nettletrail.app.LimitsFleet.Load;
import nettletrail.core.InboundRequest;
import nettletrail.core.RequestLimiter;
import nettletrail.counter.StandInCounter;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;
import nettletrail.limits.LimitsBound;
import nettletrail.limits.LimitsDecider.Ceiling;
import nettletrail.limits.LimitsSettings;
import nettletrail.site.FillingStore;

/**
 * Shared ceilings through 60 s of loss, a split and both recoveries: in virtual time with 3 and with 40 front doors, beside
 * a call for each request and an even split on the very same requests; and over sockets, for what it costs.
 */
final class MeasureLimits implements Measure.Measurement {
    private static final long SECOND = LimitsFleet.SECOND;
    private static final Ceiling CEILING = new Ceiling(20, 40);
    /** Units a second that a customer asks for, as a multiple of its ceiling. */
    private static final double DEMAND = 1.6;
    private static final int BEGIN_S = 10;
    private static final int STEADY_S = 30;
    private static final int LOSS_S = 60;
    private static final int BACK_S = 30;
    private static final double MEAN_UNITS = 3;
    /** The overshoot is told in percent of what the ceiling allows in so many seconds. */
    private static final int OVER_S = 10;
    private static final double MOST_OVERSHOOT_PCT = 5;
    private static final double LEAST_SERVED = 0.7;
    private static final double MOST_BACK_S = 10;
    private static final double IS_BACK = 0.9;
    private static final int REAL_RATE = 1_000;
    private static final Ceiling SOCKET_CEILING = new Ceiling(100, 200);
    private static final int LARGE_CUSTOMERS = 5_000;
    private static final int LARGE_S = 3;
    private static final String SETTINGS = """
            Balancers=3
            Services.count=1
            Services.0.Name=order-status
            Services.0.Aim=750000000
            Services.0.Effect=free
            TiersOfService.count=1
            TiersOfService.0.Name=business
            TiersOfService.0.PerSecond=10000
            TiersOfService.0.Burst=10000""";

    /** What one way of holding ceilings let in, by customer, and where it stood at marks of time. */
    private static final class Tally {
        final Map<Long, Audit> audits = new HashMap<>();

        void let(long now, long customer, double units) {
            audits.computeIfAbsent(customer, id -> new Audit(CEILING, 0)).let(now, units);
        }

        double let() {
            return audits.values().stream().mapToDouble(each -> each.let).sum();
        }

        double deepest() {
            return -audits.values().stream().mapToDouble(each -> each.deepest).min().orElse(0);
        }
    }

    private static boolean take(FillingStore store, long now, double units) {
        boolean there = store.level(now) >= units;
        if (there) {
            store.draw(now, units);
        }
        return there;
    }

    /** One run in virtual time, and the two others on the same requests. */
    private static final class Run {
        final LimitsFleet fleet;
        final Measure.Options options;
        final int set;
        final int customers;
        final Tally evenSplit = new Tally();
        final Tally callEach = new Tally();
        private final Map<String, FillingStore> stores = new HashMap<>();
        /** Units let in a second before anything was lost: leases, even split, a call each. */
        double[] steadyPerS;
        /** Seconds after the loss and after the split, the longer of the two; in the same order. */
        final double[] back = new double[3];
        double servedDuringLoss;
        double evenDuringLoss;
        double callDuringLoss;

        Run(Measure.Options options, int doors, int set, int customers) {
            this.options = options;
            fleet = new LimitsFleet(options.seed(), doors, set, CEILING).start();
            this.set = set;
            this.customers = customers;
            fleet.asked = this::asked;
        }

        private void asked(Door door, long customer, double units) {
            FillingStore own = stores.computeIfAbsent(customer + "/" + door.number,
                    key -> new FillingStore(CEILING.ratePerS() / set, CEILING.burst() / set, fleet.now));
            if (take(own, fleet.now, units)) {
                evenSplit.let(fleet.now, customer, units);
            }
            // Refused where the counter can't be asked: let in instead, it would be no ceiling at all.
            FillingStore shared = door.counter < 0 ? null : stores.computeIfAbsent(customer + "@" + door.counter,
                    key -> new FillingStore(CEILING.ratePerS(), CEILING.burst(), fleet.now));
            if (shared != null && take(shared, fleet.now, units)) {
                callEach.let(fleet.now, customer, units);
            }
        }

        private double let() {
            return fleet.audits.values().stream().mapToDouble(each -> each.let).sum();
        }

        private double allowed(double seconds) {
            return customers * CEILING.ratePerS() * seconds;
        }

        void play() {
            fleet.run(5 * SECOND);
            double[] parts = {0.6, 0.25, 0.15};
            for (int customer = 0; customer < customers; customer++) {
                for (int i = 0; i < set; i++) {
                    double part = set == parts.length ? parts[(i + customer) % set] : 2.0 * (i + 1) / (set * (set + 1));
                    fleet.load(new Load((customer + i) % fleet.doors.size(), 100 + customer,
                            DEMAND * CEILING.ratePerS() * part, MEAN_UNITS));
                }
            }
            fleet.run(fleet.now + options.part(BEGIN_S) * SECOND);
            double[] atBegin = lets();
            fleet.run(fleet.now + options.part(STEADY_S) * SECOND);
            steadyPerS = lets();
            for (int i = 0; i < steadyPerS.length; i++) {
                steadyPerS[i] = (steadyPerS[i] - atBegin[i]) / options.part(STEADY_S);
            }
            double before = let();
            double evenBefore = evenSplit.let();
            double callBefore = callEach.let();
            fleet.doors.forEach(each -> each.counter = -1);
            fleet.run(fleet.now + options.part(LOSS_S) * SECOND);
            servedDuringLoss = (let() - before) / allowed(options.part(LOSS_S));
            evenDuringLoss = (evenSplit.let() - evenBefore) / allowed(options.part(LOSS_S));
            callDuringLoss = (callEach.let() - callBefore) / allowed(options.part(LOSS_S));
            fleet.doors.forEach(each -> each.counter = 0);
            backAfter();
            int[] apart = new int[fleet.doors.size() / 3];
            for (int i = 0; i < apart.length; i++) {
                apart[i] = i;
            }
            // The other half starts as a copy, in the baseline too.
            fleet.split(apart);
            int half = fleet.counters.size() - 1;
            for (int customer = 0; customer < customers; customer++) {
                FillingStore one = stores.get(100L + customer + "@0");
                if (one != null) {
                    stores.put(100L + customer + "@" + half, one.copy());
                }
            }
            fleet.run(fleet.now + options.part(LOSS_S) * SECOND);
            fleet.doors.forEach(each -> each.counter = 0);
            backAfter();
        }

        /** Seconds until as much is let in in a second as before the loss, nearly; the rest of its time is played too. */
        private void backAfter() {
            double[] took = new double[back.length];
            for (int s = 1; s <= options.part(BACK_S); s++) {
                double[] before = lets();
                fleet.run(fleet.now + SECOND);
                double[] after = lets();
                for (int i = 0; i < took.length; i++) {
                    took[i] = took[i] == 0 && after[i] - before[i] >= IS_BACK * steadyPerS[i] ? s : took[i];
                }
            }
            for (int i = 0; i < took.length; i++) {
                back[i] = Math.max(back[i], took[i] == 0 ? options.part(BACK_S) : took[i]);
            }
        }

        private double[] lets() {
            return new double[] {let(), evenSplit.let(), callEach.let()};
        }

        double deepest() {
            return -fleet.audits.values().stream().mapToDouble(each -> each.deepest).min().orElse(0);
        }
    }

    @Override
    public Measure.Result run(Measure.Options options) throws Exception {
        Map<String, Object> figures = new LinkedHashMap<>();
        List<String> broken = new ArrayList<>();
        Run three = new Run(options, 3, 3, 5);
        three.play();
        tell(figures, broken, "", three);
        Run forty = new Run(options, 40, 6, 100);
        forty.play();
        tell(figures, broken, "forty_", forty);
        figures.put("forty_counter_bytes_per_customer", forty.fleet.counters.get(0).bytes() / forty.customers);
        large(figures, options);
        real(figures, options);
        processes(figures, broken, options);
        return new Measure.Result(figures, broken);
    }

    private static void tell(Map<String, Object> figures, List<String> broken, String prefix, Run run) {
        double allowed = CEILING.burst() + OVER_S * CEILING.ratePerS();
        double overshoot = round(100 * run.deepest() / allowed);
        double back = run.back[0];
        figures.put(prefix + "overshoot_pct", overshoot);
        figures.put(prefix + "served_share_during_loss", round(run.servedDuringLoss));
        figures.put(prefix + "back_after_s", back);
        figures.put(prefix + "calls_per_request", round((double) run.fleet.calls / run.fleet.requests));
        figures.put(prefix + "customers_per_call", round((double) run.fleet.rows / run.fleet.calls));
        figures.put(prefix + "beats_per_s", round(run.fleet.beats * (double) SECOND / run.fleet.now));
        figures.put(prefix + "even_split_overshoot_pct", round(100 * run.evenSplit.deepest() / allowed));
        figures.put(prefix + "even_split_served_share_during_loss", round(run.evenDuringLoss));
        figures.put(prefix + "even_split_back_after_s", run.back[1]);
        figures.put(prefix + "even_split_calls_per_request", 0);
        figures.put(prefix + "even_split_served_share", round(run.evenSplit.let()
                / run.allowed((run.fleet.now - 5 * SECOND) / (double) SECOND)));
        figures.put(prefix + "served_share", round(run.let() / run.allowed((run.fleet.now - 5 * SECOND) / (double) SECOND)));
        figures.put(prefix + "call_each_overshoot_pct", round(100 * run.callEach.deepest() / allowed));
        figures.put(prefix + "call_each_served_share_during_loss", round(run.callDuringLoss));
        figures.put(prefix + "call_each_back_after_s", run.back[2]);
        figures.put(prefix + "call_each_calls_per_request", 1);
        promise(broken, prefix, overshoot, run.servedDuringLoss, back);
    }

    /** The size of the largest installation that was named, without a loss: what it asks of the counter. */
    private static void large(Map<String, Object> figures, Measure.Options options) {
        int customers = options.part(LARGE_CUSTOMERS);
        LimitsFleet fleet = new LimitsFleet(options.seed(), 40, 6, CEILING).start();
        for (int i = 0; i < customers * 6; i++) {
            fleet.load(new Load((i / 6 + i % 6) % 40, i / 6, 0.5, MEAN_UNITS));
        }
        fleet.run(3 * SECOND);
        long calls = fleet.calls;
        fleet.run(fleet.now + LARGE_S * SECOND);
        figures.put("large_customers", customers);
        figures.put("large_calls_per_s_per_front_door", round((fleet.calls - calls) / 40.0 / LARGE_S));
        figures.put("large_counter_bytes", fleet.counters.get(0).bytes());
        figures.put("large_most_customers_at_a_front_door",
                fleet.doors.stream().mapToInt(each -> each.decider.status().accounts()).max().orElse(0));
    }

    /** Whole front doors; a loss of 60 s takes {@code --seconds 60}. */
    private static void processes(Map<String, Object> figures, List<String> broken, Measure.Options options)
            throws Exception {
        LimitsProcesses.Figures told = LimitsProcesses.run(options);
        double overshoot = round(told.overshootPct(OVER_S));
        figures.put("processes_requests", told.requests());
        figures.put("processes_loss_s", options.seconds());
        figures.put("processes_customers_over_ceiling", told.saturated());
        figures.put("processes_overshoot_pct", overshoot);
        figures.put("processes_served_share", round(told.servedSteady()));
        figures.put("processes_served_share_during_loss", round(told.servedDuringLoss()));
        figures.put("processes_back_after_s", told.backAfterS());
        figures.put("processes_calls_per_request", round(told.callsPerRequest()));
        figures.put("processes_cpu_us_per_request", round(told.cpuUsPerRequest()));
        figures.put("processes_rules_broken", told.breaks().size());
        promise(broken, "processes_", overshoot, told.servedDuringLoss(), told.backAfterS());
        told.breaks().stream().limit(5).forEach(each -> broken.add("processes: " + each.rule() + " " + each.what()));
    }

    private static void promise(List<String> broken, String prefix, double overshoot, double served, double back) {
        if (overshoot >= MOST_OVERSHOOT_PCT) {
            broken.add(prefix + "overshoot_pct is " + overshoot + ", " + MOST_OVERSHOOT_PCT + " or more");
        }
        if (!(served >= LEAST_SERVED)) {
            broken.add(prefix + "served_share_during_loss is " + round(served) + ", under " + LEAST_SERVED);
        }
        if (back >= MOST_BACK_S) {
            broken.add(prefix + "back_after_s is " + back + ", " + MOST_BACK_S + " or more");
        }
    }

    private static double round(double figure) {
        return Math.round(figure * 1_000) / 1_000.0;
    }

    /** Three bounds over sockets at a paced load: the CPU of their loops and of the client library's threads. */
    private static void real(Map<String, Object> figures, Measure.Options options) throws Exception {
        int seconds = Math.max(2, Math.min(options.seconds() / 4, 5));
        NioEventLoopGroup group = new NioEventLoopGroup(4);
        List<EventLoop> loops = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            loops.add(group.next());
        }
        GatewaySettingsReader reader = new GatewaySettingsReader(SETTINGS);
        Gateway.Settings settings = reader.settings(options.seed());
        try (StandInCounter counter = new StandInCounter(loops.get(3), null)) {
            LimitsSettings limits = new LimitsSettings(counter.address(), "measure", "", Map.of("business",
                    SOCKET_CEILING), 3, 2_000, 120, 30, 25, 200, 32, 2_000, 1_000);
            List<RequestLimiter> bounds = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                bounds.add(LimitsBound.maker(limits).create("n" + i, loops.get(i), reader, settings));
            }
            pace(loops, bounds, options.seed(), options.part(4));
            long before = cpuNs(loops);
            long callsBefore = counter.commands();
            long requests = pace(loops, bounds, options.seed(), seconds);
            double used = (cpuNs(loops) - before) / 1e3 / requests;
            double callsEach = (double) (counter.commands() - callsBefore) / requests;
            bounds.forEach(RequestLimiter::close);
            List<RequestLimiter> even = List.of(new EvenSplit(), new EvenSplit(), new EvenSplit());
            before = cpuNs(loops);
            requests = pace(loops, even, options.seed(), seconds);
            double evenUsed = (cpuNs(loops) - before) / 1e3 / requests;
            // And without any, for the pace itself costs too; last, when all of it is compiled.
            before = cpuNs(loops);
            requests = pace(loops, null, options.seed(), seconds);
            double floor = (cpuNs(loops) - before) / 1e3 / requests;
            figures.put("cpu_us_per_request", round(used - floor));
            figures.put("socket_calls_per_request", round(callsEach));
            figures.put("even_split_cpu_us_per_request", round(evenUsed - floor));
            // What a call costs, were there one for each request: nearly all of it is calls.
            figures.put("call_each_cpu_us_per_request", round((used - floor) / callsEach));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** A third of each ceiling, and no counter. */
    private static final class EvenSplit implements RequestLimiter {
        private final Map<Long, FillingStore> stores = new HashMap<>();

        @Override
        public boolean tryAcquire(InboundRequest arrival) {
            long now = System.nanoTime();
            return MeasureLimits.take(stores.computeIfAbsent(arrival.customer(),
                    id -> new FillingStore(SOCKET_CEILING.ratePerS() / 3, SOCKET_CEILING.burst() / 3, now)), now,
                    arrival.units());
        }
    }

    /** CPU of the front doors' loops and of the client library's threads. */
    private static long cpuNs(List<EventLoop> loops) throws Exception {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (long id : threads.getAllThreadIds()) {
            String name = threads.getThreadInfo(id) == null ? "" : threads.getThreadInfo(id).getThreadName();
            sum += name.startsWith("lettuce") ? Math.max(0, threads.getThreadCpuTime(id)) : 0;
        }
        for (int i = 0; i < 3; i++) {
            sum += loops.get(i).submit(() -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime()).get();
        }
        return sum;
    }

    private static long pace(List<EventLoop> loops, List<RequestLimiter> bounds, long seed, int seconds)
            throws Exception {
        long[] asked = new long[3];
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (int i = 0; i < 3; i++) {
            int door = i;
            SplittableRandom random = new SplittableRandom(seed + i);
            loops.get(i).submit(() -> {
                ask(loops.get(door), bounds == null ? RequestLimiter.NONE : bounds.get(door), random, asked, door, end);
            }).get();
        }
        Thread.sleep(seconds * 1_000L + 100);
        long sum = 0;
        for (int i = 0; i < 3; i++) {
            int door = i;
            sum += loops.get(i).submit(() -> asked[door]).get();
        }
        return sum;
    }

    private static void ask(EventLoop loop, RequestLimiter bound, SplittableRandom random, long[] asked, int door,
            long end) {
        if (System.nanoTime() >= end) {
            return;
        }
        asked[door]++;
        bound.tryAcquire(new InboundRequest(null, "/", "", 0, 0, random.nextLong(20), 1 + random.nextInt(5), 3, 1_000,
                null,
                Long.MAX_VALUE));
        long gap = (long) (-Math.log(1 - random.nextDouble()) * 3e9 / REAL_RATE);
        loop.schedule(() -> ask(loop, bound, random, asked, door, end), gap, TimeUnit.NANOSECONDS);
    }
}
