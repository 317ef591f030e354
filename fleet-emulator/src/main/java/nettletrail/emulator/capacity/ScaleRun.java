package nettletrail.emulator.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Runs a fleet at four sizes, one of them with its events, predicts a fifth and runs that. */
public final class ScaleRun {
  private static final double MEGABYTE = 1e6;
  private static final List<String> JUDGED =
      List.of(
          "control_cpu_pct", "control_mb", "control_bytes_per_s", "in_force_max_s", "core_cpu_pct");

  private final ScaleExtent extent;
  private final long seed;
  private final Consumer<Map<String, Object>> progress;

  /** {@code progress}: told each run's figures as soon as it is over. */
  public ScaleRun(ScaleExtent extent, long seed, Consumer<Map<String, Object>> progress) {
    this.extent = extent;
    this.seed = seed;
    this.progress = progress;
  }

  /** All figures: those of the largest size at the top. */
  public Map<String, Object> run() {
    int[] doors = extent.doors();
    new SizeRun(FleetPlan.TARGET.withDoors(doors[0]), seed, extent).run(); // Warms the code.
    List<Map<String, Object>> runs = new ArrayList<>();
    for (int count : doors) {
      SizeRun size = new SizeRun(FleetPlan.TARGET.withDoors(count), seed, extent);
      Map<String, Object> figures = size.run(count == extent.eventDoors(), progress);
      runs.add(figures);
      progress.accept(figures);
    }
    return summary(runs);
  }

  private static Map<String, Object> summary(List<Map<String, Object>> runs) {
    Map<String, Object> largest = runs.remove(runs.size() - 1);
    Map<String, Object> predictions = new LinkedHashMap<>();
    for (ScaleFigure figure : ScaleFigure.ALL) {
      predictions.put(figure.name(), figure.predict(runs, largest));
    }
    Map<String, Object> summary = new LinkedHashMap<>(largest);
    for (Map<String, Object> run : runs) {
      if (run.containsKey("events")) {
        summary.put("events_doors", run.get("hollow_doors"));
        summary.put("events", run.get("events"));
        summary.put("lease_failovers", run.get("lease_failovers"));
      }
    }
    summary.put("predicted_error_pct", Rounded.of(worstErrorPct(predictions)));
    summary.put("machine_mb_max", Rounded.of(machineMegabytes()));
    summary.put("processes", 1);
    summary.put("predictions", predictions);
    summary.put("runs", runs);
    return summary;
  }

  private static double worstErrorPct(Map<String, Object> predictions) {
    double worst = 0;
    for (String figure : JUDGED) {
      Object error = ((Map<?, ?>) predictions.get(figure)).get("error_pct");
      worst = Math.max(worst, Math.abs(((Number) error).doubleValue()));
    }
    return worst;
  }

  /**
   * The most heap that this process ever had in use; all that the run takes but for the runtime
   * itself.
   */
  private static double machineMegabytes() {
    long bytes = 0;
    for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
      bytes += pool.getPeakUsage().getUsed();
    }
    return bytes / MEGABYTE;
  }

  /** The budgets that figures break. */
  public static List<String> broken(Map<String, Object> figures) {
    return ControlBudget.broken(figures);
  }
}
