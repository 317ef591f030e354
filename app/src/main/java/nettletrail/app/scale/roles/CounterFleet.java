package nettletrail.app.scale.roles;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import nettletrail.counter.CounterStore;
import nettletrail.emulator.capacity.Gauge;
import nettletrail.limits.LeaseScript;
import nettletrail.limits.LimitsDecider.Call;
import nettletrail.limits.LimitsDecider.Ceiling;
import nettletrail.limits.LimitsDecider.Terms;
import nettletrail.limits.LimitsDecider.Told;
import nettletrail.limits.LimitsDecider;

/**
 * Many front doors' real deciders before the real script in virtual time, under the traffic of many tenants: Poisson
 * arrivals, each at a door drawn evenly, of a tenant drawn by Zipf's law. Nothing fails here; the counter answers each call
 * in 0.2 to 1 ms whatever it costs, and what it costs is measured apart. One thread; one seed, one run.
 */
final class CounterFleet {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long TICK = 20 * MS;
    private static final long WALL_START_MS = 1_700_000_000_000L;
    private static final long LEASE = 2 * SECOND;
    private static final long LOSS = 120 * SECOND;
    private static final long GUARD = 400 * MS;
    private static final double FLOOR = 0.25;
    private static final int MOST_OUT = 32;
    /** A tenant's ceiling over its own mean rate: it is no matter of the ceiling that a request is refused. */
    private static final double ROOM = 2;
    /** Units a second of the smallest ceiling. */
    private static final double LEAST_RATE = 2;
    /** Headers of IPv4 and TCP; each call and each answer has them once for each segment. */
    private static final int IP_TCP = 52;
    private static final int SEGMENT = 1_448;

    /** The usual settings of {@code [limits]}. */
    record Setting(int mostPerS, int mostCustomers, long idleNs) {
        static final Setting USUAL = new Setting(2_000, 20_000, 30 * SECOND);
    }

    private record Event(long at, long order, Runnable run) { }

    private final class Door implements LimitsDecider.Actions {
        private final Terms terms;
        private final LimitsDecider decider;

        Door(int number) {
            terms = new Terms("n" + number + "/18c0ffee" + Integer.toHexString(number), LEASE, LOSS, setting.idleNs, GUARD,
                    FLOOR, set, MOST_OUT, setting.mostPerS, setting.mostCustomers);
            decider = new LimitsDecider(terms, now, this);
        }

        @Override
        public void call(Call call) {
            calls++;
            rows += call.rows().size();
            exchange(call, told -> decider.told(now, call, told));
        }

        @Override
        public void beat(Call call) {
            beats++;
            exchange(call, told -> decider.beaten(now, told.get(0)));
        }

        private void exchange(Call call, Consumer<List<Told>> answered) {
            List<String> keys = LeaseScript.keys("nettletrail", call.rows());
            List<String> arguments = LeaseScript.arguments(terms, call, Long.toHexString(random.nextLong())
                    + Long.toHexString(random.nextLong()));
            sentBytes += bytes(keys, arguments);
            at(now + delay(), () -> {
                long cpu = Gauge.cpuNs();
                Object answer = counter.eval("lease", keys, arguments);
                counterNs += Gauge.cpuNs() - cpu;
                answeredBytes += framed(bytes(answer));
                at(now + delay(), () -> answered.accept(LeaseScript.told(answer, call.rows().size())));
            });
        }

        @Override
        public void log(String line) { }

        private void tick() {
            decider.tick(now);
            at(now + TICK, this::tick);
        }
    }

    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at)
            .thenComparingLong(Event::order));
    private final int doors;
    private final int set;
    private final double perS;
    private final Setting setting;
    private final double[] cumulative;
    private final Ceiling[] ceilings;
    private final CounterStore counter;
    private final List<Door> all = new ArrayList<>();
    private long now;
    private long order;
    long calls;
    long rows;
    long beats;
    long requests;
    long let;
    double sentBytes;
    double answeredBytes;
    long counterNs;

    /**
     * @param doors that are played
     * @param set front doors that each tenant's requests come in through, those that aren't played included
     * @param tenants at all doors
     * @param perS requests at the doors played
     * @param zipf exponent of the tenants' shares; 0: all alike
     */
    CounterFleet(long seed, int doors, int set, int tenants, double perS, double zipf, Setting setting) {
        random = new SplittableRandom(seed);
        this.doors = doors;
        this.set = set;
        this.perS = perS;
        this.setting = setting;
        cumulative = new double[tenants];
        ceilings = new Ceiling[tenants];
        double sum = 0;
        for (int i = 0; i < tenants; i++) {
            sum += Math.pow(i + 1, -zipf);
            cumulative[i] = sum;
        }
        for (int i = 0; i < tenants; i++) {
            double rate = Math.max(LEAST_RATE, ROOM * perS / doors * set * Math.pow(i + 1, -zipf) / sum);
            ceilings[i] = new Ceiling(rate, 2 * rate);
        }
        counter = new CounterStore(() -> WALL_START_MS + now / MS);
        counter.load("lease", LeaseScript.TEXT);
        for (int i = 0; i < doors; i++) {
            Door door = new Door(i);
            all.add(door);
            at(random.nextLong(TICK), door::tick);
        }
        arrive();
    }

    private void arrive() {
        at(now + (long) (-Math.log(1 - random.nextDouble()) / perS * SECOND), () -> {
            int found = java.util.Arrays.binarySearch(cumulative, random.nextDouble() * cumulative[cumulative.length - 1]);
            int tenant = found < 0 ? -found - 1 : found;
            Door door = all.get(random.nextInt(doors));
            requests++;
            // A hash of it, as a customer's number is one.
            long customer = (tenant + 1) * 0x9e3779b97f4a7c15L;
            let += door.decider.take(now, customer, ceilings[tenant], set, 1) ? 1 : 0;
            arrive();
        });
    }

    private long delay() {
        return MS / 10 + random.nextLong(MS * 2 / 5);
    }

    private void at(long time, Runnable run) {
        events.add(new Event(Math.max(time, now), order++, run));
    }

    /** Goes on for so long. */
    void run(long ns) {
        long until = now + ns;
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event next = events.poll();
            now = next.at();
            next.run().run();
        }
        now = until;
    }

    /** Forgets what was counted; what doors and counter know stays. */
    void clear() {
        calls = 0;
        rows = 0;
        beats = 0;
        requests = 0;
        let = 0;
        sentBytes = 0;
        answeredBytes = 0;
        counterNs = 0;
    }

    /** Customers that a door remembers, mean over the doors. */
    double accounts() {
        return all.stream().mapToInt(each -> each.decider.status().accounts()).average().orElse(0);
    }

    /** Requests that a door had no room to remember a customer for. */
    long unknown() {
        return all.stream().mapToLong(each -> each.decider.status().unknown()).sum();
    }

    CounterStore counter() {
        return counter;
    }

    /** A call as RESP sends it: a list of texts, each with its length. */
    private static double bytes(List<String> keys, List<String> arguments) {
        int texts = 3 + keys.size() + arguments.size();
        int bytes = header(texts) + text(7) + text(40) + text(Integer.toString(keys.size()).length());
        for (String each : keys) {
            bytes += text(each.length());
        }
        for (String each : arguments) {
            bytes += text(each.length());
        }
        return framed(bytes);
    }

    private static int bytes(Object answer) {
        if (answer instanceof List<?> list) {
            int bytes = header(list.size());
            for (Object each : list) {
                bytes += bytes(each);
            }
            return bytes;
        }
        return answer instanceof String text ? text(text.getBytes(StandardCharsets.UTF_8).length)
                : 3 + String.valueOf(answer).length();
    }

    private static int header(int count) {
        return 3 + Integer.toString(count).length();
    }

    private static int text(int length) {
        return 3 + Integer.toString(length).length() + length + 2;
    }

    private static double framed(int bytes) {
        return bytes + (double) IP_TCP * (bytes / SEGMENT + 1);
    }
}
