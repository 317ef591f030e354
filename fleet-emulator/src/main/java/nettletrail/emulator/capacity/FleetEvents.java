package nettletrail.emulator.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import nettletrail.emulator.simulation.VirtualTime;

/** Plays what happens to a fleet over a year and tells the peak of each, and how long it lasts. */
final class FleetEvents {
  /** Seconds of undisturbed service that the events are compared with. */
  private static final int CALM_SECONDS = 5;

  private static final double MEGABYTE = 1e6;
  private static final long SECOND = VirtualTime.SECOND;
  private static final int RESTARTS_PER_MINUTE = 51;
  private static final int TENTHS = 10;
  private static final int CHANGES_PER_MINUTE = 30;
  private static final int MINUTE = 60;
  private static final int CUT_SECONDS = 120;
  private static final int ZONE_AWAY_SECONDS = 10;
  private static final int OWNER_AWAY_SECONDS = 5;
  private static final int SETTLING_SECONDS = 10;
  private static final double RAISED = 1.5;

  private final MeasuredFleet fleet;
  private final VirtualTime time;
  private final double share;
  private FleetMeter.Reading calm;

  /** {@code share}: part of each event's whole length, at its usual rate. */
  FleetEvents(MeasuredFleet fleet, double share) {
    this.fleet = fleet;
    this.share = share;
    this.time = fleet.time();
  }

  /** One second's use by the worst door and the busiest core process. */
  private record Sample(double doorCpuPct, double doorBytes, double coreCpuPct, double coreBytes) {}

  /** What happens, and how long it takes. */
  private record Event(String name, Runnable begin, int seconds) {}

  /** All events, one after the other; {@code progress} is notified of each. */
  Map<String, Object> playAll(Consumer<Map<String, Object>> progress) {
    FleetMeter meter = new FleetMeter(fleet);
    time.runFor(CALM_SECONDS * SECOND);
    calm = meter.read();
    Map<String, Object> events = new LinkedHashMap<>();
    for (Event event : all()) {
      Map<String, Object> figures = play(event);
      events.put(event.name(), figures);
      progress.accept(Map.of(event.name(), figures));
    }
    return events;
  }

  private List<Event> all() {
    return List.of(
        new Event("restarts_51_a_minute", this::restarts, part(MINUTE)),
        new Event("all_doors_by_tenths", this::allDoorsByTenths, part(MINUTE)),
        new Event("owner_killed", this::ownerKilled, OWNER_AWAY_SECONDS),
        new Event("zone_gone_and_back", this::zoneGoneAndBack, ZONE_AWAY_SECONDS),
        new Event("changes_30_a_minute", this::changes, part(MINUTE)),
        new Event("regions_cut", this::regionsCut, part(CUT_SECONDS)));
  }

  private int part(int seconds) {
    return Math.max(1, (int) Math.round(seconds * share));
  }

  private Map<String, Object> play(Event event) {
    int seconds = event.seconds() + SETTLING_SECONDS;
    fleet.cores().forEach(core -> core.process().takeMaxQueuedBytes());
    HealthWatch health = new HealthWatch(fleet);
    long firstEdition = fleet.operator().edition() + 1;
    FleetMeter complete = new FleetMeter(fleet);
    event.begin().run();
    List<Sample> samples = new ArrayList<>();
    for (int i = 0; i < seconds; i++) {
      FleetMeter meter = new FleetMeter(fleet);
      time.runFor(SECOND);
      FleetMeter.Reading reading = meter.read();
      samples.add(
          new Sample(
              reading.doorCpuPct(),
              reading.doorBytesPerSecond(),
              reading.coreCpuPct(),
              reading.coreBytesPerSecond()));
    }
    Map<String, Object> figures = describe(samples);
    figures.put("refused_pct", Rounded.of(complete.read().requests().refusedPct()));
    figures.put("lease_failovers", health.failovers());
    figures.put("false_expiries", health.falseExpiries());
    inForce(figures, firstEdition);
    return figures;
  }

  private Map<String, Object> describe(List<Sample> samples) {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("seconds", samples.size());
    figures.put("door_cpu_pct_peak", max(samples.stream().map(Sample::doorCpuPct).toList()));
    figures.put("door_bytes_per_s_peak", max(samples.stream().map(Sample::doorBytes).toList()));
    figures.put("core_cpu_pct_peak", max(samples.stream().map(Sample::coreCpuPct).toList()));
    figures.put("core_bytes_per_s_peak", max(samples.stream().map(Sample::coreBytes).toList()));
    long raised =
        samples.stream()
            .filter(sample -> sample.coreBytes() > RAISED * calm.coreBytesPerSecond())
            .count();
    figures.put("core_raised_s", raised);
    long queued =
        fleet.cores().stream()
            .mapToLong(core -> core.process().takeMaxQueuedBytes())
            .max()
            .orElse(0);
    figures.put("core_queued_mb_max", Rounded.of(queued / MEGABYTE));
    return figures;
  }

  private void inForce(Map<String, Object> figures, long firstEdition) {
    long last = fleet.operator().edition();
    if (last >= firstEdition) {
      List<Double> seconds = fleet.configurations().secondsUntilInForce(firstEdition, last);
      double[] sorted = seconds.stream().mapToDouble(Double::doubleValue).toArray();
      figures.put("in_force_p99_s", Rounded.of(Gauge.quantile(sorted, Gauge.P99)));
      figures.put("in_force_max_s", Rounded.of(Gauge.quantile(sorted, 1)));
      long wanted = (last - firstEdition + 1) * fleet.doors().size();
      figures.put("changes_missing_at_doors", wanted - seconds.size());
    }
  }

  private static Number max(List<Double> values) {
    return Rounded.of(values.stream().mapToDouble(Double::doubleValue).max().orElse(0));
  }

  private void restarts() {
    int doors = fleet.doors().size();
    int restarts = part(RESTARTS_PER_MINUTE);
    for (int i = 0; i < restarts; i++) {
      MeasuredDoor door = fleet.doors().get(i * doors / restarts % doors);
      time.after(i * MINUTE * SECOND / RESTARTS_PER_MINUTE, () -> restart(door));
    }
  }

  private void allDoorsByTenths() {
    long gap = part(MINUTE) * SECOND / TENTHS;
    for (int i = 0; i < fleet.doors().size(); i++) {
      MeasuredDoor door = fleet.doors().get(i);
      time.after(i % TENTHS * gap, () -> restart(door));
    }
  }

  private void restart(MeasuredDoor door) {
    door.kill();
    time.after(2 * SECOND, door::start);
  }

  /** The owner of the configuration goes while a change is under way. */
  private void ownerKilled() {
    MeasuredCore owner = fleet.owner(0);
    fleet.operator().sendChange();
    owner.kill();
    time.after(OWNER_AWAY_SECONDS * SECOND, owner::start);
  }

  private void zoneGoneAndBack() {
    List<SimulatedBackend> backends =
        fleet.backends().stream().filter(backend -> backend.zone() == 0).toList();
    List<MeasuredDoor> doors = new ArrayList<>();
    for (int i = 0; i < fleet.doors().size(); i += FleetPlan.ZONES) {
      doors.add(fleet.doors().get(i));
    }
    backends.forEach(SimulatedBackend::stop);
    doors.forEach(MeasuredDoor::kill);
    time.after(
        ZONE_AWAY_SECONDS * SECOND,
        () -> {
          backends.forEach(SimulatedBackend::start);
          doors.forEach(MeasuredDoor::start);
        });
  }

  private void changes() {
    for (int i = 0; i < part(CHANGES_PER_MINUTE); i++) {
      time.after(i * MINUTE * SECOND / CHANGES_PER_MINUTE, fleet.operator()::sendChange);
    }
  }

  private void regionsCut() {
    fleet.network().cutRegions(true);
    time.after(part(CUT_SECONDS) * SECOND / 2, fleet.operator()::sendChange);
    time.after(part(CUT_SECONDS) * SECOND, () -> fleet.network().cutRegions(false));
  }
}
