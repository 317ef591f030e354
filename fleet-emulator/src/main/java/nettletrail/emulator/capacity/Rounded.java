package nettletrail.emulator.capacity;

import java.math.BigDecimal;
import java.math.MathContext;

/** Figures as they are printed. */
public final class Rounded {
  private static final MathContext DIGITS = new MathContext(4);

  private Rounded() {}

  /** To four digits; null for what is no finite number. */
  public static Number of(double figure) {
    return Double.isFinite(figure) ? new BigDecimal(figure).round(DIGITS).doubleValue() : null;
  }
}
