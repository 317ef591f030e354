package nettletrail.control.door;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import nettletrail.control.RendezvousHash;

/**
 * The one core process that sends the door each new configuration without being asked. All others
 * only name the newest sequence that they know.
 *
 * <p>A core process in the door's own zone comes first; among equals a hash of both names decides,
 * so that the doors of a zone spread over its core processes, and over all others when those are
 * gone. The source is changed when its link is lost, when it was silent for some heartbeats, or
 * when it still knows only an older configuration than others named a while ago. Times are steady
 * nanoseconds.
 */
final class ConfigurationSource {
  private static final long MILLIS = 1_000_000L;

  /** A core process that didn't reply for so long isn't a source. */
  private static final long SILENT_AFTER = 1_500 * MILLIS;

  /** How much later than another one a source may learn of a commit. */
  private static final long BEHIND_AFTER = 400 * MILLIS;

  private final String door;
  private final String zone;
  private String address = "";
  private long newest;
  private long newestSince;

  ConfigurationSource(String door, String zone) {
    this.door = door;
    this.zone = zone;
  }

  /** The address of the source, empty while there is none. */
  String address() {
    return address;
  }

  /** Whether this core process is the source. */
  boolean is(CoreLink link) {
    return link.address().equals(address);
  }

  /** A core process named a committed sequence. */
  void named(long sequence, long now) {
    if (sequence > newest) {
      newest = sequence;
      newestSince = now;
    }
  }

  /** The newest sequence that any core process named, 0 for none. */
  long newest() {
    return newest;
  }

  /** When {@link #newest} was first named. */
  long newestSince() {
    return newestSince;
  }

  /** Chooses anew; returns whether the source is another one than before. */
  boolean choose(Collection<CoreLink> links, long now) {
    String before = address;
    address =
        links.stream()
            .filter(link -> isFit(link, now))
            .min(preference())
            .map(CoreLink::address)
            .orElse("");
    return !address.equals(before);
  }

  /** The core process to ask for what the source didn't send; none of those asked if it can be. */
  Optional<CoreLink> alternative(Collection<CoreLink> links, Set<String> asked, long now) {
    return links.stream()
        .filter(link -> isFit(link, now))
        .min(
            Comparator.comparing((CoreLink link) -> asked.contains(link.address()))
                .thenComparing(preference()));
  }

  private boolean isFit(CoreLink link, long now) {
    boolean behind = link.configurationSequence() < newest && now - newestSince > BEHIND_AFTER;
    return link.repliedWithin(SILENT_AFTER, now) && !behind;
  }

  private Comparator<CoreLink> preference() {
    return Comparator.comparing((CoreLink link) -> !link.zone().equals(zone))
        .thenComparing(
            link -> RendezvousHash.weight(door.hashCode(), link.address()),
            Comparator.reverseOrder());
  }
}
