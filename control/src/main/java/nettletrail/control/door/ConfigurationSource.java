package nettletrail.control.door;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import nettletrail.control.RendezvousHash;

/**
 * Selects the one core process that pushes new configurations to the door. All others only announce
 * the newest sequence that they know to be committed.
 *
 * <p>Core processes in the door's own zone are preferred. Among equals rendezvous hashing decides,
 * so that the doors of a zone spread over its core processes, or over all others when the zone has
 * none. The source changes when its link is lost, when it missed some heartbeats, or when it lags
 * behind the newest sequence that others announced.
 *
 * <p>Instants are nanoseconds of the steady clock.
 */
final class ConfigurationSource {
  /** A core process that didn't reply for so long isn't eligible. */
  private static final long REPLY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** How much later than another one an eligible core process may learn of a commit. */
  private static final long MAX_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final String door;
  private final String zone;
  private String address = "";
  private long newestSequence;
  private long newestSince;

  ConfigurationSource(String door, String zone) {
    this.door = door;
    this.zone = zone;
  }

  /** The address of the source, empty while there is none. */
  String address() {
    return address;
  }

  boolean isSource(CoreLink link) {
    return link.address().equals(address);
  }

  /** A core process announced a committed sequence. */
  void announced(long sequence, long now) {
    if (sequence > newestSequence) {
      newestSequence = sequence;
      newestSince = now;
    }
  }

  /** The newest sequence that any core process announced, 0 for none. */
  long newestSequence() {
    return newestSequence;
  }

  /** When {@link #newestSequence} was first announced. */
  long newestSince() {
    return newestSince;
  }

  /** Selects the source anew; returns whether it changed. */
  boolean select(Collection<CoreLink> links, long now) {
    String previous = address;
    address =
        links.stream()
            .filter(link -> isEligible(link, now))
            .min(preference())
            .map(CoreLink::address)
            .orElse("");
    return !address.equals(previous);
  }

  /**
   * The core process to fetch from when the source didn't push.
   *
   * @param avoided addresses to return only when no other core process is eligible
   */
  Optional<CoreLink> alternative(Collection<CoreLink> links, Set<String> avoided, long now) {
    return links.stream()
        .filter(link -> isEligible(link, now))
        .min(
            Comparator.comparing((CoreLink link) -> avoided.contains(link.address()))
                .thenComparing(preference()));
  }

  private boolean isEligible(CoreLink link, long now) {
    boolean lags =
        link.configurationSequence() < newestSequence && now - newestSince > MAX_LAG_NANOS;
    return link.repliedWithin(REPLY_TIMEOUT_NANOS, now) && !lags;
  }

  private Comparator<CoreLink> preference() {
    return Comparator.comparing((CoreLink link) -> !link.zone().equals(zone))
        .thenComparing(
            link -> RendezvousHash.weight(door.hashCode(), link.address()),
            Comparator.reverseOrder());
  }
}
