package nettletrail.router.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class VirtualCountersTest {
  private final VirtualCounters counters = new VirtualCounters();

  @Test
  void theChargeIsQuadraticInThePrompt() {
    double scale = VirtualCounters.QUADRATIC_SCALE_TOKENS;
    assertEquals(0, VirtualCounters.chargeFor(0));
    assertEquals(2 * scale, VirtualCounters.chargeFor((long) scale));
    assertEquals(6 * scale, VirtualCounters.chargeFor((long) (2 * scale)));
  }

  @Test
  void outputTokensAreChargedAtTheEnd() {
    counters.charge("a", 1_000, 0);
    counters.chargeOutput("a", 50, 1);
    assertEquals(
        VirtualCounters.chargeFor(1_000) + 50 * VirtualCounters.OUTPUT_WEIGHT, counters.of("a"));
  }

  @Test
  void aRequestThatDidNotRunIsRefunded() {
    counters.charge("a", 1_000, 0);
    counters.refund("a", 1_000, 1);
    assertEquals(0, counters.of("a"));
  }

  @Test
  void aReturningTenantIsLiftedToTheMinimumOfTheQueuedTenants() {
    counters.charge("a", 1_000, 0);
    counters.charge("b", 5_000, 0);
    counters.lift("c", List.of("a", "b"), 1);
    assertEquals(counters.of("a"), counters.of("c"));
  }

  @Test
  void aTenantWithARequestInFlightIsNotLifted() {
    counters.charge("a", 5_000, 0);
    counters.charge("c", 1, 0);
    double before = counters.of("c");
    counters.lift("c", List.of("a"), 1);
    assertEquals(before, counters.of("c"));
  }

  @Test
  void aLiftNeverLowersACounter() {
    counters.charge("a", 5_000, 0);
    counters.chargeOutput("a", 0, 1);
    counters.charge("b", 10, 1);
    double before = counters.of("a");
    counters.lift("a", List.of("b"), 2);
    assertEquals(before, counters.of("a"));
  }

  @Test
  void onlyIdleCountersAreDropped() {
    counters.charge("idle", 10, 0);
    counters.chargeOutput("idle", 0, 1);
    counters.charge("in-flight", 10, 0);
    counters.dropIdle(2 + VirtualCounters.IDLE_EXPIRY_NANOS);
    assertEquals(1, counters.size());
    assertEquals(VirtualCounters.chargeFor(10), counters.of("in-flight"));
  }
}
