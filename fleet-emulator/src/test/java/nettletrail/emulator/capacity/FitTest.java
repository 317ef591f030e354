package nettletrail.emulator.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** The arithmetic of a line through measured points. */
class FitTest {
  private static final double EXACT = 1e-9;

  @Test
  void pointsOnALineGiveThatLineAndNothingLiesOffIt() {
    Fit line = Fit.of(new double[] {30, 60, 120}, new double[] {75, 135, 255});
    assertEquals(2, line.slope(), EXACT);
    assertEquals(15, line.intercept(), EXACT);
    assertEquals(0, line.worstPct(), EXACT);
    assertEquals(975, line.at(480), EXACT);
    assertEquals(1_492.5, line.reaches(3_000), EXACT);
    assertEquals(3, line.points());
  }

  @Test
  void leastSquaresAndTheFarthestPoint() {
    // By hand: means 2 and 4, slope (-1*-1 + 0*-1 + 1*2)/2 = 1.5; the line says 2.5, 4, 5.5 where
    // 3, 3 and 6 are.
    Fit line = Fit.of(new double[] {1, 2, 3}, new double[] {3, 3, 6});
    assertEquals(1.5, line.slope(), EXACT);
    assertEquals(1, line.intercept(), EXACT);
    assertEquals(100.0 / 3, line.worstPct(), EXACT);
  }

  @Test
  void aLineThatDoesNotRiseLeavesNoBudget() {
    assertEquals(
        Double.POSITIVE_INFINITY, Fit.of(new double[] {1, 2}, new double[] {5, 4}).reaches(10));
    assertNull(Rounded.of(Double.POSITIVE_INFINITY));
    assertEquals(1_235.0, Rounded.of(1_234.6));
  }

  @Test
  void onePointOrOneSizeIsNoLine() {
    assertThrows(IllegalArgumentException.class, () -> Fit.of(new double[] {1}, new double[] {1}));
    assertThrows(
        IllegalArgumentException.class, () -> Fit.of(new double[] {2, 2}, new double[] {1, 3}));
    assertThrows(
        IllegalArgumentException.class, () -> Fit.of(new double[] {1, 2}, new double[] {1}));
  }

  @Test
  void theErrorOfAPredictionIsAPartOfWhatWasMeasured() {
    assertEquals(25, Fit.errorPct(125, 100), EXACT);
    assertEquals(-50, Fit.errorPct(50, 100), EXACT);
  }
}
