package nettletrail.emulator.capacity;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.function.Supplier;

/** Processor time and memory of the thread that measures, and the time that it has left. */
public final class Gauge {
  /** The quantile of the median. */
  public static final double MEDIAN = 0.5;

  /** The quantile of the 99th percentile. */
  public static final double P99 = 0.99;

  private static final double SECOND = 1e9;

  /** The serial collector leaves some dead objects in place, but for one collection in four. */
  private static final int COLLECTIONS = 4;

  private static final com.sun.management.ThreadMXBean THREADS =
      (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final long endsAt;

  /** Ends after this many seconds. */
  public Gauge(double seconds) {
    endsAt = System.nanoTime() + (long) (seconds * SECOND);
  }

  /** Seconds until what was given is used up; below 0 afterwards. */
  public double leftS() {
    return (endsAt - System.nanoTime()) / SECOND;
  }

  /** Nanoseconds of processor time of this thread. */
  public static long cpuNs() {
    return THREADS.getCurrentThreadCpuTime();
  }

  /** Bytes that this thread has allocated so far. */
  public static long allocated() {
    return THREADS.getCurrentThreadAllocatedBytes();
  }

  /** Bytes in use after collections. */
  public static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    long min = Long.MAX_VALUE;
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
      min = Math.min(min, runtime.totalMemory() - runtime.freeMemory());
    }
    return min;
  }

  /** Bytes that what is made keeps in use. */
  public static long keptBytes(Supplier<?> make) {
    long before = usedBytes();
    Object made = make.get();
    long after = usedBytes();
    java.lang.ref.Reference.reachabilityFence(made);
    return Math.max(0, after - before);
  }

  /** The value that this part of all is at or below; NaN of none. Sorts the values. */
  public static double quantile(double[] values, double part) {
    Arrays.sort(values);
    return values.length == 0
        ? Double.NaN
        : values[(int) Math.min(values.length - 1, Math.ceil(part * values.length) - 1)];
  }
}
