package nettletrail.emulator.capacity;

import java.util.List;
import java.util.Map;

/**
 * A figure that is predicted, and what it grows with. Backends and tenants are in proportion to
 * doors at all sizes, so a product of two of them goes with the square.
 *
 * @param name as in a run's figures
 * @param power of the number of doors
 */
record ScaleFigure(String name, int power) {
  /** All that are predicted. */
  static final List<ScaleFigure> ALL =
      List.of(
          // Known tenants of a door, looked through at each of its steps.
          new ScaleFigure("control_cpu_pct", 1),
          new ScaleFigure("control_mb", 1),
          new ScaleFigure("steady_bytes_per_s", 1),
          // The document's size goes with the tenants.
          new ScaleFigure("control_bytes_per_s", 1),
          // Messages times doors looked through at each.
          new ScaleFigure("core_cpu_pct", 2),
          new ScaleFigure("core_heap_mb", 1),
          new ScaleFigure("core_bytes_per_s", 1),
          // Doors times the document's size.
          new ScaleFigure("core_queued_mb_max", 2),
          new ScaleFigure("in_force_max_s", 2),
          new ScaleFigure("grants_per_s", 1));

  /**
   * The fit through smaller runs, its prediction of the largest and the error against what that
   * measured.
   */
  Map<String, Object> predict(List<Map<String, Object>> runs, Map<String, Object> largest) {
    double[] sizes = runs.stream().mapToDouble(this::driver).toArray();
    double[] values = runs.stream().mapToDouble(this::value).toArray();
    Fit fit = Fit.of(sizes, values);
    double predicted = fit.at(driver(largest));
    Map<String, Object> fitFigures = fit.told();
    fitFigures.put("doors_to_the_power", power);
    fitFigures.put("predicted", Rounded.of(predicted));
    fitFigures.put("measured", Rounded.of(value(largest)));
    fitFigures.put("error_pct", Rounded.of(Fit.errorPct(predicted, value(largest))));
    return fitFigures;
  }

  private double driver(Map<String, Object> run) {
    return Math.pow(((Number) run.get("hollow_doors")).doubleValue(), power);
  }

  private double value(Map<String, Object> run) {
    return ((Number) run.get(name)).doubleValue();
  }
}
