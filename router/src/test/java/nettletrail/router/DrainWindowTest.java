package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DrainWindowTest {
  private static final long NOW = -5;

  private static long after(long ms) {
    return NOW + TimeUnit.MILLISECONDS.toNanos(ms);
  }

  @ParameterizedTest
  @CsvSource({"30000, 2500, 29700", "4000, 2000, 3700", "200, 100, 0"})
  void idleConnectionsCloseBeforeTheEnd(long graceMs, long idleClosedMs, long endMs) {
    DrainWindow window = DrainWindow.of(NOW, graceMs);
    assertFalse(window.closesIdle(after(idleClosedMs) - 1));
    assertTrue(window.closesIdle(after(idleClosedMs)));
    assertFalse(window.hasEnded(after(endMs) - 1));
    assertTrue(window.hasEnded(after(endMs)));
  }
}
