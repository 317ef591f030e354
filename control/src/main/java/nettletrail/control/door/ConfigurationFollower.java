package nettletrail.control.door;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.ConfigurationFetch;

/**
 * Gets the newest committed configuration to the door, once: one core process, the source, sends it
 * unasked, and the others only name its sequence. A door that knows of a newer sequence and gets no
 * piece of it for a while asks another core process for what is missing.
 *
 * <p>Nothing is asked for again while pieces still arrive. Each time that an asked one sends
 * nothing, the next one is given longer, so that doors don't flood a core that is slow. Times are
 * steady nanoseconds.
 */
final class ConfigurationFollower {
  private static final long MILLIS = 1_000_000L;

  /** How long after a sequence was first named the source has to begin to send it. */
  private static final long SOURCE_BEGINS_WITHIN = 400 * MILLIS;

  /** After so long without a piece another core process is asked; doubles with each attempt. */
  private static final long PIECE_WITHIN = 600 * MILLIS;

  private static final int MAX_DOUBLINGS = 2;

  private final String door;
  private final ConfigurationGate gate;
  private final ConfigurationSource source;
  private final ConfigurationTransfer transfer = new ConfigurationTransfer();
  private final Set<String> asked = new HashSet<>();
  private long askedAt;
  private int attempts;

  /** {@code gate} takes what comes whole. */
  ConfigurationFollower(String door, String zone, ConfigurationGate gate) {
    this.door = door;
    this.gate = gate;
    this.source = new ConfigurationSource(door, zone);
  }

  /** Whether this core process is to send new configurations unasked. */
  boolean isSource(CoreLink link) {
    return source.is(link);
  }

  /** The newest sequence that is known to be committed, 0 for none. */
  long newest() {
    return source.newest();
  }

  /** A core process named the newest sequence that it knows to be committed. */
  void named(long sequence, long now) {
    source.named(sequence, now);
  }

  /**
   * A piece came; returns what to ask its sender for next. The source's next heartbeat is hurried
   * once the document is whole, since it sends a newer one only after that.
   */
  Optional<ConfigurationFetch> received(
      ConfigurationChunk chunk, Collection<CoreLink> links, long now) {
    source.named(chunk.getSequence(), now);
    if (chunk.getSize() == 0) {
      gate.renumbered(chunk.getSequence(), chunk.getEdition());
    } else if (!transfer.take(chunk, gate.heldSequence(), now)) {
      return Optional.empty();
    } else if (!transfer.isComplete()) {
      return Optional.of(missing());
    } else {
      gate.received(transfer.finish());
    }
    transfer.abandonUpTo(gate.heldSequence());
    attempts = 0;
    hurrySource(links);
    return Optional.empty();
  }

  /** Changes the source where that is due. */
  void chooseSource(Collection<CoreLink> links, long now) {
    boolean arriving = transfer.isUnderWay() && now - transfer.progressAt() <= PIECE_WITHIN;
    String before = source.address();
    if (arriving && isUp(before, links) || !source.choose(links, now)) {
      return;
    }
    links.stream()
        .filter(link -> link.address().equals(before) || source.is(link))
        .forEach(CoreLink::hurryHeartbeat);
  }

  private static boolean isUp(String address, Collection<CoreLink> links) {
    return links.stream().anyMatch(link -> link.up() && link.address().equals(address));
  }

  /** What to ask another core process for, if something newer is known and doesn't come. */
  Optional<DoorAction> fetchMissing(Collection<CoreLink> links, long now) {
    if (source.newest() <= gate.heldSequence() || now - waitsUntil() < 0) {
      return Optional.empty();
    }
    if (attempts == 0) {
      asked.clear();
      asked.add(source.address());
    }
    Optional<CoreLink> other = source.alternative(links, asked, now);
    if (other.isEmpty()) {
      return Optional.empty();
    }
    String address = other.get().address();
    if (!asked.add(address)) {
      asked.clear();
    }
    askedAt = now;
    attempts++;
    return Optional.of(new DoorAction.SendToCore(address, missing()));
  }

  private long waitsUntil() {
    if (attempts == 0 && !transfer.isUnderWay()) {
      return source.newestSince() + SOURCE_BEGINS_WITHIN;
    }
    long since = transfer.isUnderWay() ? transfer.progressAt() : askedAt;
    if (attempts > 0 && askedAt - since > 0) {
      since = askedAt;
    }
    return since + (PIECE_WITHIN << Math.min(MAX_DOUBLINGS, Math.max(0, attempts - 1)));
  }

  private ConfigurationFetch missing() {
    return new ConfigurationFetch(door, transfer.sequence(), transfer.offset());
  }

  private void hurrySource(Collection<CoreLink> links) {
    links.stream().filter(source::is).forEach(CoreLink::hurryHeartbeat);
  }
}
