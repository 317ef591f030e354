package nettletrail.emulator.capacity;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A straight line through measured points by least squares: {@code y = intercept + slope x}.
 *
 * @param worstPct the farthest that a point lies off the line, percent of the point
 * @param residual root of the mean squared distance of the points from it
 * @param points how many there were, two at least
 */
public record Fit(double slope, double intercept, double worstPct, double residual, int points) {
  private static final double PERCENT = 100;

  /**
   * Through these points.
   *
   * @throws IllegalArgumentException unless there are two points of different x at least
   */
  public static Fit of(double[] x, double[] y) {
    if (x.length != y.length || x.length == 0) {
      throw new IllegalArgumentException("Fit: needs as many values as sizes, and some");
    }
    double meanX = 0;
    double meanY = 0;
    for (int i = 0; i < x.length; i++) {
      meanX += x[i] / x.length;
      meanY += y[i] / x.length;
    }
    double xx = 0;
    double xy = 0;
    for (int i = 0; i < x.length; i++) {
      xx += (x[i] - meanX) * (x[i] - meanX);
      xy += (x[i] - meanX) * (y[i] - meanY);
    }
    if (!(xx > 0)) {
      throw new IllegalArgumentException("Fit: needs two different sizes at least");
    }
    Fit line = new Fit(xy / xx, meanY - xy / xx * meanX, 0, 0, x.length);
    double worst = 0;
    double squares = 0;
    for (int i = 0; i < x.length; i++) {
      double off = y[i] - line.at(x[i]);
      squares += off * off;
      worst = Math.max(worst, Math.abs(errorPct(line.at(x[i]), y[i])));
    }
    double residual = Math.sqrt(squares / x.length);
    return new Fit(line.slope, line.intercept, worst, residual, x.length);
  }

  /** What the line says there. */
  public double at(double x) {
    return intercept + slope * x;
  }

  /** The size at which the line crosses a budget; infinite if it doesn't rise. */
  public double reaches(double budget) {
    return slope <= 0 ? Double.POSITIVE_INFINITY : (budget - intercept) / slope;
  }

  /** How far a prediction is off, percent of what was measured; above 0: too much was predicted. */
  public static double errorPct(double predicted, double measured) {
    return measured == 0 ? 0 : PERCENT * (predicted - measured) / Math.abs(measured);
  }

  /** As it is printed. */
  public Map<String, Object> told() {
    Map<String, Object> fitFigures = new LinkedHashMap<>();
    fitFigures.put("slope", Rounded.of(slope));
    fitFigures.put("intercept", Rounded.of(intercept));
    fitFigures.put("worst_pct", Rounded.of(worstPct));
    fitFigures.put("points", points);
    return fitFigures;
  }
}
