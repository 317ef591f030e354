package nettletrail.site;

/**
 * A store of units that fills at a rate up to a burst, full at first (a token bucket), as the rules on ceilings have it. It
 * may be drawn below nothing: how far is what an audit asks. Not for several threads at once.
 */
public final class FillingStore {
    private static final double SECOND = 1e9;

    private final double ratePerS;
    private final double burst;
    private double level;
    private long at;

    /** @param now ns of whatever clock it is told by from here on */
    public FillingStore(double ratePerS, double burst, long now) {
        this.ratePerS = ratePerS;
        this.burst = burst;
        level = burst;
        at = now;
    }

    private FillingStore(FillingStore other) {
        this(other.ratePerS, other.burst, other.at);
        level = other.level;
    }

    /** Another that holds as much now. */
    public FillingStore copy() {
        return new FillingStore(this);
    }

    /** Units in it; a time before the last one counts as that one. */
    public double level(long now) {
        level = Math.min(burst, level + Math.max(0, now - at) / SECOND * ratePerS);
        at = Math.max(at, now);
        return level;
    }

    /** Takes units out, whether they are there or not; what is left. */
    public double draw(long now, double units) {
        level = level(now) - units;
        return level;
    }
}
