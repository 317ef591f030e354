package nettletrail.upstream;

import java.util.concurrent.TimeUnit;

/**
 * How long a kept connection may have stood idle and still be used, learned from those that broke at their next
 * request. A backend, or what lies on the way to it, may drop idle connections far sooner than the settings say and
 * without a word: the request written to one is lost, and one that must not run twice can't be sent again. Ages are
 * held against each other, as connections also break for reasons that have nothing to do with age, and those make no
 * age bad. It guards as well against address translators and balancers that forget a flow. It could do harm where a
 * fault strikes just the connections that happened to be old: they are then not used for some seconds, and each
 * request there pays for a new one.
 */
public final class IdleTimeoutEstimator {
    /** Ages by powers of two from this on; what is younger counts as one, what is older than the last as the last. */
    private static final long YOUNGEST_NS = TimeUnit.MILLISECONDS.toNanos(16);
    private static final int CLASSES = 12;
    /** Breaks that make an age bad: fewer may be chance. */
    private static final double LEAST_BREAKS = 2.5;
    /** A bad age breaks so many times as often as the younger ones, and at least so often. */
    private static final double TIMES_YOUNGER = 2;
    private static final double LEAST_RATE = 0.1;
    /** What was seen counts half after this time, so that an age once bad is tried again. */
    private static final double HALF_LIFE_NS = TimeUnit.SECONDS.toNanos(8);
    private static final long DECAY_NS = TimeUnit.SECONDS.toNanos(1);

    private final double[] uses = new double[CLASSES];
    private final double[] breaks = new double[CLASSES];
    private long decayedAt;

    /** @param now as {@link System#nanoTime} */
    public IdleTimeoutEstimator(long now) {
        decayedAt = now;
    }

    /** A connection that had stood idle for so long was used, and broke before a byte of the answer, or not. */
    public void recordUse(long idleNanos, boolean broken, long nowNanos) {
        decay(nowNanos);
        int at = classOf(idleNanos);
        uses[at]++;
        breaks[at] += broken ? 1 : 0;
    }

    /** Connections idle for longer are better not used. */
    public long maxIdleNanos(long nowNanos) {
        decay(nowNanos);
        double younger = uses[0];
        double brokeYounger = breaks[0];
        for (int at = 1; at < CLASSES; at++) {
            double usual = younger > 0 ? brokeYounger / younger : 0;
            if (breaks[at] >= LEAST_BREAKS && breaks[at] > Math.max(LEAST_RATE, TIMES_YOUNGER * usual) * uses[at]) {
                return YOUNGEST_NS << at - 1;
            }
            younger += uses[at];
            brokeYounger += breaks[at];
        }
        return Long.MAX_VALUE;
    }

    private static int classOf(long ageNs) {
        long times = Math.max(0, ageNs) / YOUNGEST_NS;
        return Math.min(CLASSES - 1, Long.SIZE - Long.numberOfLeadingZeros(times));
    }

    private void decay(long now) {
        if (now - decayedAt < DECAY_NS) {
            return;
        }
        double kept = Math.pow(0.5, (now - decayedAt) / HALF_LIFE_NS);
        decayedAt = now;
        for (int at = 0; at < CLASSES; at++) {
            uses[at] *= kept;
            breaks[at] *= kept;
        }
    }
}
