package nettletrail.emulator.capacity;

import com.jsoniter.output.JsonStream;
import java.util.Locale;
import java.util.Map;

/**
 * The scale run as a program of its own, so that it has the doors' Java options: {@code
 * tiny|short|full SEED}, or {@code size DOORS SEED} for one size without events, long enough to be
 * compared with {@code full}. Prints one JSON object on standard output and each run's figures on
 * standard error; exits with 1 if a budget is broken.
 */
public final class FleetCapacity {
  private static final String ONE_SIZE = "size";

  private FleetCapacity() {}

  /** Runs and prints. */
  public static void main(String[] arguments) {
    long seed = Long.parseLong(arguments[arguments.length - 1]);
    Map<String, Object> figures =
        arguments[0].equals(ONE_SIZE)
            ? oneSize(Integer.parseInt(arguments[1]), seed)
            : scaleRun(ScaleExtent.valueOf(arguments[0].toUpperCase(Locale.ROOT)), seed);
    figures.put("broken", ScaleRun.broken(figures));
    System.out.println(JsonStream.serialize(figures));
    System.exit(ScaleRun.broken(figures).isEmpty() ? 0 : 1);
  }

  private static Map<String, Object> oneSize(int doors, long seed) {
    return new SizeRun(FleetPlan.TARGET.withDoors(doors), seed, ScaleExtent.FULL).run();
  }

  private static Map<String, Object> scaleRun(ScaleExtent extent, long seed) {
    return new ScaleRun(extent, seed, figures -> System.err.println(JsonStream.serialize(figures)))
        .run();
  }
}
