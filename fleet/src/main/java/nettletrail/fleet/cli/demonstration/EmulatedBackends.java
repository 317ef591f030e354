package nettletrail.fleet.cli.demonstration;

import java.io.IOException;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** The backends of a demonstration and their registrations. Used by one thread. */
final class EmulatedBackends implements AutoCloseable {
  private static final int MODEL_BACKENDS_PER_ZONE = 3;
  private static final int CHAT_BACKENDS_PER_ZONE = 1;
  private static final long DRAIN_MARGIN_MS = 500;

  private final LoopbackNetwork network;
  private final Supplier<List<String>> cores;
  private final BackendRunLog runLog;
  private final Map<EmulatedBackend, BackendRegistration> registered = new LinkedHashMap<>();
  private int lastNumber;

  /**
   * Starts no backend yet.
   *
   * @param cores supplies the current control addresses; called on other threads too
   */
  EmulatedBackends(LoopbackNetwork network, Supplier<List<String>> cores, BackendRunLog runLog) {
    this.network = network;
    this.cores = cores;
    this.runLog = runLog;
  }

  /** Starts and registers the backends of both services in each zone. */
  void start(int zoneCount) throws IOException, InterruptedException {
    for (int zone = 0; zone < zoneCount; zone++) {
      for (int i = 0; i < MODEL_BACKENDS_PER_ZONE; i++) {
        add(ConfigurationTemplate.MODEL_SERVICE, zone);
      }
      for (int i = 0; i < CHAT_BACKENDS_PER_ZONE; i++) {
        add(ConfigurationTemplate.CHAT_SERVICE, zone);
      }
    }
  }

  private void add(String service, int zone) throws IOException, InterruptedException {
    lastNumber++;
    EmulatedBackend backend =
        new EmulatedBackend(
            "backend-" + lastNumber,
            service,
            DemonstrationPlan.zone(zone),
            network.nextAddress(),
            runLog);
    BackendRegistration registration = new BackendRegistration(backend, cores, lastNumber);
    registered.put(backend, registration);
    registration.start();
  }

  /** The number of running backends. */
  int size() {
    return registered.size();
  }

  /** The running model backend that has run the largest number of attempts. */
  EmulatedBackend busiestModelBackend() {
    Map<String, Long> runs =
        runLog.runs().stream()
            .collect(Collectors.groupingBy(BackendRunLog.Run::backend, Collectors.counting()));
    return registered.keySet().stream()
        .filter(backend -> backend.service().equals(ConfigurationTemplate.MODEL_SERVICE))
        .max(Comparator.comparingLong(backend -> runs.getOrDefault(backend.id(), 0L)))
        .orElseThrow();
  }

  /**
   * Drains a backend, keeps it running for a little longer than the allowed time, and stops it.
   *
   * @return when the drain was acknowledged: steady clock, nanoseconds
   */
  long drain(EmulatedBackend backend) throws IOException, InterruptedException {
    BackendRegistration registration = registered.get(backend);
    registration.drain();
    long acknowledgedAt = System.nanoTime();
    Thread.sleep(SettingsTemplate.DRAIN_MS + DRAIN_MARGIN_MS);
    registration.remove();
    registered.remove(backend);
    backend.close();
    return acknowledgedAt;
  }

  /** Stops a backend and its heartbeats without deregistering it. */
  void crash(EmulatedBackend backend) {
    registered.remove(backend).close();
    backend.crash();
  }

  @Override
  public void close() {
    registered.values().forEach(BackendRegistration::close);
    registered.keySet().forEach(EmulatedBackend::close);
  }
}
