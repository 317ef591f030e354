package nettletrail.emulator.capacity;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** What each process of a fleet used between two moments. */
final class FleetMeter {
  private static final double SECOND = 1e9;
  private static final double PERCENT = 100;

  private final MeasuredFleet fleet;
  private long since;
  private List<MeasuredProcess.Usage> doorsThen = List.of();
  private List<MeasuredProcess.Usage> coresThen = List.of();
  private RequestCounts.Snapshot requestsThen;

  FleetMeter(MeasuredFleet fleet) {
    this.fleet = fleet;
    restart();
  }

  /** Counts from here. */
  void restart() {
    since = fleet.time().now();
    doorsThen = doors();
    coresThen = cores();
    requestsThen = fleet.counts().snapshot();
  }

  /** What was used since then. */
  Reading read() {
    double seconds = (fleet.time().now() - since) / SECOND;
    return new Reading(
        seconds,
        difference(doors(), doorsThen),
        difference(cores(), coresThen),
        fleet.counts().snapshot().since(requestsThen));
  }

  private List<MeasuredProcess.Usage> doors() {
    return fleet.doors().stream().map(door -> door.process().usage()).toList();
  }

  private List<MeasuredProcess.Usage> cores() {
    return fleet.cores().stream().map(core -> core.process().usage()).toList();
  }

  private static List<MeasuredProcess.Usage> difference(
      List<MeasuredProcess.Usage> now, List<MeasuredProcess.Usage> then) {
    return java.util.stream.IntStream.range(0, now.size())
        .mapToObj(i -> now.get(i).since(then.get(i)))
        .toList();
  }

  /** Use of all processes over some seconds. */
  record Reading(
      double seconds,
      List<MeasuredProcess.Usage> doors,
      List<MeasuredProcess.Usage> cores,
      RequestCounts.Snapshot requests) {
    /** Percent of a core, the most of these doors. */
    double doorCpuPct(List<Integer> numbers) {
      double max = numbers.stream().mapToDouble(i -> doors.get(i).cpuNs()).max().orElse(0);
      return max / seconds / SECOND * PERCENT;
    }

    /** Percent of a core, the 99th percentile over doors. */
    double doorCpuPct() {
      return doorQuantile(MeasuredProcess.Usage::cpuNs, Gauge.P99) / SECOND * PERCENT;
    }

    double doorCpuMedianPct() {
      return doorQuantile(MeasuredProcess.Usage::cpuNs, Gauge.MEDIAN) / SECOND * PERCENT;
    }

    /** Bytes a second both ways, the 99th percentile over doors. */
    double doorBytesPerSecond() {
      return doorQuantile(MeasuredProcess.Usage::bytes, Gauge.P99);
    }

    double doorBytesMedianPerSecond() {
      return doorQuantile(MeasuredProcess.Usage::bytes, Gauge.MEDIAN);
    }

    /** Nanoseconds of processor time of a door, the mean. */
    double doorCpuNsMean() {
      return doors.stream().mapToLong(MeasuredProcess.Usage::cpuNs).average().orElse(0);
    }

    /** Bytes of a door both ways, the mean. */
    double doorBytesMean() {
      return doors.stream().mapToLong(MeasuredProcess.Usage::bytes).average().orElse(0);
    }

    double doorMessagesPerSecond() {
      return doorQuantile(
          usage -> usage.messagesSent() + (double) usage.messagesReceived(), Gauge.P99);
    }

    /** Percent of a core, the busiest core process. */
    double coreCpuPct() {
      return coreMax(MeasuredProcess.Usage::cpuNs) / SECOND * PERCENT;
    }

    double coreBytesPerSecond() {
      return coreMax(MeasuredProcess.Usage::bytes);
    }

    double coreMessagesPerSecond() {
      return coreMax(usage -> usage.messagesSent() + (double) usage.messagesReceived());
    }

    private double doorQuantile(ToDoubleFunction<MeasuredProcess.Usage> figure, double part) {
      return Gauge.quantile(doors.stream().mapToDouble(figure).toArray(), part) / seconds;
    }

    private double coreMax(ToDoubleFunction<MeasuredProcess.Usage> figure) {
      return cores.stream().mapToDouble(figure).max().orElse(0) / seconds;
    }
  }
}
