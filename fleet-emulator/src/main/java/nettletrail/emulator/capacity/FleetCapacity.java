package nettletrail.emulator.capacity;

import com.jsoniter.output.JsonStream;
import java.util.Locale;
import java.util.Map;

/**
 * The scale run as a program of its own, so that it has the doors' Java options: {@code
 * tiny|short|full SEED}. Prints one JSON object on standard output and each run's figures on
 * standard error; exits with 1 if a budget is broken.
 */
public final class FleetCapacity {
  private FleetCapacity() {}

  /** Runs and prints. */
  public static void main(String[] arguments) {
    ScaleExtent extent = ScaleExtent.valueOf(arguments[0].toUpperCase(Locale.ROOT));
    long seed = Long.parseLong(arguments[1]);
    ScaleRun run =
        new ScaleRun(extent, seed, figures -> System.err.println(JsonStream.serialize(figures)));
    Map<String, Object> figures = run.run();
    figures.put("broken", ScaleRun.broken(figures));
    System.out.println(JsonStream.serialize(figures));
    System.exit(ScaleRun.broken(figures).isEmpty() ? 0 : 1);
  }
}
