package nettletrail.control.grant;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How a supply is divided max-min fair. */
class MaxMinFairnessTest {
  @Test
  void equalDemandsShareTheSupplyEqually() {
    assertEquals(4, MaxMinFairness.fairShare(new double[] {10, 10, 10}, 12));
  }

  @Test
  void demandsBelowTheFairShareLeaveTheRestToTheOthers() {
    assertEquals(5, MaxMinFairness.fairShare(new double[] {10, 2, 10}, 12));
  }

  @Test
  void fairShareIsUnboundedWhenTheSupplyMeetsAllDemands() {
    assertEquals(Double.MAX_VALUE, MaxMinFairness.fairShare(new double[] {1, 2, 3}, 7));
  }
}
