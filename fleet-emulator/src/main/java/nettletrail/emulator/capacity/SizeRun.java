package nettletrail.emulator.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * One size of the fleet: a steady window, some changes of the configuration, and what all that
 * takes.
 */
final class SizeRun {
  private static final double PERCENT = 100;
  private static final int MICROS_PER_MILLI = 1_000;
  private static final double SECOND = 1e9;
  private static final double MICROSECOND = 1e3;
  private static final double SECONDS_PER_DAY = 86_400;
  private static final double MEGABYTE = 1e6;

  /** Until doors know about as many tenants in use as they ever do. */
  private static final long WARMING = 8 * VirtualTime.SECOND;

  private static final long CHANGE_PAUSE = 3 * VirtualTime.SECOND;
  private static final int CHANGES = 2;

  private final FleetPlan plan;
  private final long seed;
  private final ScaleExtent extent;
  private final Map<String, Object> figures = new LinkedHashMap<>();
  private List<Integer> aged = List.of();

  SizeRun(FleetPlan plan, long seed, ScaleExtent extent) {
    this.plan = plan;
    this.seed = seed;
    this.extent = extent;
  }

  /** Runs it without events. */
  Map<String, Object> run() {
    return run(false, figuresSoFar -> {});
  }

  /**
   * Runs it. {@code withEvents}: plays the events of {@link FleetEvents}, too; {@code progress} is
   * told what is known before, and each.
   */
  Map<String, Object> run(boolean withEvents, Consumer<Map<String, Object>> progress) {
    long began = System.nanoTime();
    MeasuredFleet fleet = new MeasuredFleet(plan, seed);
    fleet.start();
    HealthWatch health = new HealthWatch(fleet);
    figures.put("real_doors", 0);
    figures.put("hollow_doors", plan.doors());
    figures.put("backends", plan.backends());
    figures.put("tenants", plan.tenants());
    figures.put("seed", seed);
    FleetMeter.Reading steady = steady(fleet);
    changes(fleet, steady);
    figures.put("false_expiries", health.falseExpiries());
    if (withEvents) {
      progress.accept(figures);
      figures.put("events", new FleetEvents(fleet, extent.eventShare()).playAll(progress));
    }
    figures.put("lease_failovers", health.failovers());
    figures.put("false_expiries_with_events", health.falseExpiries());
    memory(fleet);
    figures.put("real_seconds", Rounded.of((System.nanoTime() - began) / SECOND));
    return figures;
  }

  private FleetMeter.Reading steady(MeasuredFleet fleet) {
    fleet.time().runFor(WARMING);
    aged = fleet.ageSomeDoors();
    fleet.time().runFor(VirtualTime.SECOND);
    FleetMeter meter = new FleetMeter(fleet);
    Map<String, Long> bytesBefore = fleet.network().doorBytesByMessage();
    fleet.time().runFor(extent.steadySeconds() * VirtualTime.SECOND);
    FleetMeter.Reading reading = meter.read();
    figures.put("mean_door_bytes_per_s", byMessage(fleet, bytesBefore));
    put("control_cpu_pct", reading.doorCpuPct(aged));
    put("control_cpu_young_p99_pct", reading.doorCpuPct());
    put("control_cpu_young_median_pct", reading.doorCpuMedianPct());
    put("steady_bytes_per_s", reading.doorBytesPerSecond());
    put("steady_bytes_median_per_s", reading.doorBytesMedianPerSecond());
    put("messages_per_s", reading.doorMessagesPerSecond());
    put("core_cpu_pct", reading.coreCpuPct());
    put("core_bytes_per_s", reading.coreBytesPerSecond());
    put("core_messages_per_s", reading.coreMessagesPerSecond());
    put("grants_per_s", reading.requests().letIn() / reading.seconds());
    put("refused_pct", reading.requests().refusedPct());
    put("waited_pct", reading.requests().waitedPct());
    put("mean_wait_ms", reading.requests().meanWaitMs());
    return reading;
  }

  private Map<String, Object> byMessage(MeasuredFleet fleet, Map<String, Long> before) {
    Map<String, Object> told = new LinkedHashMap<>();
    fleet
        .network()
        .doorBytesByMessage()
        .forEach(
            (message, bytes) -> {
              double grown = bytes - before.getOrDefault(message, 0L);
              told.put(message, Rounded.of(grown / plan.doors() / extent.steadySeconds()));
            });
    return told;
  }

  private void changes(MeasuredFleet fleet, FleetMeter.Reading steady) {
    fleet.cores().forEach(core -> core.process().takeMaxQueuedBytes());
    long first = fleet.operator().edition() + 1;
    FleetMeter meter = new FleetMeter(fleet);
    int settled = 0;
    for (int i = 0; i < CHANGES; i++) {
      fleet.operator().sendChange();
      settled = Math.max(settled, fleet.runUntilSettled());
      fleet.time().runFor(CHANGE_PAUSE);
    }
    FleetMeter.Reading reading = meter.read();
    put("change_settled_s", settled);
    put("change_refused_pct", reading.requests().refusedPct());
    double lasted = reading.seconds() / steady.seconds();
    double bytes = reading.doorBytesMean() - lasted * steady.doorBytesMean();
    double doorCpu = reading.doorCpuNsMean() - lasted * steady.doorCpuNsMean();
    double coreCpu =
        (reading.coreCpuPct() - steady.coreCpuPct()) / PERCENT * reading.seconds() * SECOND;
    double coreBytes =
        (reading.coreBytesPerSecond() - steady.coreBytesPerSecond()) * reading.seconds();
    put("change_bytes_per_door", bytes / CHANGES);
    put("change_us_per_door", doorCpu / MICROSECOND / CHANGES);
    put("change_ms_per_core", coreCpu / MICROSECOND / MICROS_PER_MILLI / CHANGES);
    put("change_bytes_per_core", coreBytes / CHANGES);
    double changesPerSecond = plan.configurationChangesPerDay() / SECONDS_PER_DAY;
    put("control_bytes_per_s", steady.doorBytesPerSecond() + changesPerSecond * bytes / CHANGES);
    inForce(fleet, first);
    long queued =
        fleet.cores().stream()
            .mapToLong(core -> core.process().takeMaxQueuedBytes())
            .max()
            .orElse(0);
    put("core_queued_mb_max", queued / MEGABYTE);
  }

  private void inForce(MeasuredFleet fleet, long first) {
    List<Double> seconds =
        fleet.configurations().secondsUntilInForce(first, fleet.operator().edition());
    double[] sorted = seconds.stream().mapToDouble(Double::doubleValue).toArray();
    put("in_force_p99_s", Gauge.quantile(sorted, Gauge.P99));
    put("in_force_max_s", Gauge.quantile(sorted, 1));
    figures.put("changes_missing_at_doors", CHANGES * plan.doors() - seconds.size());
  }

  private void memory(MeasuredFleet fleet) {
    byte[] document = SampleDocument.complete(1, plan.tenants());
    long configuration = ConfigurationCost.keptBytes(document);
    aged.forEach(
        door -> fleet.doors().get(door).age(plan.tenants())); // Some may have been restarted.
    long complete = Gauge.usedBytes();
    aged.forEach(door -> fleet.doors().get(door).release());
    long withoutAged = Gauge.usedBytes();
    fleet.releaseDoors();
    long withoutDoors = Gauge.usedBytes();
    fleet.releaseCores();
    long withoutBoth = Gauge.usedBytes();
    java.lang.ref.Reference.reachabilityFence(fleet);
    double door = (complete - withoutAged) / MEGABYTE / aged.size();
    double core = (withoutDoors - withoutBoth) / MEGABYTE / FleetPlan.CORE_PROCESSES;
    put("configuration_mb", configuration / MEGABYTE);
    put("control_heap_mb", door);
    put("control_mb", door + configuration / MEGABYTE);
    put("core_heap_mb", core);
    put("core_mb", core + ((Number) figures.get("core_queued_mb_max")).doubleValue());
  }

  private void put(String name, double figure) {
    figures.put(name, Rounded.of(figure));
  }
}
