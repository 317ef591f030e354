package nettletrail.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import nettletrail.decision.Gateway.AttemptReport;
import nettletrail.decision.Gateway.Backend;
import nettletrail.decision.Gateway.DedupScope;
import nettletrail.decision.Gateway.DiscoveryState;
import nettletrail.decision.Gateway.Idempotency;
import nettletrail.decision.Gateway.Outcome;
import nettletrail.decision.Gateway.Plan;
import nettletrail.decision.Gateway.Request;
import nettletrail.decision.Gateway.RequestClass;
import nettletrail.decision.Gateway.Settings;
import org.junit.jupiter.api.Test;

/**
 * The ramp of cold backends holds for the fleet: what all gateways together send one within the settings' span stays
 * under N + 2 root N + 2, N being overload multiple x present capacity x span. Real modules in virtual time; each
 * seed plays one of the cases in turn. The number of seeds is the system property {@code cold.seeds}
 * (if not set 99, and 11 at the largest size).
 */
class ColdFleetTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final int SEEDS = Integer.getInteger("cold.seeds", 99);
    private static final double COLD_SHARE = 0.17;
    private static final long RAMP = 17 * SECOND;
    private static final double MULTIPLE = 3;
    private static final long SPAN = 3 * SECOND / 2;
    /** Requests a second that a warm backend serves. */
    private static final double CAPACITY = 12;
    /** Seconds of work that a backend holds before it turns requests away. */
    private static final double ROOM = 0.6;
    /** When backends go and when they come back cold; when the day ends. */
    private static final long GONE_AT = 4 * SECOND;
    private static final long BACK_AT = 7 * SECOND;
    private static final long TURNS_AT = 10 * SECOND;
    private static final long TURNS_BACK_AT = 12 * SECOND;
    private static final long ENDS_AT = 15 * SECOND;

    /** What befalls the fleet; each seed plays one, in turn. */
    private enum Case {
        /** One of eight is restarted under steady load, all gateways told at once. */
        STEADY,
        /** The same under load that rises to twice and a half as much for 0.7 s in every 3. */
        BURSTS,
        /** The same as BURSTS, each gateway told at its own time within 4 s. */
        ONE_BY_ONE,
        /** A zone of three is lost and comes back cold; crossing zones has a price; a burst after it. */
        ZONE,
        /** The same with 0.6, 0.3 and 0.1 of the load in the zones. */
        UNEVEN_ZONES,
        /** One of eight dies and comes back, and the list tells of neither until 2 s later. */
        FROM_THE_DEAD,
        /** One of eight is restarted; 3 s later two zones of three are lost, and all goes to what is left. */
        OTHERS_LOST,
        /** The same, but all that is warm gets three times slower. */
        OTHERS_SLOW,
        /** All are lost and come back cold at once. */
        ALL_COLD,
        /** Six of ten are restarted at once. */
        MOST_COLD,
        /** One of eight is restarted, and until 3 s later next to nothing is asked; then all comes at once. */
        QUIET
    }

    /** Sums of one play. */
    private static final class Sums {
        double worst;
        int broken;
        int toCold;
        double coldCapacity;
        int arrived;
        int served;
        int refused;
    }

    private static final class Fleet {
        private record Event(long at, long order, Runnable run) { }

        /** A backend: work in seconds, of which it does its present capacity. */
        private static final class Machine {
            boolean up = true;
            double slower = 1;
            long startedAt;
            double backlog;
            long workedAt;
            /** Times of sends within the last span; negative where the gateway had not been told. */
            final ArrayDeque<Long> lately = new ArrayDeque<>();
            int toldLately;
            boolean fallen;
        }

        final int doors;
        final int backends;
        final Case play;
        final SplittableRandom chance;
        final List<GatewayDecider> gateways = new ArrayList<>();
        final boolean[] told;
        final double[] upTo;
        final List<Machine> machines = new ArrayList<>();
        final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at() != b.at()
                ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
        final Sums sums = new Sums();
        final long start = 1_000 * SECOND;
        long now = start;
        long order;
        long requests;

        Fleet(int doors, int backends, Case play, long seed) {
            this.doors = doors;
            this.backends = backends;
            this.play = play;
            chance = new SplittableRandom(seed);
            told = new boolean[doors];
            upTo = new double[doors];
            RequestClass look = new RequestClass(SECOND, 2, 0, Idempotency.IDEMPOTENT, DedupScope.ALL, 0);
            boolean priced = play == Case.ZONE || play == Case.UNEVEN_ZONES || play == Case.OTHERS_LOST;
            for (int i = 0; i <= backends; i++) {
                machines.add(new Machine());
            }
            double sum = 0;
            double[] zones = play == Case.UNEVEN_ZONES ? new double[] {0.6, 0.3, 0.1} : new double[] {1, 1, 1};
            for (int i = 0; i < doors; i++) {
                gateways.add(new GatewayDecider(new Settings(doors, i % 3, chance.nextLong(), MS, 4, false, COLD_SHARE,
                        RAMP,
                        MULTIPLE, SPAN, priced ? 0.01 : 0, 0, List.of(look),
                        List.of(new Plan(0, 0, 0, 0, 0, 0, 0, 0, 1))), now, actions(i)));
                // Some get several times the mean, as much as chance gives where each has its own clients.
                sum += zones[i % 3] * (0.3 - Math.log(1 - chance.nextDouble()));
                upTo[i] = sum;
            }
            tell(all(), id -> DiscoveryState.READY, 0);
        }

        private List<Integer> all() {
            List<Integer> all = new ArrayList<>();
            for (int i = 0; i < doors; i++) {
                all.add(i);
            }
            return all;
        }

        private boolean hit(int id) {
            return switch (play) {
                case ZONE, UNEVEN_ZONES -> id % 3 == 0;
                case ALL_COLD -> true;
                case MOST_COLD -> id % 5 < 3;
                default -> id % 8 == 0;
            };
        }

        private interface States {
            DiscoveryState of(int id);
        }

        private void tell(List<Integer> doorsTold, States states, long startedAt) {
            List<Backend> list = new ArrayList<>();
            for (int id = 1; id <= backends; id++) {
                list.add(new Backend(id, id % 3, 0, 0, states.of(id), 1, hit(id) ? startedAt : 0));
            }
            for (int door : doorsTold) {
                gateways.get(door).onBackends(now, true, list);
                told[door] = startedAt > 0;
            }
        }

        private Gateway.Actions actions(int door) {
            return new Gateway.Actions() {
                @Override
                public void send(long requestId, long backendId, long timeoutNs) {
                    sent(door, requestId, (int) backendId);
                }

                @Override
                public void reject(long requestId, long retryAfterNs) {
                    sums.refused += now >= start + BACK_AT ? 1 : 0;
                }

                @Override
                public void fail(long requestId) { }

                @Override
                public void startTimer(int token, long ns) {
                    in(ns, () -> gateways.get(door).onTimer(now, token));
                }

                @Override
                public void subscribeBackends() { }

                @Override
                public void log(String line) { }
            };
        }

        private void in(long ns, Runnable run) {
            events.add(new Event(now + ns, ++order, run));
        }

        private static double warmth(Machine machine, long at) {
            if (machine.startedAt == 0) {
                return 1;
            }
            return Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * Math.max(0, at - machine.startedAt) / RAMP);
        }

        private void sent(int door, long requestId, int id) {
            Machine machine = machines.get(id);
            Outcome outcome = Outcome.CONNECT_FAILED;
            long took = 2 * MS;
            if (machine.up) {
                double warmth = warmth(machine, now);
                double done = (now - machine.workedAt) / (double) SECOND * warmth / machine.slower;
                machine.backlog = Math.max(0, machine.backlog - done);
                machine.workedAt = now;
                if (machine.startedAt > 0 && warmth < 1) {
                    count(machine, door);
                }
                if (machine.backlog > ROOM) {
                    outcome = Outcome.FULL;
                } else {
                    machine.backlog += -Math.log(1 - chance.nextDouble()) / CAPACITY;
                    outcome = Outcome.OK;
                    took = 30 * MS + (long) (machine.backlog / warmth * machine.slower * SECOND);
                }
            }
            Outcome end = outcome;
            long after = took;
            in(after, () -> {
                boolean ok = end == Outcome.OK;
                sums.served += ok && now >= start + BACK_AT && after <= SECOND ? 1 : 0;
                gateways.get(door).onAttemptEnd(now, new AttemptReport(requestId, 0, id, end, ok, after, -1, 0, null));
            });
        }

        /** The rule: a fall counts as a break if over two thirds of it came from gateways that had been told. */
        private void count(Machine machine, int door) {
            while (!machine.lately.isEmpty() && Math.abs(machine.lately.peekFirst()) <= now - SPAN) {
                machine.toldLately -= machine.lately.pollFirst() > 0 ? 1 : 0;
            }
            machine.lately.addLast(told[door] ? now : -now);
            machine.toldLately += told[door] ? 1 : 0;
            sums.toCold++;
            double n = MULTIPLE * warmth(machine, now - SPAN / 2) * CAPACITY * SPAN / SECOND;
            double most = n + 2 * Math.sqrt(n) + 2;
            if (machine.toldLately > machine.lately.size() * 2 / 3.0) {
                sums.worst = Math.max(sums.worst, machine.lately.size() / most);
                if (machine.lately.size() > most && !machine.fallen) {
                    machine.fallen = true;
                    sums.broken++;
                }
            }
        }

        private double load() {
            long at = now - start;
            boolean zone = play == Case.ZONE || play == Case.UNEVEN_ZONES;
            if (play != Case.BURSTS && play != Case.ONE_BY_ONE && play != Case.QUIET && !zone) {
                return 0.6;
            }
            if (play == Case.QUIET && at > BACK_AT) {
                return at < TURNS_AT ? 0.05 : at < TURNS_AT + SECOND ? 1 : 0.6;
            }
            // Bursts begin some time after the return: what was saved up until then may go at once.
            boolean burst = at % (3 * SECOND) < 7 * SECOND / 10;
            return burst ? zone ? 0.8 : 1 : 0.4;
        }

        private void arrival() {
            double peak = CAPACITY * backends;
            if (chance.nextDouble() < load()) {
                double at = chance.nextDouble() * upTo[doors - 1];
                int low = 0;
                while (upTo[low] < at) {
                    low++;
                }
                sums.arrived += now >= start + BACK_AT ? 1 : 0;
                long id = ++requests;
                gateways.get(low).onRequest(now, new Request(id, 0, 0, id % 300, 1, doors, 3 * SECOND));
            }
            in((long) (-Math.log(1 - chance.nextDouble()) * SECOND / peak), this::arrival);
        }

        private void lose(boolean back) {
            for (int id = 1; id <= backends; id++) {
                machines.get(id).up = back || id % 3 == 0;
            }
        }

        private void slow(double slower) {
            for (int id = 1; id <= backends; id++) {
                machines.get(id).slower = hit(id) ? 1 : slower;
            }
        }

        Sums run() {
            in(0, this::arrival);
            boolean dead = play == Case.FROM_THE_DEAD;
            boolean listsGone = !dead;
            in(GONE_AT, () -> {
                for (int id = 1; id <= backends; id++) {
                    machines.get(id).up &= !hit(id);
                }
                if (listsGone) {
                    tell(all(), id -> hit(id) ? DiscoveryState.GONE : DiscoveryState.READY, 0);
                }
            });
            in(BACK_AT, () -> {
                for (int id = 1; id <= backends; id++) {
                    if (hit(id)) {
                        machines.get(id).up = true;
                        machines.get(id).startedAt = now;
                        machines.get(id).backlog = 0;
                        machines.get(id).workedAt = now;
                    }
                }
            });
            for (int door : all()) {
                long late = play == Case.ONE_BY_ONE ? chance.nextLong(4 * SECOND) : dead ? 2 * SECOND : 0;
                in(BACK_AT + late, () -> tell(List.of(door), id -> DiscoveryState.READY, start + BACK_AT));
            }
            if (play == Case.OTHERS_LOST) {
                in(TURNS_AT, () -> lose(false));
                in(TURNS_AT + SECOND / 2, () -> tell(all(), id -> id % 3 == 0 ? DiscoveryState.READY
                        : DiscoveryState.GONE, start + BACK_AT));
                in(TURNS_BACK_AT, () -> lose(true));
                in(TURNS_BACK_AT, () -> tell(all(), id -> DiscoveryState.READY, start + BACK_AT));
            }
            if (play == Case.OTHERS_SLOW) {
                in(TURNS_AT, () -> slow(3));
                in(TURNS_BACK_AT, () -> slow(1));
            }
            while (!events.isEmpty() && events.peek().at() <= start + ENDS_AT) {
                Event next = events.poll();
                now = next.at();
                next.run().run();
            }
            for (Machine machine : machines) {
                sums.coldCapacity += machine.startedAt == 0 ? 0 : CAPACITY * (now - machine.startedAt) / SECOND
                        * (COLD_SHARE + warmth(machine, now)) / 2;
            }
            return sums;
        }
    }

    private static void holds(int doors, int backends, int seeds) {
        Sums[] all = new Sums[Case.values().length];
        for (Case play : Case.values()) {
            all[play.ordinal()] = new Sums();
        }
        int broken = 0;
        for (int seed = 0; seed < seeds; seed++) {
            Case play = Case.values()[seed % Case.values().length];
            Sums sums = new Fleet(doors, backends, play, seed).run();
            Sums sum = all[play.ordinal()];
            sum.worst = Math.max(sum.worst, sums.worst);
            sum.broken += sums.broken;
            sum.toCold += sums.toCold;
            sum.coldCapacity += sums.coldCapacity;
            sum.arrived += sums.arrived;
            sum.served += sums.served;
            sum.refused += sums.refused;
            broken += sums.broken;
        }
        StringBuilder table = new StringBuilder();
        for (Case play : Case.values()) {
            Sums sum = all[play.ordinal()];
            table.append(String.format(Locale.ROOT, "%n%3d doors, %3d backends, %-13s: most %.2f of the budget, %d fell,"
                    + " cold ones got %.2f of their capacity, served in time %.3f, refused %.3f", doors, backends, play,
                    sum.worst, sum.broken, sum.toCold / sum.coldCapacity, sum.served / (double) sum.arrived,
                    sum.refused / (double) sum.arrived));
        }
        if (Integer.getInteger("cold.seeds") != null) {
            System.out.println(table);
        }
        assertEquals(0, broken, table.toString());
        for (Sums sum : all) {
            assertTrue(sum.served > 0.15 * sum.arrived, "cold ones are used where the rest is not enough: " + table);
        }
    }

    @Test
    void threeGateways() {
        holds(3, 12, SEEDS);
    }

    @Test
    void twentyGateways() {
        holds(20, 48, SEEDS);
    }

    @Test
    void thirtyGateways() {
        holds(30, 48, SEEDS);
    }

    @Test
    void aHundredGateways() {
        holds(100, 96, SEEDS);
    }

    /** As many gateways as a large fleet has before one of its small services: each sends one a second at most. */
    @Test
    void fourHundredAndEightyGatewaysBeforeFewBackends() {
        holds(480, 24, SEEDS);
    }

    @Test
    void fourHundredAndEightyGateways() {
        holds(480, 240, Integer.getInteger("cold.seeds", 11));
    }
}
