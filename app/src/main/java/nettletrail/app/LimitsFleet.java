package nettletrail.app;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import nettletrail.counter.CounterStore;
import nettletrail.limits.LeaseScript;
import nettletrail.limits.LimitsDecider;
import nettletrail.limits.LimitsDecider.Call;
import nettletrail.limits.LimitsDecider.Ceiling;
import nettletrail.limits.LimitsDecider.Terms;
import nettletrail.limits.LimitsDecider.Told;
import nettletrail.site.FillingStore;

/**
 * Front doors, counters and the ways between them in virtual time: the deciders and the script are the real ones, all else
 * is played from a seed. Each unit let in is held against the ceiling as all front doors together must keep it.
 */
final class LimitsFleet {
    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;
    private static final long TICK = 20 * MS;
    private static final long CALL_TIMEOUT = 200 * MS;
    private static final long PROBE_EVERY = 100 * MS;
    private static final long WALL_START_MS = 1_700_000_000_000L;

    /** Who asks for how much: units a second of one customer at one front door, from a time on. */
    record Load(int door, long customer, double unitsPerS, double meanUnits) { }

    /** A store as the rule has it: what all front doors let in together, and how far it was overdrawn at most. */
    static final class Audit {
        private final FillingStore filling;
        /** What was left when units were let in last. */
        double store;
        double deepest;
        double let;
        double asked;

        Audit(Ceiling ceiling, long now) {
            filling = new FillingStore(ceiling.ratePerS(), ceiling.burst(), now);
            store = ceiling.burst();
        }

        void let(long now, double units) {
            store = filling.draw(now, units);
            let += units;
            deepest = Math.min(deepest, store);
        }
    }

    /** Hears of each request before its front door does. */
    interface Asked {
        void asked(Door door, long customer, double units);
    }

    private record Event(long at, long order, Runnable run) { }

    /** One front door, and the way from it to a counter. */
    final class Door implements LimitsDecider.Actions {
        final int number;
        /** Which counter it reaches; -1 for none. */
        int counter;
        boolean dead;
        long pausedUntil;
        /** How many answers of its next calls are lost after the counter has counted. */
        int loseAnswers;
        LimitsDecider decider;
        private int process;
        final List<String> said = new ArrayList<>();

        Door(int number) {
            this.number = number;
            begin();
        }

        /** A new process. */
        void begin() {
            decider = new LimitsDecider(terms(number, ++process), now, this);
        }

        @Override
        public void call(Call call) {
            calls++;
            rows += call.rows().size();
            exchange(call, told -> decider.told(now, call, told), () -> decider.failed(now, call));
        }

        @Override
        public void beat(Call call) {
            beats++;
            long failsAt = now + PROBE_EVERY;
            exchange(call, told -> decider.beaten(now, told.get(0)),
                    () -> at(failsAt, () -> whenAwake(process, () -> decider.beatFailed(now))));
        }

        /** There and back, with a time-out; what comes of it comes once. */
        private void exchange(Call call, Consumer<List<Told>> answered, Runnable failed) {
            int life = process;
            List<String> keys = LeaseScript.keys("t", call.rows());
            List<String> arguments = LeaseScript.arguments(terms(number, life), call, "e" + ++epochs);
            int to = counter;
            boolean[] done = new boolean[1];
            at(now + CALL_TIMEOUT, () -> whenAwake(life, () -> {
                if (!done[0]) {
                    done[0] = true;
                    failed.run();
                }
            }));
            long there = now + delay();
            at(to < 0 ? there : Math.max(there, stoppedUntil), () -> {
                if (to < 0) {
                    return;
                }
                Object answer;
                try {
                    answer = counters.get(to).eval("lease", keys, arguments);
                } catch (CounterStore.Refused e) {
                    answer = null;
                }
                Object told = answer;
                if (loseAnswers > 0) {
                    loseAnswers--;
                    return;
                }
                at(now + delay(), () -> whenAwake(life, () -> {
                    if (done[0] || counter != to) {
                        return;
                    }
                    done[0] = true;
                    if (told == null) {
                        failed.run();
                    } else {
                        answered.accept(LeaseScript.told(told, call.rows().size()));
                    }
                }));
            });
        }

        @Override
        public void log(String line) {
            said.add(line);
        }

        private void whenAwake(int life, Runnable run) {
            if (dead || life != process) {
                return;
            }
            if (now < pausedUntil) {
                at(pausedUntil, () -> whenAwake(life, run));
            } else {
                run.run();
            }
        }

        private void tick() {
            if (!dead) {
                whenAwake(process, () -> decider.tick(now));
                at(now + TICK, this::tick);
            }
        }
    }

    final List<Door> doors = new ArrayList<>();
    final List<CounterStore> counters = new ArrayList<>();
    final Map<Long, Audit> audits = new HashMap<>();
    final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at)
            .thenComparingLong(Event::order));
    private final Ceiling ceiling;
    int set;
    Asked asked = (door, customer, units) -> { };
    private final Map<Load, double[]> loads = new HashMap<>();
    long leaseNs = 2 * SECOND;
    long idleNs = 30 * SECOND;
    long lossNs = 120 * SECOND;
    double floor = 0.25;
    int mostPerS = 2_000;
    long now;
    long calls;
    long rows;
    long beats;
    long requests;
    private long order;
    private long epochs;
    /** Until when counters are stopped: what comes meanwhile is run then. */
    long stoppedUntil;
    private long mostDelay = 2 * MS;

    LimitsFleet(long seed, int doors, int set, Ceiling ceiling) {
        random = new SplittableRandom(seed);
        this.ceiling = ceiling;
        this.set = set;
        counters.add(counter());
        for (int i = 0; i < doors; i++) {
            this.doors.add(null);
        }
    }

    /** Starts all front doors; terms are set before. */
    LimitsFleet start() {
        for (int i = 0; i < doors.size(); i++) {
            Door door = new Door(i);
            doors.set(i, door);
            at(now + random.nextLong(TICK), door::tick);
        }
        return this;
    }

    Terms terms(int door, int process) {
        return new Terms("n" + door + "/" + process, leaseNs, lossNs, idleNs, CALL_TIMEOUT + 100 * MS, floor, doors.size(), 32,
                mostPerS, 100_000);
    }

    CounterStore counter() {
        CounterStore made = new CounterStore(() -> WALL_START_MS + now / MS);
        made.load("lease", LeaseScript.TEXT);
        return made;
    }

    /** Two halves that each know what the first knew; these front doors reach the second. */
    void split(int... second) {
        CounterStore half = counters.get(0).copy();
        half.load("lease", LeaseScript.TEXT);
        counters.add(half);
        for (int door : second) {
            doors.get(door).counter = counters.size() - 1;
        }
    }

    /** A new server under the old address, which knows nothing. */
    void replace() {
        counters.set(0, counter());
    }

    /** A replica takes over that knows what the server knew when it was copied. */
    void promote(CounterStore replica) {
        counters.set(0, replica);
    }

    CounterStore replica() {
        CounterStore replica = counters.get(0).copy();
        replica.load("lease", LeaseScript.TEXT);
        return replica;
    }

    /** The process is gone, and another of the same name takes its place. */
    void restart(int door) {
        doors.get(door).begin();
    }

    private long delay() {
        return MS / 5 + random.nextLong(mostDelay);
    }

    void at(long time, Runnable run) {
        events.add(new Event(Math.max(time, now), order++, run));
    }

    /** From now on this customer asks there for so much; 0 for no more. */
    void load(Load load) {
        load(load, load.unitsPerS());
    }

    void load(Load load, double unitsPerS) {
        double[] rate = loads.get(load);
        if (rate != null) {
            rate[0] = unitsPerS;
            return;
        }
        rate = new double[] {unitsPerS};
        loads.put(load, rate);
        audits.computeIfAbsent(load.customer(), id -> new Audit(ceiling, now));
        next(load, rate);
    }

    private void next(Load load, double[] rate) {
        double perS = Math.max(rate[0], 0.01) / load.meanUnits();
        at(now + (long) (-Math.log(1 - random.nextDouble()) / perS * SECOND), () -> {
            if (rate[0] > 0) {
                ask(load);
            }
            next(load, rate);
        });
    }

    private void ask(Load load) {
        Door door = doors.get(load.door());
        double units = 1 + random.nextInt((int) (2 * load.meanUnits() - 1));
        Audit audit = audits.get(load.customer());
        audit.asked += units;
        requests++;
        asked.asked(door, load.customer(), units);
        int life = door.process;
        door.whenAwake(life, () -> {
            if (door.decider.take(now, load.customer(), ceiling, set, units)) {
                audit.let(now, units);
            }
        });
    }

    void run(long until) {
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event next = events.poll();
            now = next.at();
            next.run().run();
        }
        now = until;
    }
}
