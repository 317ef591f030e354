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
 * Slow start holds for the fleet: all gateways together send a cold backend fewer than N + 2
 * sqrt(N) + 2 requests within the overload span, with N = overload factor x present capacity x
 * span. Real decisions in virtual time; each seed runs one of the cases in turn. The system
 * property {@code cold.seeds} sets the number of seeds (default 99, and 11 at the largest size).
 */
class ColdFleetTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final int SEEDS = Integer.getInteger("cold.seeds", 99);
  private static final double COLD_SHARE = 0.17;
  private static final long RAMP = 17 * SECOND;
  private static final double MULTIPLE = 3;
  private static final long SPAN = 3 * SECOND / 2;

  /** Requests per second that a warm backend serves. */
  private static final double CAPACITY = 12;

  /** Seconds of work that a backend queues before it rejects requests. */
  private static final double MAX_BACKLOG = 0.6;

  /** When backends are lost and when they are back, cold; when the run ends. */
  private static final long GONE_AT = 4 * SECOND;

  private static final long BACK_AT = 7 * SECOND;
  private static final long TURNS_AT = 10 * SECOND;
  private static final long TURNS_BACK_AT = 12 * SECOND;
  private static final long ENDS_AT = 15 * SECOND;

  /** Faults of the fleet; each seed runs one, in turn. */
  private enum Case {
    /** One of eight is restarted under steady load; all gateways learn of it at once. */
    STEADY,
    /** As STEADY, with load that rises 2.5-fold for 0.7 s in every 3 s. */
    BURSTS,
    /** As BURSTS, but each gateway learns of it at its own time within 4 s. */
    DELAYED,
    /**
     * One zone of three is lost and comes back cold; crossing zones has a cost; a burst follows.
     */
    ZONE,
    /** As ZONE, with 0.6, 0.3 and 0.1 of the load in the zones. */
    UNEVEN_ZONES,
    /** One of eight dies and comes back, and the list reports neither until 2 s later. */
    DEAD,
    /**
     * One of eight is restarted; 3 s later two zones of three are lost, and all load goes to the
     * rest.
     */
    OTHERS_LOST,
    /** As OTHERS_LOST, but all warm backends become three times slower instead. */
    OTHERS_SLOW,
    /** All are lost and come back cold at once. */
    ALL_COLD,
    /** Six of ten are restarted at once. */
    MOST_COLD,
    /** One of eight is restarted, with almost no load until 3 s later; then full load at once. */
    QUIET
  }

  /** Results of one run. */
  private static final class Sums {
    double worst;
    int violations;
    int toCold;
    double coldCapacity;
    int received;
    int served;
    int rejected;
  }

  private static final class Fleet {
    private record Event(long at, long order, Runnable run) {}

    /** A backend: its work is in seconds, of which it does its present capacity. */
    private static final class Machine {
      boolean up = true;
      double slower = 1;
      long startedAt;
      double backlog;
      long workedAt;

      /**
       * Times of sends within the last span; negative if the gateway had not been told of the
       * restart.
       */
      final ArrayDeque<Long> recentSends = new ArrayDeque<>();

      int recentToldSends;
      boolean overloaded;
    }

    final int gatewayCount;
    final int backends;
    final Case scenario;
    final SplittableRandom chance;
    final List<GatewayDecider> gateways = new ArrayList<>();
    final boolean[] told;
    final double[] upTo;
    final List<Machine> machines = new ArrayList<>();
    final PriorityQueue<Event> events =
        new PriorityQueue<>(
            (a, b) ->
                a.at() != b.at()
                    ? Long.compare(a.at(), b.at())
                    : Long.compare(a.order(), b.order()));
    final Sums sums = new Sums();
    final long start = 1_000 * SECOND;
    long now = start;
    long order;
    long requests;

    Fleet(int gatewayCount, int backends, Case scenario, long seed) {
      this.gatewayCount = gatewayCount;
      this.backends = backends;
      this.scenario = scenario;
      chance = new SplittableRandom(seed);
      told = new boolean[gatewayCount];
      upTo = new double[gatewayCount];
      RequestClass read = new RequestClass(SECOND, 2, 0, Idempotency.IDEMPOTENT, DedupScope.ALL, 0);
      boolean priced =
          scenario == Case.ZONE || scenario == Case.UNEVEN_ZONES || scenario == Case.OTHERS_LOST;
      for (int i = 0; i <= backends; i++) {
        machines.add(new Machine());
      }
      double sum = 0;
      double[] zones =
          scenario == Case.UNEVEN_ZONES ? new double[] {0.6, 0.3, 0.1} : new double[] {1, 1, 1};
      for (int i = 0; i < gatewayCount; i++) {
        gateways.add(
            new GatewayDecider(
                new Settings(
                    gatewayCount,
                    i % 3,
                    chance.nextLong(),
                    MS,
                    4,
                    false,
                    COLD_SHARE,
                    RAMP,
                    MULTIPLE,
                    SPAN,
                    priced ? 0.01 : 0,
                    0,
                    List.of(read),
                    List.of(new Plan(0, 0, 0, 0, 0, 0, 0, 0, 1))),
                now,
                actions(i)));
        // Some gateways get several times the mean load, by chance, since each has clients of its
        // own.
        sum += zones[i % 3] * (0.3 - Math.log(1 - chance.nextDouble()));
        upTo[i] = sum;
      }
      tell(all(), id -> DiscoveryState.READY, 0);
    }

    private List<Integer> all() {
      List<Integer> all = new ArrayList<>();
      for (int i = 0; i < gatewayCount; i++) {
        all.add(i);
      }
      return all;
    }

    private boolean affected(int id) {
      return switch (scenario) {
        case ZONE, UNEVEN_ZONES -> id % 3 == 0;
        case ALL_COLD -> true;
        case MOST_COLD -> id % 5 < 3;
        default -> id % 8 == 0;
      };
    }

    private interface States {
      DiscoveryState of(int id);
    }

    private void tell(List<Integer> toldGateways, States states, long startedAt) {
      List<Backend> list = new ArrayList<>();
      for (int id = 1; id <= backends; id++) {
        list.add(new Backend(id, id % 3, 0, 0, states.of(id), 1, affected(id) ? startedAt : 0));
      }
      for (int gateway : toldGateways) {
        gateways.get(gateway).onBackends(now, true, list);
        told[gateway] = startedAt > 0;
      }
    }

    private Gateway.Actions actions(int gateway) {
      return new Gateway.Actions() {
        @Override
        public void send(long requestId, long backendId, long timeoutNanos) {
          sent(gateway, requestId, (int) backendId);
        }

        @Override
        public void reject(long requestId, long retryAfterNanos) {
          sums.rejected += now >= start + BACK_AT ? 1 : 0;
        }

        @Override
        public void fail(long requestId) {}

        @Override
        public void startTimer(int token, long ns) {
          in(ns, () -> gateways.get(gateway).onTimer(now, token));
        }

        @Override
        public void subscribeBackends() {}

        @Override
        public void log(String line) {}
      };
    }

    private void in(long ns, Runnable run) {
      events.add(new Event(now + ns, ++order, run));
    }

    private static double warmth(Machine machine, long at) {
      if (machine.startedAt == 0) {
        return 1;
      }
      return Math.min(
          1, COLD_SHARE + (1 - COLD_SHARE) * Math.max(0, at - machine.startedAt) / RAMP);
    }

    private void sent(int gateway, long requestId, int id) {
      Machine machine = machines.get(id);
      Outcome outcome = Outcome.CONNECT_FAILED;
      long took = 2 * MS;
      if (machine.up) {
        double warmth = warmth(machine, now);
        double done = (now - machine.workedAt) / (double) SECOND * warmth / machine.slower;
        machine.backlog = Math.max(0, machine.backlog - done);
        machine.workedAt = now;
        if (machine.startedAt > 0 && warmth < 1) {
          count(machine, gateway);
        }
        if (machine.backlog > MAX_BACKLOG) {
          outcome = Outcome.FULL;
        } else {
          machine.backlog += -Math.log(1 - chance.nextDouble()) / CAPACITY;
          outcome = Outcome.OK;
          took = 30 * MS + (long) (machine.backlog / warmth * machine.slower * SECOND);
        }
      }
      Outcome end = outcome;
      long after = took;
      in(
          after,
          () -> {
            boolean ok = end == Outcome.OK;
            sums.served += ok && now >= start + BACK_AT && after <= SECOND ? 1 : 0;
            gateways
                .get(gateway)
                .onAttemptEnd(
                    now, new AttemptReport(requestId, 0, id, end, ok, after, -1, 0, null));
          });
    }

    /**
     * Counts an overload as a violation if gateways that had been told sent over two thirds of it.
     */
    private void count(Machine machine, int gateway) {
      while (!machine.recentSends.isEmpty()
          && Math.abs(machine.recentSends.peekFirst()) <= now - SPAN) {
        machine.recentToldSends -= machine.recentSends.pollFirst() > 0 ? 1 : 0;
      }
      machine.recentSends.addLast(told[gateway] ? now : -now);
      machine.recentToldSends += told[gateway] ? 1 : 0;
      sums.toCold++;
      double n = MULTIPLE * warmth(machine, now - SPAN / 2) * CAPACITY * SPAN / SECOND;
      double most = n + 2 * Math.sqrt(n) + 2;
      if (machine.recentToldSends > machine.recentSends.size() * 2 / 3.0) {
        sums.worst = Math.max(sums.worst, machine.recentSends.size() / most);
        if (machine.recentSends.size() > most && !machine.overloaded) {
          machine.overloaded = true;
          sums.violations++;
        }
      }
    }

    private double load() {
      long at = now - start;
      boolean zone = scenario == Case.ZONE || scenario == Case.UNEVEN_ZONES;
      if (scenario != Case.BURSTS && scenario != Case.DELAYED && scenario != Case.QUIET && !zone) {
        return 0.6;
      }
      if (scenario == Case.QUIET && at > BACK_AT) {
        return at < TURNS_AT ? 0.05 : at < TURNS_AT + SECOND ? 1 : 0.6;
      }
      // Bursts begin some time after the return: the credit saved up until then may be spent at
      // once.
      boolean burst = at % (3 * SECOND) < 7 * SECOND / 10;
      return burst ? zone ? 0.8 : 1 : 0.4;
    }

    private void arrival() {
      double peak = CAPACITY * backends;
      if (chance.nextDouble() < load()) {
        double at = chance.nextDouble() * upTo[gatewayCount - 1];
        int low = 0;
        while (upTo[low] < at) {
          low++;
        }
        sums.received += now >= start + BACK_AT ? 1 : 0;
        long id = ++requests;
        gateways
            .get(low)
            .onRequest(now, new Request(id, 0, 0, id % 300, 1, gatewayCount, 3 * SECOND));
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
        machines.get(id).slower = affected(id) ? 1 : slower;
      }
    }

    Sums run() {
      in(0, this::arrival);
      boolean unlisted = scenario == Case.DEAD;
      boolean listsGone = !unlisted;
      in(
          GONE_AT,
          () -> {
            for (int id = 1; id <= backends; id++) {
              machines.get(id).up &= !affected(id);
            }
            if (listsGone) {
              tell(all(), id -> affected(id) ? DiscoveryState.GONE : DiscoveryState.READY, 0);
            }
          });
      in(
          BACK_AT,
          () -> {
            for (int id = 1; id <= backends; id++) {
              if (affected(id)) {
                machines.get(id).up = true;
                machines.get(id).startedAt = now;
                machines.get(id).backlog = 0;
                machines.get(id).workedAt = now;
              }
            }
          });
      for (int gateway : all()) {
        long late =
            scenario == Case.DELAYED ? chance.nextLong(4 * SECOND) : unlisted ? 2 * SECOND : 0;
        in(
            BACK_AT + late,
            () -> tell(List.of(gateway), id -> DiscoveryState.READY, start + BACK_AT));
      }
      if (scenario == Case.OTHERS_LOST) {
        in(TURNS_AT, () -> lose(false));
        in(
            TURNS_AT + SECOND / 2,
            () ->
                tell(
                    all(),
                    id -> id % 3 == 0 ? DiscoveryState.READY : DiscoveryState.GONE,
                    start + BACK_AT));
        in(TURNS_BACK_AT, () -> lose(true));
        in(TURNS_BACK_AT, () -> tell(all(), id -> DiscoveryState.READY, start + BACK_AT));
      }
      if (scenario == Case.OTHERS_SLOW) {
        in(TURNS_AT, () -> slow(3));
        in(TURNS_BACK_AT, () -> slow(1));
      }
      while (!events.isEmpty() && events.peek().at() <= start + ENDS_AT) {
        Event next = events.poll();
        now = next.at();
        next.run().run();
      }
      for (Machine machine : machines) {
        sums.coldCapacity +=
            machine.startedAt == 0
                ? 0
                : CAPACITY
                    * (now - machine.startedAt)
                    / SECOND
                    * (COLD_SHARE + warmth(machine, now))
                    / 2;
      }
      return sums;
    }
  }

  private static void check(int gatewayCount, int backends, int seeds) {
    Sums[] all = new Sums[Case.values().length];
    for (Case scenario : Case.values()) {
      all[scenario.ordinal()] = new Sums();
    }
    int violations = 0;
    for (int seed = 0; seed < seeds; seed++) {
      Case scenario = Case.values()[seed % Case.values().length];
      Sums sums = new Fleet(gatewayCount, backends, scenario, seed).run();
      Sums sum = all[scenario.ordinal()];
      sum.worst = Math.max(sum.worst, sums.worst);
      sum.violations += sums.violations;
      sum.toCold += sums.toCold;
      sum.coldCapacity += sums.coldCapacity;
      sum.received += sums.received;
      sum.served += sums.served;
      sum.rejected += sums.rejected;
      violations += sums.violations;
    }
    StringBuilder table = new StringBuilder();
    for (Case scenario : Case.values()) {
      Sums sum = all[scenario.ordinal()];
      table.append(
          String.format(
              Locale.ROOT,
              "%n%3d gateways, %3d backends, %-13s: peak %.2f of the budget, %d overloads,"
                  + " cold ones got %.2f of their capacity, served in time %.3f, rejected %.3f",
              gatewayCount,
              backends,
              scenario,
              sum.worst,
              sum.violations,
              sum.toCold / sum.coldCapacity,
              sum.served / (double) sum.received,
              sum.rejected / (double) sum.received));
    }
    if (Integer.getInteger("cold.seeds") != null) {
      System.out.println(table);
    }
    assertEquals(0, violations, table.toString());
    for (Sums sum : all) {
      assertTrue(
          sum.served > 0.15 * sum.received,
          "cold ones are used where the rest is not enough: " + table);
    }
  }

  @Test
  void threeGateways() {
    check(3, 12, SEEDS);
  }

  @Test
  void twentyGateways() {
    check(20, 48, SEEDS);
  }

  @Test
  void thirtyGateways() {
    check(30, 48, SEEDS);
  }

  @Test
  void aHundredGateways() {
    check(100, 96, SEEDS);
  }

  /**
   * As many gateways as a large fleet has, in front of a small service: each sends at most one
   * request per second.
   */
  @Test
  void fourHundredAndEightyGatewaysBeforeFewBackends() {
    check(480, 24, SEEDS);
  }

  @Test
  void fourHundredAndEightyGateways() {
    check(480, 240, Integer.getInteger("cold.seeds", 11));
  }
}
