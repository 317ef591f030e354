package nettletrail.control.door;

import java.util.Collection;
import java.util.concurrent.TimeUnit;

/**
 * The number of doors, by which the doors divide budgets. It is the highest number that any linked
 * core process reports, and decreases only after it was lower for a while with a majority of the
 * core processes linked. In a network partition at most one side therefore divides a budget by
 * fewer doors than there are.
 */
final class DoorCount {
  private static final long DECREASE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(10);

  private int count;
  private boolean decreasing;
  private long decreasingSince;
  private int maxSinceDecreasing;

  /** Takes in what the core processes reported. */
  void update(Collection<CoreLink> links, long now) {
    int reported = 0;
    for (CoreLink link : links) {
      reported = Math.max(reported, link.isUp() ? link.doorCount() : 0);
    }
    if (reported == 0 || reported >= count || !isMajorityLinked(links)) {
      count = Math.max(count, reported);
      decreasing = false;
      return;
    }
    if (!decreasing) {
      decreasing = true;
      decreasingSince = now;
      maxSinceDecreasing = 0;
    }
    maxSinceDecreasing = Math.max(maxSinceDecreasing, reported);
    if (now - decreasingSince > DECREASE_DELAY_NANOS) {
      count = maxSinceDecreasing;
      decreasing = false;
    }
  }

  private static boolean isMajorityLinked(Collection<CoreLink> links) {
    long up = links.stream().filter(CoreLink::isUp).count();
    return 2 * up > links.size();
  }

  /** The number of doors, 0 while it is unknown. */
  int count() {
    return count;
  }
}
