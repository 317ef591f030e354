package nettletrail.emulator.capacity;

import java.util.List;
import java.util.SplittableRandom;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Backend;

/**
 * A backend that only registers and sends heartbeats, each to one core process as long as that
 * runs.
 */
final class SimulatedBackend {
  private static final int ANSWER_BYTES =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}".length();
  private static final long HEARTBEAT = MeasuredCore.HEARTBEAT_MS * VirtualTime.MILLISECOND;
  private static final long TRANSFER = 1_400_000;

  private final VirtualTime time;
  private final List<MeasuredCore> cores;
  private final int number;
  private final SplittableRandom random;
  private boolean running;
  private long incarnation;
  private long startedAt;
  private long callSequence;

  SimulatedBackend(
      VirtualTime time, List<MeasuredCore> cores, int number, SplittableRandom random) {
    this.time = time;
    this.cores = cores;
    this.number = number;
    this.random = random;
  }

  /** Starts a life with the same id as before, as after a cut. */
  void start() {
    running = true;
    startedAt = time.now();
    incarnation++;
    long ofIncarnation = incarnation;
    time.after(random.nextLong(HEARTBEAT), () -> heartbeat(ofIncarnation));
  }

  /** Falls silent. */
  void stop() {
    running = false;
  }

  /** Whether it has been calling for so long, in nanoseconds. */
  boolean runningFor(long nanoseconds) {
    return running && time.now() - startedAt >= nanoseconds;
  }

  String id() {
    return FleetNames.backend(number);
  }

  int zone() {
    return number % FleetPlan.ZONES;
  }

  private void heartbeat(long ofIncarnation) {
    if (!running || incarnation != ofIncarnation) {
      return;
    }
    callSequence++;
    Backend report =
        Backend.newBuilder(SampleMessages.backend(number)).setCallSequence(callSequence).build();
    MeasuredCore core = runningCore();
    if (core != null) {
      core.process().exchanged(requestBytes(), ANSWER_BYTES);
      time.after(
          TRANSFER, () -> core.process().submit(() -> core.backendCalls(callSequence, report)));
    }
    time.after(HEARTBEAT, () -> heartbeat(ofIncarnation));
  }

  private MeasuredCore runningCore() {
    for (int i = 0; i < cores.size(); i++) {
      MeasuredCore core = cores.get((number + i) % cores.size());
      if (core.process().running()) {
        return core;
      }
    }
    return null;
  }

  /** Bytes of a heartbeat as HTTP carries it. */
  private int requestBytes() {
    byte[] body = BackendReports.json(number, callSequence);
    String head =
        "PUT /nettletrail/backends/"
            + id()
            + " HTTP/1.1\r\nHost: 10.0.0.1:8665\r\n"
            + "Content-Type: application/json\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    return head.length() + body.length;
  }
}
