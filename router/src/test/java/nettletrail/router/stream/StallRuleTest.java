package nettletrail.router.stream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StallRuleTest {
  private static long ms(long ms) {
    return TimeUnit.MILLISECONDS.toNanos(ms);
  }

  @Test
  void theTimeoutIsSomeGaps() {
    assertFalse(StallRule.isStalled(ms(1_100), true, 300, 600, 0, false));
    assertTrue(StallRule.isStalled(ms(1_300), true, 300, 600, 0, false));
  }

  @Test
  void theTimeoutOfTheFirstBytesFollowsTheLatencyTarget() {
    assertFalse(StallRule.isStalled(ms(1_900), false, 300, 1_000, 0, false));
    assertTrue(StallRule.isStalled(ms(2_100), false, 300, 1_000, 0, false));
  }

  @Test
  void prefillOfALongPromptExtendsTheTimeout() {
    assertFalse(StallRule.isStalled(ms(2_000), false, 300, 600, 40_000, false));
    assertTrue(StallRule.isStalled(ms(2_300), false, 300, 600, 40_000, false));
  }

  @Test
  void theTimeoutIsShorterAtAnUnresponsiveBackend() {
    assertFalse(StallRule.isStalled(ms(500), true, 300, 600, 0, true));
    assertTrue(StallRule.isStalled(ms(700), true, 300, 600, 0, true));
    assertTrue(StallRule.isStalled(ms(700), false, 0, 600, 0, true));
  }
}
