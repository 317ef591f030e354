package nettletrail.core;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;

/**
 * Since when an event loop has been at what it does now, so that its own lateness is not taken for a backend's: an
 * answer that came while the loop was busy is read late. Made the loop's {@link SelectStrategy}, through which it hears
 * of each of its rounds; its choices are those of Netty's own. Used on that loop only. One that no loop was made with
 * knows of no lateness.
 *
 * <p>What it can't see: an answer that came while the process was stopped as a whole and the loop asleep. That looks
 * like a slow answer.
 */
public final class EventLoopClock implements SelectStrategy {
    /**
     * ns between listening and the first work after which the loop had slept, and what it then does has just come; or
     * this part of the round before, if that is more: what comes so soon after a long one was most likely there already.
     */
    private static final long MIN_SLEEP_NANOS = 200_000;
    private static final long MIN_SLEEP_DIVISOR = 10;

    private boolean installed;
    /** Whether nothing has been noted since it last listened. */
    private boolean workPending;
    private long selectStartedAt;
    private long workStartedAt;
    /** When the round before this one began its work, if that is known. */
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

    /** {@link System#nanoTime}. The first call in a round also notes when its work began. */
    long now() {
        long now = System.nanoTime();
        if (workPending) {
            workPending = false;
            workStartedAt = now;
        }
        return now;
    }

    /**
     * For how long at most, ns, what came may have lain unread: since the loop last slept or, on one that does not get to
     * sleep, since the round before this one began. 0 where no loop was made with this clock.
     */
    long maxUnreadNanos() {
        long now = now();
        if (!installed) {
            return 0;
        }
        return now - (hasSlept() ? workStartedAt : previousRoundKnown ? previousWorkStartedAt : selectStartedAt);
    }

    private boolean hasSlept() {
        long previousRoundNanos = previousRoundKnown ? selectStartedAt - previousWorkStartedAt : 0;
        return workStartedAt - selectStartedAt > Math.max(MIN_SLEEP_NANOS, previousRoundNanos / MIN_SLEEP_DIVISOR);
    }

    /**
     * When that came which is dealt with now, as far as can be told: all that came before the loop last slept has been
     * dealt with. What came while it was busy came at any time of that; the middle is told, half of that time off at most.
     *
     * @param since what it answers: it came after that
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
