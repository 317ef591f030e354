package nettletrail.fleet.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {
  @Test
  void backoffStartsBeforeTheSecondRoundAndDoubles() {
    Duration second = Duration.ofSeconds(1);
    RetryPolicy policy = new RetryPolicy(second, second, Duration.ofMillis(200), 4);
    assertEquals(0, policy.backoffMs(0));
    assertEquals(200, policy.backoffMs(1));
    assertEquals(400, policy.backoffMs(2));
    assertEquals(800, policy.backoffMs(3));
  }
}
