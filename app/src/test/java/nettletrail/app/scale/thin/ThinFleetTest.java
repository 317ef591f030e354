package nettletrail.app.scale.thin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettletrail.app.scale.thin.ThinCase.Choice;
import org.junit.jupiter.api.Test;

/** What the module makes of thin traffic: many doors, each of which sends to a backend once in many seconds. */
class ThinFleetTest {
    private static ThinResult planned(int doors, int backends, int each) {
        return ThinFleet.play(ThinCase.planned(doors, backends, Choice.MODULE, 1).arcs(each));
    }

    /** 0.079 of all were refused by bounds cut to the mean in flight, with 0.4 of the capacity free. */
    @Test
    void whereCapacityIsFreeNothingIsTurnedAway() {
        ThinResult all = planned(100, 200, 0);
        assertTrue(all.refused() <= 0.01, all.toString());
        assertEquals(0, all.failed(), all.toString());
        ThinResult more = planned(480, 200, 0);
        assertTrue(more.refused() <= 0.01, more.toString());
    }

    /** A door with a set of its own uses all of it evenly; favourites got half as much again as others. */
    @Test
    void doorsWithSetsOfTheirOwnSpreadEvenly() {
        for (int backends : new int[] {200, 1_500}) {
            ThinResult sets = planned(100, backends, 8);
            assertTrue(sets.refused() <= 0.01, sets.toString());
            assertTrue(sets.imbalance() <= 1.2, sets.toString());
            assertTrue(sets.zoneImbalance() <= 1.2, sets.toString());
            assertTrue(sets.reuse() >= 0.9, sets.toString());
            ThinResult turns = ThinFleet.play(ThinCase.planned(100, backends, Choice.ROUND_ROBIN, 1));
            assertTrue(sets.meanMs() <= turns.meanMs(), sets + " against " + turns);
        }
    }

    /** Beyond the capacity much is refused, most of what is served comes in its aim, and almost none fails. */
    @Test
    void overloadIsStillRefusedEarly() {
        for (int each : new int[] {0, 8}) {
            ThinResult over = ThinFleet.play(new ThinCase(100, 200, 1, 0, 150, 1.2, 45, 0, false, Choice.MODULE, each, 1));
            assertTrue(over.refused() >= 0.2, over.toString());
            assertTrue(over.refusedAtOnce() >= 0.1, over.toString());
            assertTrue(over.inAim() >= 0.6, over.toString());
            assertTrue(over.failed() <= 0.001, over.toString());
        }
    }

    /** Backends that are cold in fact, after a second of refused connects: none fails for it that could be sent again. */
    @Test
    void coldBackendsAreSpared() {
        ThinResult cold = ThinFleet.play(ThinCase.planned(100, 200, Choice.MODULE, 1).arcs(8).cold(true));
        assertTrue(cold.refused() + cold.failed() <= 0.01, cold.toString());
        ThinResult turns = ThinFleet.play(ThinCase.planned(100, 200, Choice.ROUND_ROBIN, 1).cold(true));
        assertTrue(cold.meanMs() < turns.meanMs(), cold + " against " + turns);
    }

    @Test
    void theSameCaseGivesTheSamePlay() {
        ThinCase play = ThinCase.planned(20, 40, Choice.MODULE, 3).lasting(15);
        ThinResult one = ThinFleet.play(play);
        ThinResult two = ThinFleet.play(play);
        assertEquals(one.asked(), two.asked());
        assertEquals(one.meanMs(), two.meanMs());
        assertEquals(one.imbalance(), two.imbalance());
    }

    @Test
    void theCostOfTheModuleIsMeasured() {
        ModuleCost.Cost cost = ModuleCost.measure(4, 60, 62.5, 500, 1);
        assertEquals(60, cost.backends());
        assertTrue(cost.usPerRequest() > 0 && cost.usPerRequest() < 1_000, cost.toString());
        assertTrue(cost.usPerList() > cost.usPerChange(), cost.toString());
    }
}
