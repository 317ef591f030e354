package nettletrail.app.scale.thin;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import nettletrail.decision.Gateway.Backend;

/**
 * A fleet in virtual time: doors with a decision module each, backends, and requests that come by chance (Poisson).
 * The same case gives the same play, but for the processor time. One thread.
 */
public final class ThinFleet {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    /** Of so many calls of the module one is timed: the clock of the processor costs more than many a call. */
    private static final int TIMED_OF = 16;

    private record Event(long at, long order, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** A request that has no final answer yet. */
    private static final class Open {
        final long arrivedAt;
        int attempts;

        Open(long arrivedAt) {
            this.arrivedAt = arrivedAt;
        }
    }

    private final ThinCase play;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final SplittableRandom chance;
    private final ThinBackend[] backends;
    private final ThinDoor[] doors;
    private final Map<Long, Open> open = new HashMap<>();
    private final long startAt = 1_000 * SECOND;
    private final long endAt;
    private long now = startAt;
    private long order;
    private int asked;
    private int sends;
    private int reused;
    private int inAim;
    private int refusedAtOnce;
    private int refusedHeld;
    private int refusedTried;
    private int failed;
    private double[] tookMs = new double[1 << 12];
    private int served;
    private int calls;
    private long timedNs;
    private boolean timing;

    private ThinFleet(ThinCase play) {
        this.play = play;
        chance = new SplittableRandom(play.seed());
        endAt = startAt + play.seconds() * SECOND;
        backends = new ThinBackend[play.backends()];
        Arrays.setAll(backends, i -> new ThinBackend(this, play, i));
        doors = new ThinDoor[play.doors()];
        Arrays.setAll(doors, i -> new ThinDoor(this, play, i));
    }

    /** Plays it to the end. */
    public static ThinResult play(ThinCase play) {
        return new ThinFleet(play).run();
    }

    private ThinResult run() {
        tell(true, Arrays.asList(backends));
        if (play.restarted() > 0) {
            in(ThinCase.RESTART_S * SECOND, this::restart);
        }
        in(gap(), this::arrive);
        double[] connections = new double[2];
        in(play.seconds() * SECOND, () -> {
            connections[0] = Arrays.stream(doors).mapToInt(ThinDoor::connections).average().orElse(0);
            connections[1] = Arrays.stream(doors).mapToInt(ThinDoor::backendsOfTheLastMinute).average().orElse(0);
        });
        while (!events.isEmpty()) {
            Event next = events.poll();
            now = next.at();
            next.run().run();
        }
        return result(connections[0], connections[1]);
    }

    private void restart() {
        List<ThinBackend> some = new ArrayList<>();
        int zones = ThinCase.ZONES;
        for (ThinBackend backend : backends) {
            // Evenly over zones and over each zone's backends.
            long before = (long) (backend.index / zones * play.restarted() + backend.zone() * 0.2);
            if ((long) ((backend.index / zones + 1) * play.restarted() + backend.zone() * 0.2) > before) {
                some.add(backend);
            }
        }
        if (!play.slowCold()) {
            some.forEach(ThinBackend::start);
            tell(false, some);
            return;
        }
        some.forEach(ThinBackend::stop);
        in(SECOND, () -> some.forEach(ThinBackend::start));
        in(SECOND + SECOND / 2, () -> tell(false, some));
    }

    private void tell(boolean whole, List<ThinBackend> which) {
        List<Backend> entries = which.stream().map(ThinBackend::entry).toList();
        for (ThinDoor door : doors) {
            door.listed(whole, entries);
        }
    }

    private long gap() {
        return (long) (-Math.log(1 - chance.nextDouble()) * SECOND / play.perSecond());
    }

    private void arrive() {
        if (now >= endAt) {
            return;
        }
        in(gap(), this::arrive);
        long id = ++asked;
        open.put(id, new Open(now));
        doors[chance.nextInt(doors.length)].arrived(id);
    }

    private ThinResult result(double connections, double distinct) {
        double[] sorted = Arrays.copyOf(tookMs, served);
        Arrays.sort(sorted);
        double p99 = served == 0 ? 0 : sorted[(int) Math.min(served - 1, Math.ceil(0.99 * served) - 1)];
        double mean = Arrays.stream(sorted).average().orElse(0);
        double each = 1.0 / Math.max(1, asked);
        double zoneWorst = 0;
        for (int zone = 0; zone < ThinCase.ZONES; zone++) {
            int in = zone;
            zoneWorst = Math.max(zoneWorst, imbalance(Arrays.stream(backends).filter(b -> b.zone() == in)
                    .mapToInt(b -> b.sends).toArray()));
        }
        int refused = refusedAtOnce + refusedHeld + refusedTried;
        return new ThinResult(asked, sends, mean, p99, inAim * each, refused * each, refusedAtOnce * each,
                refusedHeld * each, refusedTried * each, failed * each,
                imbalance(Arrays.stream(backends).mapToInt(b -> b.sends).toArray()), zoneWorst,
                reused / (double) Math.max(1, sends), connections, distinct, timedNs * TIMED_OF / 1e3 * each);
    }

    private static double imbalance(int[] sends) {
        return Arrays.stream(sends).max().orElse(0) / Math.max(1e-9, Arrays.stream(sends).average().orElse(0));
    }

    // ---- For doors and backends --------------------------------------------------------------------------

    long now() {
        return now;
    }

    SplittableRandom chance() {
        return chance;
    }

    ThinBackend backend(int index) {
        return backends[index];
    }

    void in(long ns, Runnable run) {
        events.add(new Event(now + ns, ++order, run));
    }

    /** Calls the module; of some calls the processor time is kept. */
    void timed(Runnable call) {
        if (timing || ++calls % TIMED_OF != 0) {
            call.run();
            return;
        }
        timing = true;
        long before = threads.getCurrentThreadCpuTime();
        call.run();
        timedNs += threads.getCurrentThreadCpuTime() - before;
        timing = false;
    }

    /** The backend with the fewest requests at it, one of them by chance. */
    int leastLoaded() {
        int best = 0;
        int least = Integer.MAX_VALUE;
        int ties = 0;
        for (ThinBackend backend : backends) {
            int load = backend.load();
            if (load < least) {
                least = load;
                best = backend.index;
                ties = 1;
            } else if (load == least && chance.nextInt(++ties) == 0) {
                best = backend.index;
            }
        }
        return best;
    }

    boolean open(long requestId) {
        return open.containsKey(requestId);
    }

    void sent(long requestId, boolean kept) {
        sends++;
        reused += kept ? 1 : 0;
        Open request = open.get(requestId);
        if (request != null) {
            request.attempts++;
        }
    }

    /** The answer came; true if it is the request's final one. */
    boolean served(long requestId) {
        Open request = open.remove(requestId);
        if (request == null) {
            return false;
        }
        if (served == tookMs.length) {
            tookMs = Arrays.copyOf(tookMs, 2 * served);
        }
        double took = (now - request.arrivedAt) / (double) MS;
        tookMs[served++] = took;
        inAim += took <= ThinCase.AIM_MS ? 1 : 0;
        return true;
    }

    void refused(long requestId) {
        Open request = open.remove(requestId);
        if (request == null) {
            throw new IllegalStateException("a second final answer of request " + requestId);
        }
        if (request.attempts > 0) {
            refusedTried++;
        } else if (request.arrivedAt == now) {
            refusedAtOnce++;
        } else {
            refusedHeld++;
        }
    }

    void failed(long requestId) {
        if (open.remove(requestId) != null) {
            failed++;
        }
    }

    /** The client's time is up; true if the request was still open. */
    boolean left(long requestId) {
        boolean was = open.remove(requestId) != null;
        failed += was ? 1 : 0;
        return was;
    }
}
