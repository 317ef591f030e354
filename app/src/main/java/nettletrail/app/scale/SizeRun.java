package nettletrail.app.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.stream.IntStream;
import nettletrail.emulator.capacity.ProcessUse;
import org.HdrHistogram.Histogram;

/**
 * One size, one seed: started, warmed, changed, broken, and what that cost. The steady figures are those of the time in
 * which a day's changes are squeezed; each event has its own.
 */
final class SizeRun {
    /**
     * How long its parts are.
     *
     * @param warmS until anything counts
     * @param changesS in which single entries change, {@link #CHANGES_PER_S} a second; the steady figures
     * @param aloneS in which only the real front doors get requests, and entries go on changing
     * @param events whether racks, zones, a region, restarts and a loss of discovery follow
     */
    record Schedule(int warmS, int changesS, int aloneS, boolean events) {
        Schedule withoutEvents() {
            return new Schedule(warmS, changesS, aloneS, false);
        }
    }

    /** A day's 320 in 80 s. The same at every size, as the plan's are. */
    static final int CHANGES_PER_S = 4;
    /** While only the real front doors get requests: still hundreds of times the plan's pace. */
    private static final int ALONE_S_A_CHANGE = 2;
    /** A change not known everywhere by then counts as told then. */
    private static final long MOST_TOLD_S = 30;
    private static final int DOWN_S = 8;
    private static final long SETTLE_MS = 500;

    private final ScaleFleet fleet;
    private final Schedule schedule;
    private final SplittableRandom random;
    private final List<Map<String, Object>> events = new ArrayList<>();
    private final List<Double> told = new ArrayList<>();
    private final Map<String, Object> figures = new LinkedHashMap<>();
    private double mostMb;

    private SizeRun(ScaleFleet fleet, Schedule schedule) {
        this.fleet = fleet;
        this.schedule = schedule;
        random = new SplittableRandom(fleet.plan().seed() + 17);
    }

    /** Figures by name, the events under {@code events}. */
    static Map<String, Object> play(int doors, int backends, long seed, Mechanism mechanism, Schedule schedule)
            throws IOException, InterruptedException, ExecutionException {
        long from = System.nanoTime();
        try (ScaleFleet fleet = new ScaleFleet(doors, backends, seed, mechanism)) {
            SizeRun run = new SizeRun(fleet, schedule);
            run.figures.put("hollow_doors", doors);
            run.figures.put("real_doors", ScaleFleet.REAL_DOORS);
            run.figures.put("backends", backends);
            run.figures.put("seed", seed);
            Spread first = Spread.of(fleet.told(new ScaleFleet.Mark(1, System.nanoTime()), MOST_TOLD_S));
            run.figures.put("first_list_s", round((System.nanoTime() - from) / 1e9));
            run.figures.put("first_list_max_after_start_s", round(first.max()));
            run.steady();
            run.alone();
            if (schedule.events()) {
                run.events();
            }
            run.end();
            run.figures.put("run_s", round((System.nanoTime() - from) / 1e9));
            return run.figures;
        }
    }

    static double round(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    private void steady() throws IOException, InterruptedException {
        Snapshot quiet = fleet.snapshot();
        Thread.sleep(schedule.warmS() * 1_000L);
        new Steady(figures, fleet.plan()).putQuiet(quiet, fleet.snapshot());
        record();
        long[] sendsBefore = fleet.sends();
        Snapshot before = fleet.snapshot();
        List<ScaleFleet.Mark> marks = changes(schedule.changesS(), schedule.changesS() * CHANGES_PER_S);
        Snapshot after = fleet.snapshot();
        long[] sends = fleet.sends();
        added("_busy");
        List<Double> changes = new ArrayList<>();
        for (ScaleFleet.Mark mark : marks) {
            changes.addAll(fleet.told(mark, MOST_TOLD_S));
        }
        told.addAll(changes);
        new Steady(figures, fleet.plan()).put(before, after, changes, marks.size(), sendsBefore, sends);
        mostMb = Math.max(mostMb, fleet.residentMb());
    }

    /** Single entries change at an even pace, in turn to be drained and to serve again; when each was ordered. */
    private List<ScaleFleet.Mark> changes(int seconds, int count) throws IOException, InterruptedException {
        List<ScaleFleet.Mark> marks = new ArrayList<>();
        long began = System.nanoTime();
        int backend = 0;
        for (int i = 0; i < count; i++) {
            sleepUntil(began + seconds * 1_000_000_000L * i / count);
            boolean drain = i % 2 == 0;
            backend = drain ? random.nextInt(fleet.plan().backends()) : backend;
            marks.add(fleet.change(drain ? "DRAINING" : "SERVING", 0, "one:" + backend));
        }
        sleepUntil(began + seconds * 1_000_000_000L);
        return marks;
    }

    /**
     * What the real front doors add while control is at work and the hollow ones ask for nothing: these stand for machines
     * of their own, whose requests would take no cores from the real ones.
     */
    private void alone() throws IOException, InterruptedException {
        fleet.paused(true);
        Thread.sleep(SETTLE_MS);
        Map<String, Long> before = fleet.backendCounts();
        record();
        List<ScaleFleet.Mark> marks = changes(schedule.aloneS(), Math.max(1, schedule.aloneS() / ALONE_S_A_CHANGE));
        added("");
        for (ScaleFleet.Mark mark : marks) {
            told.addAll(fleet.told(mark, MOST_TOLD_S));
        }
        Map<String, Long> now = fleet.backendCounts();
        long requests = now.get("requests") - before.get("requests");
        long accepted = now.get("accepted") - before.get("accepted");
        figures.put("real_and_relay_reuse_pct", round(100.0 * (requests - accepted) / Math.max(1, requests)));
        figures.put("real_door_resident_mb", round(fleet.real().stream().mapToDouble(each ->
                ProcessUse.residentMb(each.pid())).max().orElse(0)));
        fleet.paused(false);
    }

    private void record() {
        fleet.loads().forEach(RealLoad::record);
        fleet.relayLoads().forEach(RealLoad::record);
    }

    private static void sleepUntil(long ns) throws InterruptedException {
        long left = ns - System.nanoTime();
        if (left > 0) {
            Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
        }
    }

    /** What the real front doors add, against the relay on the same requests, since counting began; it ends here. */
    private void added(String suffix) {
        fleet.loads().forEach(RealLoad::stopRecording);
        fleet.relayLoads().forEach(RealLoad::stopRecording);
        Histogram doors = new Histogram(60_000_000L, 3);
        fleet.loads().forEach(each -> doors.add(each.added()));
        Histogram relay = new Histogram(60_000_000L, 3);
        fleet.relayLoads().forEach(each -> relay.add(each.added()));
        double door = doors.getValueAtPercentile(99) / 1e3;
        double floor = relay.getValueAtPercentile(99) / 1e3;
        figures.put("added_p99" + suffix + "_ms", round(door - floor));
        figures.put("added_p50" + suffix + "_ms", round((doors.getValueAtPercentile(50) - relay.getValueAtPercentile(50)) / 1e3));
        figures.put("door_p99" + suffix + "_ms", round(door));
        figures.put("relay_p99" + suffix + "_ms", round(floor));
        figures.put("real_requests" + suffix, doors.getTotalCount());
        figures.put("real_not_served" + suffix, fleet.loads().stream().mapToLong(RealLoad::notServed).sum());
        figures.put("relay_requests" + suffix, relay.getTotalCount());
        figures.put("relay_not_served" + suffix, fleet.relayLoads().stream().mapToLong(RealLoad::notServed).sum());
    }

    private void events() throws IOException, InterruptedException, ExecutionException {
        int rack = random.nextInt(1 + FleetPlan.rack(fleet.plan().backends() - 1));
        outAndBack("rack", "rack:1/" + rack);
        outAndBack("zone", "zone:2");
        outAndBack("region", "region:1");
        restarts();
        discoveryDown();
    }

    private interface Act {
        ScaleFleet.Mark happen() throws IOException, InterruptedException;
    }

    private List<Double> event(String name, Act act) throws IOException, InterruptedException {
        Snapshot before = fleet.snapshot();
        List<Double> at = fleet.told(act.happen(), MOST_TOLD_S);
        Thread.sleep(SETTLE_MS);
        events.add(cost(name, before, fleet.snapshot(), at));
        told.addAll(at);
        mostMb = Math.max(mostMb, fleet.residentMb());
        return at;
    }

    private Map<String, Object> cost(String name, Snapshot before, Snapshot after, List<Double> at) {
        Map<String, Object> event = new LinkedHashMap<>();
        Spread spread = Spread.of(at);
        event.put("event", name);
        event.put("told_p50_s", round(spread.p50()));
        event.put("told_p99_s", round(spread.p99()));
        event.put("told_max_s", round(spread.max()));
        event.put("took_s", round(after.secondsSince(before)));
        Spread bytes = Spread.of(IntStream.range(0, at.size()).mapToObj(i -> after.since(before, "bytes_in").get(i)
                + after.since(before, "bytes_out").get(i)).toList());
        event.put("door_bytes_p50", bytes.p50());
        event.put("door_bytes_p99", bytes.p99());
        Spread cpu = Spread.of(after.since(before, "control_ns"));
        event.put("door_list_cpu_ms_p50", round(cpu.p50() / 1e6));
        event.put("door_list_cpu_ms_p99", round(cpu.p99() / 1e6));
        event.put("machine_bytes_max", Spread.of(after.machineSince(before, "bytes_out")).max());
        event.put("machine_cpu_ms_max", round(Spread.of(after.machineSince(before, "process_ns")).max() / 1e6));
        event.put("machine_mb_max", round(Spread.of(after.machine("resident_mb")).max()));
        event.put("refused", after.sum("refused") - before.sum("refused"));
        event.put("failed", after.sum("failed") - before.sum("failed"));
        event.put("requests", after.sum("arrived") - before.sum("arrived"));
        return event;
    }

    private void outAndBack(String name, String selector) throws IOException, InterruptedException {
        event(name + " gone", () -> {
            fleet.backends(true, selector);
            return fleet.change("DELETED", 0, selector);
        });
        event(name + " back", () -> {
            fleet.backends(false, selector);
            return fleet.change("SERVING", System.currentTimeMillis(), selector);
        });
    }

    /** All hollow front doors by tenths; the real ones with the first tenths, one each. */
    private void restarts() throws IOException, InterruptedException, ExecutionException {
        Snapshot before = fleet.snapshot();
        List<Double> at = new ArrayList<>();
        List<Double> ready = new ArrayList<>();
        List<Double> ended = new ArrayList<>();
        for (int tenth = 0; tenth < HollowDoors.TENTHS; tenth++) {
            ScaleFleet.Mark mark = fleet.now();
            fleet.restart(tenth);
            List<Double> all = fleet.told(mark, MOST_TOLD_S);
            for (int i = tenth; i < all.size(); i += HollowDoors.TENTHS) {
                at.add(all.get(i));
            }
            if (tenth < fleet.real().size()) {
                RealDoor door = fleet.real().get(tenth);
                fleet.loads().get(tenth).stop();
                ended.add(door.terminate());
                long from = System.nanoTime();
                door.launch();
                door.awaitReady();
                ready.add((System.nanoTime() - from) / 1e9);
                fleet.loads().get(tenth).start(door.address());
            }
        }
        Map<String, Object> event = cost("restart of all by tenths", before, fleet.snapshot(), at);
        event.put("real_ready_max_s", round(Spread.of(ready).max()));
        event.put("real_ended_max_s", round(Spread.of(ended).max()));
        events.add(event);
        told.addAll(at);
        mostMb = Math.max(mostMb, fleet.residentMb());
    }

    /** Changes made in the first second of a loss are told after it. */
    private void discoveryDown() throws IOException, InterruptedException {
        long[] back = new long[1];
        long[] ordered = new long[1];
        List<Double> at = event("discovery down for 8 s", () -> {
            long from = System.nanoTime();
            fleet.discovery(true);
            Thread.sleep(1_000);
            ScaleFleet.Mark mark = fleet.change("DRAINING", 0, "one:0");
            sleepUntil(from + DOWN_S * 1_000_000_000L);
            fleet.discovery(false);
            back[0] = System.nanoTime();
            ordered[0] = mark.atNs();
            return mark;
        });
        Spread after = Spread.of(at.stream().map(each -> each - (back[0] - ordered[0]) / 1e9).toList());
        Map<String, Object> event = events.get(events.size() - 1);
        event.put("told_after_back_p50_s", round(after.p50()));
        event.put("told_after_back_p99_s", round(after.p99()));
        event.put("told_after_back_max_s", round(after.max()));
    }

    private void end() throws IOException, InterruptedException {
        Spread all = Spread.of(told);
        figures.put("told_p99_s", round(all.p99()));
        figures.put("told_max_s", round(all.max()));
        figures.put("control_mb", round(Spread.of(fleet.doorMb()).max()));
        Snapshot last = fleet.snapshot();
        figures.put("machine_mb_max", round(Spread.of(last.machine("peak_mb")).max()));
        figures.put("machines", ScaleFleet.MACHINES);
        figures.put("processes", fleet.processes());
        figures.put("resident_mb_all", round(Math.max(mostMb, fleet.residentMb())));
        figures.put("gc_ms_all", last.processes("gc_ms"));
        if (!events.isEmpty()) {
            figures.put("events", events);
        }
    }
}
