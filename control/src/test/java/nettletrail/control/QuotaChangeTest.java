package nettletrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import nettletrail.control.grant.GrantTerms;
import nettletrail.control.grant.QuotaLimit;

/** Limits that a configuration takes away and another one puts back. */
class QuotaChangeTest {
  private static final String TENANT = "acme";
  private static final QuotaLimit LIMIT = new QuotaLimit(153_660, 153_660);
  private static final Map<String, QuotaLimit> LIMITED = Map.of(TENANT, LIMIT);
  private static final Map<String, QuotaLimit> UNLIMITED = Map.of(TENANT, QuotaLimit.NONE);
  private static final Map<String, QuotaLimit> REMOVED = Map.of();
  private static final GrantTerms TERMS = ControlFleet.TERMS;
  private static final int DOORS = 3;
  private static final long[] SIZES = {2_000};
  private static final long WINDOW_MS = 8_000;

  private long configuration;

  // Guards against: after its limit was away for 3 s, a tenant's tokens are granted twice.
  @Example
  void givenATenantOverItsLimit_whenTheLimitIsLiftedForThreeSeconds_thenItIsKeptAfterwards() {
    for (Map<String, QuotaLimit> between : List.of(UNLIMITED, REMOVED)) {
      ControlFleet fleet = new ControlFleet(3, DOORS, 1);
      commit(fleet, LIMITED, Set.of());
      fleet.run(5_000);
      QuotaTraffic traffic = overload(fleet, 2, 100_000);
      fleet.run(45_000);
      commit(fleet, between, Set.of());
      fleet.run(3_000);
      commit(fleet, LIMITED, Set.of());
      fleet.run(ControlFleet.IN_FORCE_MS + WINDOW_MS);
      long judgedFrom = fleet.now;
      fleet.run(20_000);
      double worst = traffic.worstWindowFrom(judgedFrom, TERMS, LIMIT);
      assertTrue(worst <= 1, "worst window is " + worst + " of the bound after " + between);
    }
  }

  // Guards against: what a door used and had not yet reported is granted again after each change.
  @Property(tries = 60)
  void givenAnOwnerThatMissesEachChange_whenLimitsComeAndGoAtDoors_thenAnyWindowStaysWithinTheBound(
      @ForAll long seed, @ForAll @IntRange(min = 20, max = 4_000) int maxPauseMs) {
    Random random = new Random(seed);
    ControlFleet fleet = new ControlFleet(3, DOORS, seed);
    fleet.maxDelay = (2 + random.nextInt(250)) * ControlFleet.MILLIS;
    commit(fleet, LIMITED, Set.of());
    fleet.run(8_000);
    QuotaTraffic traffic = overload(fleet, 4, 40_000);
    traffic.refundedFraction = random.nextDouble() * 0.3;
    long end = fleet.now + 40_000 * ControlFleet.MILLIS;
    while (fleet.now < end) {
      Set<String> skipped = new HashSet<>(fleet.coreNames());
      skipped.add("door-" + random.nextInt(DOORS));
      commit(fleet, random.nextBoolean() ? UNLIMITED : REMOVED, skipped);
      fleet.run(1 + random.nextInt(maxPauseMs));
      commit(fleet, LIMITED, Set.of());
      fleet.run(1 + random.nextInt(maxPauseMs));
    }
    double worst = traffic.worstWindow(TERMS, LIMIT);
    assertTrue(worst <= 1, "worst window is " + worst + " of the bound");
  }

  // Guards against: tokens of before a removal and those of after it are granted together.
  @Property(tries = 60)
  void givenDoorsThatMissEachChange_whenTheOwnerForgetsTheTenant_thenAnyWindowStaysWithinTheBound(
      @ForAll long seed, @ForAll @IntRange(min = 20, max = 4_000) int maxPauseMs) {
    Random random = new Random(seed);
    ControlFleet fleet = new ControlFleet(3, DOORS, seed);
    fleet.maxDelay = (2 + random.nextInt(250)) * ControlFleet.MILLIS;
    commit(fleet, LIMITED, Set.of());
    fleet.run(8_000);
    QuotaTraffic traffic = overload(fleet, 4, 40_000);
    traffic.refundedFraction = random.nextDouble() * 0.3;
    Set<String> doors = new HashSet<>();
    for (int door = 0; door < DOORS; door++) {
      doors.add("door-" + door);
    }
    long end = fleet.now + 40_000 * ControlFleet.MILLIS;
    while (fleet.now < end) {
      commit(fleet, REMOVED, doors);
      fleet.run(1 + random.nextInt(maxPauseMs));
      commit(fleet, LIMITED, Set.of());
      fleet.run(1 + random.nextInt(maxPauseMs));
    }
    double worst = traffic.worstWindow(TERMS, LIMIT);
    assertTrue(worst <= 1, "worst window is " + worst + " of the bound");
  }

  // Guards against: a limit that was away costs the tenant its rate once it is back.
  @Example
  void givenALimitThatWasAway_whenItIsBack_thenTheTenantGetsItsRate() {
    ControlFleet fleet = new ControlFleet(3, DOORS, 2);
    commit(fleet, LIMITED, Set.of());
    fleet.run(5_000);
    QuotaTraffic traffic = overload(fleet, 2, 60_000);
    traffic.clientTimeoutMs = 200;
    fleet.run(10_000);
    commit(fleet, UNLIMITED, Set.of());
    fleet.run(3_000);
    commit(fleet, LIMITED, Set.of());
    fleet.run(1_000);
    long before = traffic.usedTokens();
    fleet.run(20_000);
    double rateUsed = (traffic.usedTokens() - before) / (20 * LIMIT.ratePerSecond());
    assertEquals(1, rateUsed, 0.1);
  }

  private void commit(ControlFleet fleet, Map<String, QuotaLimit> limits, Set<String> skipped) {
    configuration++;
    fleet.commit(configuration, limits, skipped);
  }

  /** A multiple of the limit, over all doors. */
  private static QuotaTraffic overload(ControlFleet fleet, double factor, long millis) {
    QuotaTraffic traffic = new QuotaTraffic(fleet, TENANT, 3);
    double perDoor = factor * LIMIT.ratePerSecond() / SIZES[0] / DOORS;
    for (int door = 0; door < DOORS; door++) {
      traffic.arrivals(door, perDoor, SIZES, millis);
    }
    return traffic;
  }
}
