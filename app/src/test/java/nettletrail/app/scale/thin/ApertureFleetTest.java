package nettletrail.app.scale.thin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettletrail.app.scale.thin.ThinCase.Choice;
import org.junit.jupiter.api.Test;

/** Real modules behind their apertures, at the plan's density: even load, nothing refused, and no slower than in turn over all. */
class ApertureFleetTest {
    private static ThinResult planned(Choice choice, int each, long seed) {
        return ThinFleet.play(ThinCase.planned(100, 1_500, choice, seed).arcs(each));
    }

    @Test
    void setsAreLoadedEvenlyAndAnswerSoonerThanTurnsOverAll() {
        ThinResult turns = planned(Choice.ROUND_ROBIN, 0, 1);
        for (long seed = 1; seed <= 2; seed++) {
            ThinResult sets = planned(Choice.MODULE, 8, seed);
            assertTrue(sets.zoneImbalance() <= 1.2, sets.toString());
            assertTrue(sets.refused() <= 0.01, sets.toString());
            assertEquals(0, sets.failed(), sets.toString());
            assertTrue(sets.meanMs() < turns.meanMs(), sets + " " + turns);
            assertEquals(120, sets.backendsPerDoor(), 1, sets.toString());
            assertTrue(sets.reuse() >= 0.9, sets.toString());
        }
    }
}
