package nettletrail.control.door;

import java.util.Collection;

/**
 * How many doors there are: the most that any linked core process sees; falls only after it was
 * lower for a while with most core processes linked. So of several sides that are cut off from each
 * other one at most shares what all doors may do among fewer of them.
 */
final class DoorCount {
  private static final long FALLS_AFTER = 10_000_000_000L;

  private int count;
  private boolean lower;
  private long lowerSince;
  private int maxSinceLower;

  void tick(Collection<CoreLink> links, long now) {
    int seen = 0;
    for (CoreLink link : links) {
      seen = Math.max(seen, link.up() ? link.doors() : 0);
    }
    if (seen == 0 || seen >= count || !majorityLinked(links)) {
      count = Math.max(count, seen);
      lower = false;
      return;
    }
    if (!lower) {
      lower = true;
      lowerSince = now;
      maxSinceLower = 0;
    }
    maxSinceLower = Math.max(maxSinceLower, seen);
    if (now - lowerSince > FALLS_AFTER) {
      count = maxSinceLower;
      lower = false;
    }
  }

  private static boolean majorityLinked(Collection<CoreLink> links) {
    long up = links.stream().filter(CoreLink::up).count();
    return 2 * up > links.size();
  }

  /** The count, 0 while nothing is known. */
  int count() {
    return count;
  }
}
