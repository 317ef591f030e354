package nettletrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import nettletrail.control.grant.GrantTerms;
import nettletrail.control.grant.QuotaLimit;
import org.junit.jupiter.api.Test;

/** Scenarios and properties of quota over owners and doors. */
class QuotaScenarioTest {
  private static final String TENANT = "acme";
  private static final int SHARD = ShardMap.shardOf(TENANT);
  private static final QuotaLimit LIMIT = new QuotaLimit(153_660, 153_660);

  private static final long[] MIXED = {400, 400, 400, 400, 400, 400, 400, 400, 400, 17_260};
  private static final long LARGE = 90_000;
  private static final long[] VERY_LARGE = {LARGE};
  private static final double MIXED_MEAN = (9 * 400 + 17_260) / 10.0;

  @Test
  void nothingWaitsLongAtThreeQuartersOfTheRate() {
    ControlFleet fleet = new ControlFleet(3, 6, 5);
    fleet.commit(1, Map.of(TENANT, LIMIT));
    fleet.run(5_000);
    QuotaTraffic traffic = new QuotaTraffic(fleet, TENANT, 6);
    double[] parts = {0.4, 0.2, 0.15, 0.15, 0.07, 0.03};
    for (int door = 0; door < parts.length; door++) {
      double perSecond = parts[door] * 0.77 * LIMIT.ratePerSecond() / MIXED_MEAN;
      traffic.arrivals(door, perSecond, MIXED, 60_000);
    }
    fleet.run(62_000);
    assertEquals(0, traffic.timedOut);
    assertTrue(traffic.waitMsAtQuantile(0.99) <= 50, "p99 " + traffic.waitMsAtQuantile(0.99));
    assertTrue(traffic.waitMsAtQuantile(1) <= 150, "max " + traffic.waitMsAtQuantile(1));
    assertEquals(6, fleet.door(0).control.grants().doorsServing(TENANT));
    assertTrue(traffic.worstWindow(ControlFleet.TERMS, LIMIT) <= 1);
  }

  @Test
  void overloadUsesTheRateAndServesLargeRequestsToo() {
    ControlFleet fleet = new ControlFleet(3, 6, 7);
    fleet.commit(1, Map.of(TENANT, LIMIT));
    fleet.run(5_000);
    QuotaTraffic traffic = new QuotaTraffic(fleet, TENANT, 8);
    traffic.rejectAfterMs = 300;
    traffic.clientTimeoutMs = 8_000;
    long[] sizes = {400, 17_260, 90_000};
    for (int door = 0; door < 6; door++) {
      traffic.arrivals(door, 5 * LIMIT.ratePerSecond() / 35_886 / 6, sizes, 40_000);
    }
    fleet.run(40_000);
    double rateUsed = traffic.usedTokens() / (40 * LIMIT.ratePerSecond());
    assertTrue(rateUsed > 0.95, "rate used " + rateUsed);
    assertTrue(traffic.servedFraction(sizes[2]) > 0.5 * traffic.servedFraction(sizes[0]));
    assertTrue(traffic.worstWindow(ControlFleet.TERMS, LIMIT) <= 1);
  }

  @Test
  void requestsLargerThanAnyFairShareAreServedInTurn() {
    ControlFleet fleet = new ControlFleet(3, 6, 9);
    fleet.commit(1, Map.of(TENANT, LIMIT));
    fleet.run(5_000);
    QuotaTraffic traffic = new QuotaTraffic(fleet, TENANT, 10);
    for (int door = 0; door < 6; door++) {
      traffic.arrive(door, (long) (0.95 * ControlFleet.TERMS.capacity(LIMIT)));
    }
    traffic.clientTimeoutMs = 60_000;
    fleet.run(12_000);
    assertEquals(6, traffic.waitsMs.size());
  }

  @Test
  void tenantWithoutLimitNeverWaits() {
    ControlFleet fleet = new ControlFleet(1, 1, 11);
    fleet.commit(1, Map.of(TENANT, QuotaLimit.NONE));
    assertTrue(fleet.door(0).take(TENANT, 1_000_000_000));
    assertTrue(fleet.door(0).take("unknown", 1_000_000_000));
  }

  @Test
  void noRequestIsLostWhenAnotherProcessTakesOverFromACrashedOwner() {
    ControlFleet fleet = new ControlFleet(3, 6, 14);
    fleet.commit(1, Map.of(TENANT, LIMIT));
    fleet.run(5_000);
    QuotaTraffic traffic = new QuotaTraffic(fleet, TENANT, 15);
    for (int door = 0; door < 6; door++) {
      traffic.arrivals(door, 0.77 * LIMIT.ratePerSecond() / MIXED_MEAN / 6, MIXED, 20_000);
    }
    fleet.run(10_000);
    fleet.kill(fleet.owners.get(SHARD));
    fleet.ownersPaused = true;
    fleet.run(1_300);
    fleet.ownersPaused = false;
    fleet.own(SHARD, "core-" + (SHARD + 1) % 3);
    fleet.run(12_000);
    assertEquals(0, traffic.timedOut);
    assertTrue(traffic.waitMsAtQuantile(0.5) <= 50, "p50 " + traffic.waitMsAtQuantile(0.5));
    assertTrue(traffic.waitMsAtQuantile(1) <= 3_000, "max " + traffic.waitMsAtQuantile(1));
  }

  @Test
  void burstOfRequestsAtOneDoorIsServedWithinTheObjective() {
    ControlFleet fleet = new ControlFleet(3, 6, 16);
    fleet.commit(1, Map.of(TENANT, LIMIT));
    fleet.run(5_000);
    QuotaTraffic traffic = new QuotaTraffic(fleet, TENANT, 17);
    for (int request = 0; request < 300; request++) {
      traffic.arrive(2, 400);
    }
    fleet.run(2_000);
    assertEquals(300, traffic.waitsMs.size());
    assertTrue(traffic.waitMsAtQuantile(1) <= 200, "max " + traffic.waitMsAtQuantile(1));
  }

  @Test
  void hardlyAnyRequestWaitsLongBesideSomeVeryLargeOnes() {
    long requests = 0;
    long longWaits = 0;
    for (int seed = 1; seed <= 60; seed++) {
      ControlFleet fleet = new ControlFleet(3, 6, seed);
      fleet.commit(1, Map.of(TENANT, LIMIT));
      fleet.run(5_000);
      QuotaTraffic traffic = new QuotaTraffic(fleet, TENANT, 31 * seed);
      for (int door = 0; door < 6; door++) {
        traffic.arrivals(door, 0.55 * LIMIT.ratePerSecond() / MIXED_MEAN / 6, MIXED, 30_000);
        traffic.arrivals(door, 0.22 * LIMIT.ratePerSecond() / LARGE / 6, VERY_LARGE, 30_000);
      }
      fleet.run(31_000);
      assertEquals(0, traffic.timedOut);
      requests += traffic.waitsMs.size();
      longWaits += traffic.waitsMs.stream().filter(waitMs -> waitMs > 500).count();
    }
    assertTrue(longWaits <= 0.01 * requests, longWaits + " of " + requests + " waited long");
  }

  @Test
  void trafficContinuesWithTheNewOwnerAfterAChange() {
    ControlFleet fleet = new ControlFleet(3, 6, 12);
    fleet.commit(1, Map.of(TENANT, LIMIT));
    fleet.run(5_000);
    QuotaTraffic traffic = new QuotaTraffic(fleet, TENANT, 13);
    for (int door = 0; door < 6; door++) {
      traffic.arrivals(door, 0.77 * LIMIT.ratePerSecond() / MIXED_MEAN / 6, MIXED, 20_000);
    }
    fleet.run(5_000);
    fleet.own(SHARD, "core-" + (SHARD + 1) % 3);
    fleet.run(17_000);
    assertEquals(0, traffic.timedOut);
    assertTrue(traffic.waitMsAtQuantile(1) <= 1_500, "max " + traffic.waitMsAtQuantile(1));
  }

  @Property(tries = 60)
  void anyWindowStaysWithinTheBoundThroughPartitionsDelaysRestartsAndChangesOfOwner(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 9) int doors,
      @ForAll @DoubleRange(min = 0.03, max = 0.2) double over,
      @ForAll @DoubleRange(min = 0, max = 1.5) double slackSeconds,
      @ForAll @IntRange(min = 10, max = 160_000) int rate,
      @ForAll @DoubleRange(min = 0, max = 2) double burstSeconds) {
    GrantTerms terms = new GrantTerms(8, over, rate * slackSeconds, GrantTerms.USUAL_VALID_MS);
    QuotaLimit limit = new QuotaLimit(rate, rate * burstSeconds);
    Random random = new Random(seed);
    ControlFleet fleet = new ControlFleet(3, doors, seed, terms);
    fleet.maxDelay = (1 + random.nextInt(400)) * ControlFleet.MILLIS;
    fleet.commit(1, Map.of(TENANT, limit));
    fleet.run(random.nextInt(8_000));
    QuotaTraffic traffic = new QuotaTraffic(fleet, TENANT, seed);
    traffic.refundedFraction = random.nextDouble() * 0.3;
    long unit = Math.max(1, rate / 20);
    long[] sizes = {Math.max(1, unit / 10), unit, 5 * unit};
    int max = 1 + random.nextInt(2_000);
    for (int step = 0; step < 40; step++) {
      if (random.nextInt(3) == 0) {
        overloadFor(random.nextInt(10_000), traffic, doors, sizes);
      }
      injectFault(fleet, random, doors);
      fleet.run(random.nextInt(max));
    }
    fleet.run(2_000);
    double worst = traffic.worstWindow(terms, limit);
    assertTrue(worst <= 1, "worst window is " + worst + " of the bound");
  }

  @Property(tries = 150)
  void anyWindowStaysWithinTheBoundWhenDoorsHoardTokensAndUseThemAtOnce(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 4) int doors,
      @ForAll @DoubleRange(min = 0.1, max = 0.2) double over,
      @ForAll @DoubleRange(min = 0, max = 0.5) double slackSeconds,
      @ForAll @DoubleRange(min = 0, max = 1) double burstSeconds) {
    int rate = 10_000;
    GrantTerms terms = new GrantTerms(8, over, rate * slackSeconds, GrantTerms.USUAL_VALID_MS);
    QuotaLimit limit = new QuotaLimit(rate, rate * burstSeconds);
    Random random = new Random(seed);
    ControlFleet fleet = new ControlFleet(3, doors, seed, terms);
    fleet.maxDelay = (1 + random.nextInt(290)) * ControlFleet.MILLIS;
    fleet.commit(1, Map.of(TENANT, limit));
    QuotaTraffic traffic = new QuotaTraffic(fleet, TENANT, seed);
    traffic.refundedFraction = random.nextInt(3) == 0 ? 0.3 : 0;
    for (int step = 0; step < 60; step++) {
      hoardOrRelease(fleet, traffic, random, doors, 3 * rate);
      fleet.run(random.nextInt(step % 10 == 0 ? 4_000 : 500));
    }
    double worst = traffic.worstWindow(terms, limit);
    assertTrue(worst <= 1, "worst window is " + worst + " of the bound");
  }

  private static void hoardOrRelease(
      ControlFleet fleet, QuotaTraffic traffic, Random random, int doors, int wanted) {
    int door = random.nextInt(doors);
    switch (random.nextInt(10)) {
      case 0 -> fleet.own(SHARD, "core-" + random.nextInt(3));
      case 1 -> fleet.isolate("door-" + door);
      case 2 -> fleet.heal();
      case 3, 4, 5 -> traffic.hoard(door, wanted);
      case 6 -> {
        for (int each = 0; each < doors; each++) {
          traffic.release(each);
        }
      }
      default -> traffic.release(door);
    }
  }

  @Test
  void tokensOfTwoSuccessiveOwnersTogetherStayWithinTheBound() {
    GrantTerms terms = new GrantTerms(8, 0.1, 5_000, GrantTerms.USUAL_VALID_MS);
    QuotaLimit limit = new QuotaLimit(10_000, 10_000);
    ControlFleet fleet = new ControlFleet(3, 2, 3, terms);
    fleet.commit(1, Map.of(TENANT, limit));
    fleet.run(10_000);
    QuotaTraffic traffic = new QuotaTraffic(fleet, TENANT, 4);
    for (int step = 0; step < 10; step++) {
      traffic.hoard(0, 1_000_000);
      fleet.run(100);
    }
    fleet.isolate("door-0");
    fleet.own(SHARD, "core-" + (SHARD + 1) % 3);
    fleet.run(700);
    traffic.release(0);
    long hoarded = traffic.usedTokens();
    assertTrue(hoarded > 12_000, "hoarded were " + hoarded);
    for (int step = 0; step < 400; step++) {
      traffic.hoard(1, 1_000_000);
      fleet.run(20);
      traffic.release(1);
    }
    double worst = traffic.worstWindow(terms, limit);
    assertTrue(worst > 0.9, "the scenario should come near the bound: " + worst);
    assertTrue(worst <= 1, "worst window is " + worst + " of the bound");
  }

  /** Requests of about ten times the rate at each door. */
  private static void overloadFor(long millis, QuotaTraffic traffic, int doors, long[] sizes) {
    for (int door = 0; door < doors; door++) {
      traffic.arrivals(door, 100, sizes, millis);
    }
  }

  private static void injectFault(ControlFleet fleet, Random random, int doors) {
    String door = "door-" + random.nextInt(doors);
    String core = "core-" + random.nextInt(3);
    switch (random.nextInt(8)) {
      case 0 -> fleet.own(SHARD, core);
      case 1 -> {
        fleet.own(SHARD, core);
        fleet.run(random.nextInt(300));
        fleet.own(SHARD, "core-" + random.nextInt(3));
      }
      case 2 -> fleet.isolate(door);
      case 3 -> fleet.partition(core, door);
      case 4 -> fleet.heal();
      case 5 -> {
        fleet.kill(door);
        fleet.run(random.nextInt(500));
        fleet.restart(door);
      }
      case 6 -> fleet.ownersPaused = random.nextBoolean();
      default -> fleet.maxDelay = (1 + random.nextInt(400)) * ControlFleet.MILLIS;
    }
  }
}
