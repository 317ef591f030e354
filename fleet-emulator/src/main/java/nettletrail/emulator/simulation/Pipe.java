package nettletrail.emulator.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.SplittableRandom;

/**
 * One direction of a connection: a queue of messages in flight, delivered in order and held up
 * while a partition blocks the path.
 */
final class Pipe {
  private final VirtualTime time;
  private final SplittableRandom random;
  private final NetworkSettings settings;
  private final Path path;
  private final Network network;
  private final Connection receiver;
  private final Deque<Segment> inFlight = new ArrayDeque<>();
  private long lastArrival;
  private boolean finished;

  Pipe(
      VirtualTime time,
      SplittableRandom random,
      NetworkSettings settings,
      Path path,
      Network network,
      Connection receiver) {
    this.time = time;
    this.random = random;
    this.settings = settings;
    this.path = path;
    this.network = network;
    this.receiver = receiver;
  }

  void send(Payload payload) {
    enqueue(payload);
    if (settings.duplicateProbability() > 0
        && random.nextDouble() < settings.duplicateProbability()) {
      enqueue(payload);
    }
  }

  /** Notifies the receiver of the end, after all messages in flight. */
  void finish() {
    if (!finished) {
      finished = true;
      enqueue(null);
    }
  }

  /** Loses all messages in flight. */
  void discard() {
    inFlight.clear();
  }

  /** Loses all messages in flight after a prefix of random length. */
  void truncate() {
    int kept = random.nextInt(inFlight.size() + 1);
    Iterator<Segment> segments = inFlight.iterator();
    while (segments.hasNext()) {
      segments.next();
      if (kept-- <= 0) {
        segments.remove();
      }
    }
  }

  boolean isOn(Path other) {
    return path.equals(other);
  }

  /** True if nothing more will arrive. */
  boolean isDone() {
    return finished && inFlight.isEmpty();
  }

  /** The partition has healed: messages held up arrive after a retransmission. */
  void resume() {
    if (!inFlight.isEmpty()) {
      time.after(network.delay(path), this::deliverDue);
    }
  }

  private void enqueue(Payload payload) {
    long arrival = time.now() + network.delay(path);
    if (random.nextDouble() < settings.lossProbability()) {
      arrival += settings.retransmitDelay();
    }
    lastArrival = Math.max(lastArrival, arrival);
    inFlight.add(new Segment(lastArrival, payload));
    time.at(lastArrival, this::deliverDue);
  }

  private void deliverDue() {
    while (!inFlight.isEmpty() && inFlight.peek().arrival <= time.now()) {
      if (network.isPartitioned(path)) {
        return;
      }
      Segment segment = inFlight.poll();
      if (segment.payload == null) {
        receiver.endFromOutside();
      } else {
        receiver.deliver(segment.payload);
      }
    }
  }

  /** A message, or the end of the stream where the payload is null. */
  private record Segment(long arrival, Payload payload) {}
}
