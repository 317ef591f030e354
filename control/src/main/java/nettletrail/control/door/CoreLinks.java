package nettletrail.control.door;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The core processes that the door dials: the seeds of its settings and all members of the
 * directories that linked core processes send.
 *
 * <p>An address that neither is linked nor listed anywhere is given up after a while.
 */
final class CoreLinks {
  private static final long UNDIAL_DELAY_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final Map<String, CoreLink> links = new LinkedHashMap<>();
  private Set<String> seeds;

  /** Dials nothing before {@link #dialSeeds}. */
  CoreLinks(Collection<String> seeds) {
    this.seeds = new HashSet<>(seeds);
  }

  /** The settings list other seeds from now on. */
  void seedsChanged(Collection<String> newSeeds) {
    seeds = new HashSet<>(newSeeds);
  }

  /** Dials the seeds that aren't dialled yet. */
  List<DoorAction> dialSeeds(long now) {
    return dial(seeds, now);
  }

  /** Dials the members of this link's directory that aren't dialled yet. */
  List<DoorAction> dialMembers(CoreLink link, long now) {
    return dial(link.directoryMembers(), now);
  }

  private List<DoorAction> dial(Collection<String> addresses, long now) {
    List<DoorAction> actions = new ArrayList<>();
    for (String address : addresses) {
      CoreLink known = links.get(address);
      if (known == null) {
        links.put(address, new CoreLink(address, now));
        actions.add(new DoorAction.Dial(address));
      } else {
        known.listed(now);
      }
    }
    return actions;
  }

  /** A link is established, possibly to an address that was given up meanwhile. */
  void linkUp(String address, long now) {
    links.computeIfAbsent(address, unseen -> new CoreLink(address, now)).linkUp(now);
  }

  /** Removes the links that are obsolete, and returns their addresses. */
  List<String> removeObsolete(long now) {
    List<String> removed = new ArrayList<>();
    for (Iterator<CoreLink> iterator = links.values().iterator(); iterator.hasNext(); ) {
      CoreLink link = iterator.next();
      if (link.isObsolete(UNDIAL_DELAY_NANOS, now)) {
        iterator.remove();
        removed.add(link.address());
      }
    }
    return removed;
  }

  /** The link to this address, empty when it isn't dialled. */
  Optional<CoreLink> find(String address) {
    return Optional.ofNullable(links.get(address));
  }

  /** Whether the link to this address is up. */
  boolean isUp(String address) {
    return find(address).filter(CoreLink::isUp).isPresent();
  }

  /** A live view of all links, in the order in which they were dialled. */
  Collection<CoreLink> all() {
    return Collections.unmodifiableCollection(links.values());
  }
}
