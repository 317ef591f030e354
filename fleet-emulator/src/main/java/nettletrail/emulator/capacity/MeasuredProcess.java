package nettletrail.emulator.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * One process in virtual time with one control thread: steps run one after the other, each takes as
 * long as it took this machine's processor, and what it sends leaves through one link of a
 * bandwidth.
 */
final class MeasuredProcess {
  private static final int METER_ROUNDS = 20_000;
  private static final int METER_REPEATS = 5;

  /** Bits that a machine's link carries in a second. */
  static final long LINK_BITS_PER_S = 1_000_000_000L;

  private static final long BITS_PER_BYTE = 8;
  private static final long SECOND = VirtualTime.SECOND;
  private static final long METER_COST_NS = meterCost();

  private final VirtualTime time;
  private final String name;
  private final int region;
  private final Deque<Runnable> inbox = new ArrayDeque<>();
  private boolean scheduled;
  private boolean running;
  private long incarnation;
  private long startedAt;
  private long busyUntil;
  private long linkFreeAt;
  private long cpuNs;
  private long bytesSent;
  private long bytesReceived;
  private long messagesSent;
  private long messagesReceived;
  private long queuedBytes;
  private long maxQueuedBytes;

  MeasuredProcess(VirtualTime time, String name, int region) {
    this.time = time;
    this.name = name;
    this.region = region;
  }

  String name() {
    return name;
  }

  int region() {
    return region;
  }

  boolean running() {
    return running;
  }

  /** Whether it has been running for so long, in nanoseconds. */
  boolean runningFor(long nanoseconds) {
    return running && time.now() - startedAt >= nanoseconds;
  }

  /** Counts the starts of this process. */
  long incarnation() {
    return incarnation;
  }

  void start() {
    incarnation++;
    startedAt = time.now();
    running = true;
  }

  /** Ends the process; steps that wait are never run. */
  void end() {
    running = false;
    inbox.clear();
  }

  /** Runs a step as soon as the control thread is free. */
  void submit(Runnable step) {
    if (!running) {
      return;
    }
    inbox.add(step);
    schedule();
  }

  /** Submits a step after a delay, unless the process has ended or started anew by then. */
  void after(long delay, Runnable step) {
    long ofIncarnation = incarnation;
    time.after(
        delay,
        () -> {
          if (running && incarnation == ofIncarnation) {
            submit(step);
          }
        });
  }

  private void schedule() {
    if (!scheduled && !inbox.isEmpty()) {
      scheduled = true;
      time.at(busyUntil, this::runNext);
    }
  }

  private void runNext() {
    scheduled = false;
    Runnable step = inbox.poll();
    if (step == null) {
      return;
    }
    long began = Gauge.cpuNs();
    step.run();
    charge(Math.max(0, Gauge.cpuNs() - began - METER_COST_NS));
    schedule();
  }

  /** Counts processor time that was measured elsewhere as this process's own. */
  void charge(long nanoseconds) {
    cpuNs += nanoseconds;
    busyUntil = Math.max(busyUntil, time.now()) + nanoseconds;
  }

  /** Puts a frame on the link and returns the instant at which its last byte has left. */
  long transmit(int bytes) {
    messagesSent++;
    bytesSent += bytes;
    linkFreeAt =
        Math.max(linkFreeAt, time.now()) + bytes * BITS_PER_BYTE * SECOND / LINK_BITS_PER_S;
    queuedBytes += bytes;
    maxQueuedBytes = Math.max(maxQueuedBytes, queuedBytes);
    time.at(linkFreeAt, () -> queuedBytes -= bytes);
    return linkFreeAt;
  }

  void received(int bytes) {
    messagesReceived++;
    bytesReceived += bytes;
  }

  /** Bytes of a caller that isn't part of the fleet's links. */
  void exchanged(int bytesIn, int bytesOut) {
    bytesReceived += bytesIn;
    bytesSent += bytesOut;
  }

  Usage usage() {
    return new Usage(cpuNs, bytesSent, bytesReceived, messagesSent, messagesReceived);
  }

  /** Bytes that wait for the link. */
  long queuedBytes() {
    return queuedBytes;
  }

  /** The most bytes that waited for the link at once since this was asked last. */
  long takeMaxQueuedBytes() {
    long max = maxQueuedBytes;
    maxQueuedBytes = queuedBytes;
    return max;
  }

  /** What reading the thread's clock twice costs by itself. */
  private static long meterCost() {
    int rounds = METER_ROUNDS;
    long min = Long.MAX_VALUE;
    for (int repeat = 0; repeat < METER_REPEATS; repeat++) {
      long began = Gauge.cpuNs();
      for (int i = 1; i < rounds; i++) {
        Gauge.cpuNs();
      }
      min = Math.min(min, (Gauge.cpuNs() - began) / rounds);
    }
    return min;
  }

  /** What a process has used since the run began. */
  record Usage(
      long cpuNs, long bytesSent, long bytesReceived, long messagesSent, long messagesReceived) {
    Usage since(Usage earlier) {
      return new Usage(
          cpuNs - earlier.cpuNs,
          bytesSent - earlier.bytesSent,
          bytesReceived - earlier.bytesReceived,
          messagesSent - earlier.messagesSent,
          messagesReceived - earlier.messagesReceived);
    }

    long bytes() {
      return bytesSent + bytesReceived;
    }
  }
}
