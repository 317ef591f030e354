package nettletrail.core;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;

/**
 * Measures how late an event loop reads its input, so that the loop's own delay is not counted as a
 * backend's: a response that arrives while the loop is busy is read late. It is installed as the
 * loop's {@link SelectStrategy}, which is called once a round, and selects as Netty's default does.
 * Used on that loop only. A clock that is not installed in a loop reports no delay.
 *
 * <p>Limit: a response that arrives while the whole process is stopped and the loop is asleep looks
 * like a slow response.
 */
public final class EventLoopClock implements SelectStrategy {
  /**
   * The loop counts as having slept, and its input as just arrived, if at least this time in ns
   * passes between select and the first work, or the previous round's length divided by {@link
   * #MIN_SLEEP_DIVISOR} if that is longer: input that is found so soon after a long round was most
   * likely there already.
   */
  private static final long MIN_SLEEP_NANOS = 200_000;

  private static final long MIN_SLEEP_DIVISOR = 10;

  private boolean installed;

  /** Whether no work has been timed since the last select. */
  private boolean workPending;

  private long selectStartedAt;
  private long workStartedAt;

  /** When the previous round began its work; valid if {@link #previousRoundKnown}. */
  private long previousWorkStartedAt;

  private boolean previousRoundKnown;

  @Override
  public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
    installed = true;
    previousRoundKnown = !workPending;
    previousWorkStartedAt = workStartedAt;
    selectStartedAt = System.nanoTime();
    workPending = true;
    return hasTasks ? selectNow.get() : SelectStrategy.SELECT;
  }

  /** {@link System#nanoTime}. The first call in a round also records when its work began. */
  long now() {
    long now = System.nanoTime();
    if (workPending) {
      workPending = false;
      workStartedAt = now;
    }
    return now;
  }

  /**
   * Upper bound in ns on the time that input may have been waiting unread: since the loop last
   * slept or, on a loop that does not get to sleep, since the previous round began. 0 if the clock
   * is not installed in a loop.
   */
  long maxUnreadNanos() {
    long now = now();
    if (!installed) {
      return 0;
    }
    return now
        - (hasSlept()
            ? workStartedAt
            : previousRoundKnown ? previousWorkStartedAt : selectStartedAt);
  }

  private boolean hasSlept() {
    long previousRoundNanos = previousRoundKnown ? selectStartedAt - previousWorkStartedAt : 0;
    return workStartedAt - selectStartedAt
        > Math.max(MIN_SLEEP_NANOS, previousRoundNanos / MIN_SLEEP_DIVISOR);
  }

  /**
   * Estimates when the input that is processed now arrived. Everything that came before the loop
   * last slept has been processed. Input that came while the loop was busy may have come at any
   * time of that; the middle is returned, which is wrong by at most half of it.
   *
   * @param since when the request was sent: the input came after that
   * @return between since and now, as {@link System#nanoTime}
   */
  long arrivedAt(long since) {
    long now = now();
    if (!installed) {
      return now;
    }
    long estimate;
    if (hasSlept()) {
      estimate = workStartedAt;
    } else if (previousRoundKnown) {
      long from = Math.max(previousWorkStartedAt - since, 0) + since;
      estimate = from + (selectStartedAt - from) / 2;
    } else {
      estimate = selectStartedAt;
    }
    return estimate - since > 0 ? Math.min(estimate - since, now - since) + since : now;
  }
}
