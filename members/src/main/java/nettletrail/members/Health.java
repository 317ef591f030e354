package nettletrail.members;

/**
 * How far this member trusts itself: Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2017, IV.A), 0 to 8. One
 * up for a probe that failed with helpers that said nothing either, for an accusation of itself, and for a loop that is late;
 * one down for a probe that succeeded. Times between probes and for their answers are multiplied by 1 + it: who is late
 * itself accuses more slowly.
 *
 * <p>Beyond Lifeguard: a <b>pause</b> of its own (a gap between two events of more than half a probe's time, when a tick comes
 * every {@link Terms#tickNs()}) proves that it knows nothing of that time.
 */
final class Health {
    static final int MOST = 8;

    private final Terms terms;
    private long seenAt;
    private int score;

    Health(Terms terms, long now) {
        this.terms = terms;
        seenAt = now;
    }

    /** Something happens now; ns of a pause that just ended, 0 for none. */
    long seen(long now) {
        long gap = now - seenAt;
        seenAt = now;
        if (!terms.lifeguard()) {
            return 0;
        }
        if (gap > scaled(terms.periodNs()) / 2) {
            worse(1);
            return gap;
        }
        if (gap > LATE_TICKS * terms.tickNs()) {
            worse(1);
        }
        return 0;
    }

    /** A tick later than this says that the loop is late. */
    private static final int LATE_TICKS = 3;

    void worse(int by) {
        score = terms.lifeguard() ? Math.min(MOST, score + by) : 0;
    }

    void better() {
        score = Math.max(0, score - 1);
    }

    /** What failed has its reason in a cut that is over. */
    void explained() {
        score = 0;
    }

    /** A suspicion lasts up to three times as long for one that trusts itself little: many of its probes are lost. */
    long stretched(long ns) {
        return ns + ns * 2 * score / MOST;
    }

    int score() {
        return score;
    }

    long scaled(long ns) {
        return ns * (1 + score);
    }
}
