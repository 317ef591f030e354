package nettletrail.router.retry;

/**
 * How many further sends this door may make to one service, so that the sum over all doors stays
 * within the deployment's bound without any talk between them. In each window, the further sends
 * are at most {@link #SHARE} of what the ratio allows for the first sends of the same window, and
 * this door's {@link #SHARE} of the slack.
 *
 * <p>The deployment counts the requests of one of two windows that lie side by side, whichever has
 * more, and this class those of a window that overlaps both: they are at most twice as many, which
 * is why the share is a half. A process begins without slack, and has all of it after one window,
 * so that one that is killed and comes back earns nothing by that.
 *
 * <p>Time is kept in {@link #SLICES} slices of a window. Further sends are counted for a slice
 * longer than a window, first sends for a slice less, so that both errors are on the safe side.
 * Pure; {@code now} is in ns.
 */
public final class RetryBudget {
  /** Of what the deployment allows all doors together. */
  public static final double SHARE = 0.5;

  static final int SLICES = 10;

  private final double ratio;
  private final double slack;
  private final long sliceNanos;
  private final long startedAt;
  private final long[] firstSends = new long[SLICES + 1];
  private final long[] furtherSends = new long[SLICES + 1];
  private long slice;

  /**
   * @param ratio further sends for each first send that all doors together may make
   * @param slack further sends beside, that all doors together may make in a window
   * @param windowNanos in which they are counted
   * @param startedAt when this process began
   */
  public RetryBudget(double ratio, double slack, long windowNanos, long startedAt) {
    this.ratio = ratio;
    this.slack = slack;
    this.startedAt = startedAt;
    sliceNanos = Math.max(1, windowNanos / SLICES);
  }

  /** A request was sent for the first time. */
  public void firstSend(long now) {
    advance(now);
    firstSends[index(slice)]++;
  }

  /**
   * Whether a further send may be made now.
   *
   * @param doors that serve, this one included
   */
  public boolean has(int doors, long now) {
    advance(now);
    long first = sum(firstSends, SLICES);
    long further = sum(furtherSends, SLICES + 1);
    return further + 1 <= SHARE * ratio * first + slackOfDoor(doors, now);
  }

  /** Takes the cost of one further send; whether it may be made. */
  public boolean take(int doors, long now) {
    if (!has(doors, now)) {
      return false;
    }
    furtherSends[index(slice)]++;
    return true;
  }

  /** The further send that was paid for last was not made. */
  public void refund(long now) {
    advance(now);
    int at = index(slice);
    furtherSends[at] = Math.max(0, furtherSends[at] - 1);
  }

  private double slackOfDoor(int doors, long now) {
    double age = (double) (now - startedAt) / (sliceNanos * SLICES);
    return SHARE * slack / Math.max(1, doors) * Math.min(1, Math.max(0, age));
  }

  private void advance(long now) {
    long current = (now - startedAt) / sliceNanos;
    if (current - slice > SLICES) {
      slice = current - SLICES - 1;
    }
    while (slice < current) {
      slice++;
      firstSends[index(slice)] = 0;
      furtherSends[index(slice)] = 0;
    }
  }

  private static int index(long slice) {
    return (int) Math.floorMod(slice, (long) SLICES + 1);
  }

  /** Of the newest slices. */
  private long sum(long[] counts, int slices) {
    long sum = 0;
    for (int i = 0; i < slices; i++) {
      sum += counts[index(slice - i)];
    }
    return sum;
  }
}
