package nettletrail.emulator.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** A small fleet of real deciders in memory. */
class SizeRunTest {
  @Test
  void givenASmallFleetWhenAllEventsHavePassedThenNothingIsMissingAndNoLeaseRanOutFalsely() {
    Map<String, Object> figures =
        new SizeRun(FleetPlan.TARGET.withDoors(8), 3, ScaleExtent.TINY)
            .run(true, figuresSoFar -> {});

    assertEquals(0, figures.get("false_expiries"));
    assertEquals(0, figures.get("changes_missing_at_doors"));
    Map<?, ?> events = (Map<?, ?>) figures.get("events");
    for (String event : new String[] {"owner_killed", "changes_30_a_minute", "regions_cut"}) {
      Map<?, ?> told = (Map<?, ?>) events.get(event);
      assertEquals(0L, told.get("changes_missing_at_doors"), event);
    }
    assertTrue(number(figures, "lease_failovers") > 0, "the killed owner's shards moved");
    assertTrue(number(figures, "grants_per_s") > 0);
    assertTrue(number(figures, "steady_bytes_per_s") > 0);
  }

  private static double number(Map<String, Object> figures, String name) {
    return ((Number) figures.get(name)).doubleValue();
  }
}
