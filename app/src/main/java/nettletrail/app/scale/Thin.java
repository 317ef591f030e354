package nettletrail.app.scale;

import nettletrail.app.scale.thin.ThinCase;
import nettletrail.app.scale.thin.ThinFleet;
import nettletrail.app.scale.thin.ThinResult;
import nettletrail.decision.ApertureSettings;

/**
 * What thin traffic does, by another rig than the fleet's: real modules of all front doors in virtual time, at the plan's density
 * with a quarter of the backends told as restarted.
 */
public interface Thin {
    /**
     * Its figures.
     *
     * @param refused share of requests refused, 0 to 1
     * @param imbalance most over mean of sends, the worst of the zones
     * @param meanMs of the answers served
     * @param source what they came from, for people
     */
    record Figures(double refused, double imbalance, double meanMs, String source) { }

    /**
     * Runs it, on the calling thread.
     *
     * @param on whether the mechanism is on
     */
    Figures run(int doors, int backends, long seed, boolean on);

    /** Whole lists of more backends take minutes: then a smaller fleet of the same density is played, which the source names. */
    int MOST_WHOLE = 2_000;

    /** The modules themselves, for so many seconds of their time. */
    static Thin modules(int seconds) {
        return (doors, backends, seed, on) -> {
            ApertureSettings aperture = ApertureSettings.DEFAULT;
            int each = Math.max(aperture.minGatewaysPerBackend(), aperture.minBackends() * doors / backends);
            boolean sets = on && each < doors;
            int played = sets ? backends : Math.min(backends, MOST_WHOLE);
            int by = Math.max(1, (int) ((long) doors * played / backends));
            ThinCase play = ThinCase.planned(by, played, ThinCase.Choice.MODULE, seed).lasting(seconds);
            ThinResult told = ThinFleet.play(sets ? play.arcs(each) : play);
            return new Figures(told.refused(), told.zoneImbalance(), told.meanMs(), "virtual time, " + by + "/" + played
                    + ", " + seconds + " s, " + (sets ? each + " front doors a backend" : "whole lists"));
        };
    }
}
