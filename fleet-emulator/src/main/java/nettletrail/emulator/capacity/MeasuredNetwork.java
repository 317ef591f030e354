package nettletrail.emulator.capacity;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.link.EnvelopeCodec;
import nettletrail.protocol.link.ProtocolException;
import org.apache.avro.specific.SpecificRecord;

/**
 * Links in memory that carry real encoded frames; both encoding and decoding count as the
 * processes' own processor time.
 */
final class MeasuredNetwork {
  private static final long WITHIN_REGION = 1_400_000;
  private static final long BETWEEN_REGIONS = 20 * VirtualTime.MILLISECOND;
  private static final int LARGE_FRAME = 64 * 1024;

  private final VirtualTime time;
  private final EnvelopeCodec codec = new EnvelopeCodec();
  private final ByteBuf scratch = Unpooled.buffer(LARGE_FRAME);
  private final Map<String, Endpoint> endpoints = new HashMap<>();
  private final Set<Link> links = new HashSet<>();
  private final Map<Link, Long> lastArrival = new HashMap<>();
  private final Map<String, Long> doorBytesByMessage = new TreeMap<>();
  private boolean regionsCut;
  private long joinedAt = Long.MIN_VALUE / 2;
  private SpecificRecord lastLarge;
  private byte[] lastLargeFrame;

  /** A process's side of its links. All calls are steps of the process. */
  interface Endpoint {
    MeasuredProcess process();

    void up(String peer, boolean peerIsDoor);

    void down(String peer, boolean peerIsDoor);

    void received(String peer, boolean peerIsDoor, SpecificRecord message);

    boolean isDoor();

    /** The addresses that this process keeps dialled. */
    Set<String> dialled();
  }

  /** A direction of a link. */
  private record Link(String from, String to) {
    Link reversed() {
      return new Link(to, from);
    }
  }

  MeasuredNetwork(VirtualTime time) {
    this.time = time;
  }

  /** Bytes that went between doors and core processes so far, by kind of message. */
  Map<String, Long> doorBytesByMessage() {
    return new TreeMap<>(doorBytesByMessage);
  }

  void add(String address, Endpoint endpoint) {
    endpoints.put(address, endpoint);
  }

  /** Cuts the two regions from each other, or joins them. */
  void cutRegions(boolean cut) {
    regionsCut = cut;
    joinedAt = time.now();
    if (cut) {
      for (Link link : List.copyOf(links)) {
        if (!connected(link)) {
          takeDown(link);
        }
      }
    }
  }

  /** Whether the regions are cut from each other, or were within this time, in nanoseconds. */
  boolean regionsCutWithin(long nanoseconds) {
    return regionsCut || time.now() - joinedAt < nanoseconds;
  }

  /** Brings up what is dialled and can be reached. */
  void connect() {
    endpoints.forEach(
        (address, endpoint) -> {
          if (endpoint.process().running()) {
            endpoint.dialled().forEach(target -> bringUp(new Link(address, target)));
          }
        });
  }

  /** A process has ended: the others see its links go. */
  void ended(String address) {
    for (Link link : List.copyOf(links)) {
      if (link.from().equals(address) || link.to().equals(address)) {
        takeDown(link);
      }
    }
  }

  private void bringUp(Link link) {
    Endpoint target = endpoints.get(link.to());
    if (target == null || links.contains(link) || !target.process().running() || !connected(link)) {
      return;
    }
    links.add(link);
    links.add(link.reversed());
    notifyUp(link);
    notifyUp(link.reversed());
  }

  private void notifyUp(Link link) {
    Endpoint endpoint = endpoints.get(link.from());
    boolean door = endpoints.get(link.to()).isDoor();
    endpoint.process().submit(() -> endpoint.up(link.to(), door));
  }

  private void takeDown(Link link) {
    if (!links.remove(link)) {
      return;
    }
    Endpoint endpoint = endpoints.get(link.from());
    boolean door = endpoints.get(link.to()).isDoor();
    endpoint.process().submit(() -> endpoint.down(link.to(), door));
  }

  private boolean connected(Link link) {
    return !regionsCut || region(link.from()) == region(link.to());
  }

  private int region(String address) {
    return endpoints.get(address).process().region();
  }

  /** Sends a message as a step of its sender; dropped without a link. */
  void send(String from, String to, SpecificRecord message) {
    Link link = new Link(from, to);
    if (!links.contains(link)) {
      return;
    }
    byte[] frame = encode(message, to);
    int bytes = MessageSizes.FRAME_HEADER_BYTES + frame.length;
    if (endpoints.get(from).isDoor() || endpoints.get(to).isDoor()) {
      doorBytesByMessage.merge(figureName(message), (long) bytes, Long::sum);
    }
    long left = endpoints.get(from).process().transmit(bytes);
    long delay = region(from) == region(to) ? WITHIN_REGION : BETWEEN_REGIONS;
    long arrival = Math.max(left + delay, lastArrival.getOrDefault(link, 0L) + 1);
    lastArrival.put(link, arrival);
    Endpoint target = endpoints.get(to);
    long incarnation = target.process().incarnation();
    time.at(arrival, () -> arrive(link, target, incarnation, frame));
  }

  /** The message's name as figures spell theirs, in small letters joined by underscores. */
  private static String figureName(SpecificRecord message) {
    String name = message.getClass().getSimpleName();
    return name.replaceAll("(?<=[a-z])(?=[A-Z])", "_").toLowerCase(Locale.ROOT);
  }

  private void arrive(Link link, Endpoint target, long incarnation, byte[] frame) {
    MeasuredProcess process = target.process();
    if (!links.contains(link) || !process.running() || process.incarnation() != incarnation) {
      return;
    }
    process.received(MessageSizes.FRAME_HEADER_BYTES + frame.length);
    boolean fromDoor = endpoints.get(link.from()).isDoor();
    process.submit(() -> target.received(link.from(), fromDoor, decode(frame, link.from())));
  }

  /** Encodes each time; of a large message that goes to many, one copy of the frame is kept. */
  private byte[] encode(SpecificRecord message, String peer) {
    scratch.clear();
    try {
      codec.encode(message, scratch, peer);
    } catch (ProtocolException e) {
      throw new IllegalStateException(e);
    }
    if (message == lastLarge) {
      return lastLargeFrame;
    }
    byte[] frame = new byte[scratch.readableBytes()];
    scratch.getBytes(scratch.readerIndex(), frame);
    if (frame.length > LARGE_FRAME) {
      lastLarge = message;
      lastLargeFrame = frame;
    }
    return frame;
  }

  private SpecificRecord decode(byte[] frame, String peer) {
    try {
      return codec.decode(Unpooled.wrappedBuffer(frame), peer);
    } catch (ProtocolException e) {
      throw new IllegalStateException(e);
    }
  }
}
