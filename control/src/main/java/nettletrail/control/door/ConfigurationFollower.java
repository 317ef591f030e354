package nettletrail.control.door;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.ConfigurationFetch;

/**
 * Receives the newest committed configuration once: one core process, the source, pushes it, and
 * the others only announce its sequence. A door that knows of a newer sequence and receives no
 * chunk of it for a while fetches what is missing from another core process.
 *
 * <p>Nothing is fetched while chunks still arrive. The timeout doubles with each unanswered fetch,
 * so that many doors don't overload a core that is slow. Instants are nanoseconds of the steady
 * clock.
 */
final class ConfigurationFollower {
  /** How long after the first announcement of a sequence the source has to begin to push it. */
  private static final long PUSH_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** After so long without a chunk another core process is asked; doubles with each attempt. */
  private static final long CHUNK_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private static final int MAX_TIMEOUT_DOUBLINGS = 2;

  private final String door;
  private final ConfigurationActivation activation;
  private final ConfigurationSource source;
  private final ConfigurationTransfer transfer = new ConfigurationTransfer();
  private final Set<String> attemptedAddresses = new HashSet<>();
  private long lastFetchAt;
  private int attempts;

  /** {@code activation} receives what is complete. */
  ConfigurationFollower(String door, String zone, ConfigurationActivation activation) {
    this.door = door;
    this.activation = activation;
    this.source = new ConfigurationSource(door, zone);
  }

  /** Whether this core process is to push new configurations. */
  boolean isSource(CoreLink link) {
    return source.isSource(link);
  }

  /** The newest sequence that is known to be committed, 0 for none. */
  long newestCommitted() {
    return source.newestSequence();
  }

  /** A core process announced the newest sequence that it knows to be committed. */
  void announced(long sequence, long now) {
    source.announced(sequence, now);
  }

  /**
   * A chunk arrived. Once the document is complete the next heartbeat to the source is expedited,
   * since the source pushes a newer document only after that.
   *
   * @return the fetch to send to the chunk's sender, empty if it needn't send more
   */
  Optional<ConfigurationFetch> received(
      ConfigurationChunk chunk, Collection<CoreLink> links, long now) {
    source.announced(chunk.getSequence(), now);
    if (chunk.getSize() == 0) {
      activation.renumbered(chunk.getSequence(), chunk.getEdition());
    } else if (!transfer.append(chunk, activation.newestSequence(), now)) {
      return Optional.empty();
    } else if (!transfer.isComplete()) {
      return Optional.of(nextFetch());
    } else {
      activation.received(transfer.finish());
    }
    transfer.abandonUpTo(activation.newestSequence());
    attempts = 0;
    links.stream().filter(source::isSource).forEach(CoreLink::expediteHeartbeat);
    return Optional.empty();
  }

  /**
   * Selects another source where that is due; not while the present one is linked and its chunks
   * arrive. The next heartbeats to the former and the new source are expedited, so that both learn
   * of it.
   */
  void selectSource(Collection<CoreLink> links, long now) {
    String previous = source.address();
    if (isArriving(now) && isUp(previous, links) || !source.select(links, now)) {
      return;
    }
    links.stream()
        .filter(link -> link.address().equals(previous) || source.isSource(link))
        .forEach(CoreLink::expediteHeartbeat);
  }

  private boolean isArriving(long now) {
    return transfer.isInProgress() && now - transfer.lastProgressAt() <= CHUNK_TIMEOUT_NANOS;
  }

  private static boolean isUp(String address, Collection<CoreLink> links) {
    return links.stream().anyMatch(link -> link.isUp() && link.address().equals(address));
  }

  /** The fetch to send to another core process, if a newer sequence is known and doesn't arrive. */
  Optional<DoorAction> fetchOverdue(Collection<CoreLink> links, long now) {
    boolean isCurrent = source.newestSequence() <= activation.newestSequence();
    if (isCurrent || now - fetchDueAt() < 0) {
      return Optional.empty();
    }
    if (attempts == 0) {
      attemptedAddresses.clear();
      attemptedAddresses.add(source.address());
    }
    Optional<CoreLink> alternative = source.alternative(links, attemptedAddresses, now);
    if (alternative.isEmpty()) {
      return Optional.empty();
    }
    String address = alternative.get().address();
    boolean allAttempted = !attemptedAddresses.add(address);
    if (allAttempted) {
      attemptedAddresses.clear();
    }
    lastFetchAt = now;
    attempts++;
    return Optional.of(new DoorAction.SendToCore(address, nextFetch()));
  }

  private long fetchDueAt() {
    if (attempts == 0 && !transfer.isInProgress()) {
      return source.newestSince() + PUSH_TIMEOUT_NANOS;
    }
    int doublings = Math.min(MAX_TIMEOUT_DOUBLINGS, Math.max(0, attempts - 1));
    return lastActivityAt() + (CHUNK_TIMEOUT_NANOS << doublings);
  }

  /** When the last chunk arrived or the last fetch was sent, whichever is later. */
  private long lastActivityAt() {
    if (!transfer.isInProgress()) {
      return lastFetchAt;
    }
    long lastChunkAt = transfer.lastProgressAt();
    boolean fetchedSince = attempts > 0 && lastFetchAt - lastChunkAt > 0;
    return fetchedSince ? lastFetchAt : lastChunkAt;
  }

  private ConfigurationFetch nextFetch() {
    return new ConfigurationFetch(door, transfer.sequence(), transfer.offset());
  }
}
