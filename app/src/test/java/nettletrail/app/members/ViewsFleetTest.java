package nettletrail.app.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import nettletrail.app.members.MembersFleet.Agreed;
import nettletrail.core.Membership.View;
import nettletrail.members.Terms;
import org.junit.jupiter.api.Test;

/** Views that members agree on, in virtual time: never two of one number, nothing agreed by a minority. */
class ViewsFleetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MS = 1_000_000L;
    private static final int SEEDS = 40;

    private static MembersFleet fleet(int doors, long seed) {
        MembersFleet fleet = new MembersFleet(doors, Terms.usual(), seed);
        assertTrue(fleet.untilAgreed(20 * SECOND) >= 0, "no view at the start, seed " + seed + ": " + fleet.agreed());
        fleet.run(SECOND);
        return fleet;
    }

    private static void sound(MembersFleet fleet, String where) {
        assertEquals(List.of(), fleet.contradictions(), where);
        Map<Long, View> byNumber = new HashMap<>();
        for (Agreed each : fleet.agreed()) {
            View known = byNumber.putIfAbsent(each.view().number(), each.view());
            assertTrue(known == null || known.equals(each.view()), where + ": " + known + " and " + each.view());
        }
    }

    @Test
    void whoIsKilledIsSurelyGoneByAllOthersWord() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            MembersFleet fleet = fleet(5, seed);
            fleet.kill(1);
            assertTrue(fleet.untilAgreed(20 * SECOND) >= 0, "seed " + seed);
            fleet.start(1);
            assertTrue(fleet.untilAgreed(20 * SECOND) >= 0, "seed " + seed);
            sound(fleet, "seed " + seed);
        }
    }

    @Test
    void aMinorityAgreesOnNothingAndComesBackInNewLives() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            MembersFleet fleet = fleet(5, seed);
            long before = fleet.views(0).view().number();
            fleet.links((from, to) -> from / 3 == to / 3);
            fleet.run(20 * SECOND);
            assertEquals(3, fleet.views(0).view().incarnations().size(), "seed " + seed);
            assertEquals(before, fleet.views(3).view().number(), "seed " + seed);
            assertEquals(before, fleet.views(4).view().number(), "seed " + seed);
            fleet.links((from, to) -> true);
            assertTrue(fleet.untilAgreed(15 * SECOND) >= 0, "seed " + seed);
            sound(fleet, "seed " + seed);
        }
    }

    @Test
    void allKilledAtOnceAreOneViewAgain() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            MembersFleet fleet = fleet(5, seed);
            for (int i = 0; i < 5; i++) {
                fleet.kill(i);
            }
            fleet.run(2 * SECOND);
            for (int i = 0; i < 5; i++) {
                fleet.start(i);
            }
            assertTrue(fleet.untilAgreed(15 * SECOND) >= 0, "seed " + seed);
            for (int i = 0; i < 4; i++) {
                fleet.kill(i);
            }
            fleet.run(7 * SECOND);
            assertEquals(5, fleet.views(4).view().incarnations().size(), "one of five agrees on nothing, seed " + seed);
            for (int i = 0; i < 4; i++) {
                fleet.start(i);
            }
            assertTrue(fleet.untilAgreed(15 * SECOND) >= 0, "four of five in new lives, seed " + seed);
            sound(fleet, "seed " + seed);
        }
    }

    @Test
    void whateverHappensThereAreNeverTwoViewsOfOneNumber() {
        for (long seed = 1; seed <= 4 * SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int doors = 3 + random.nextInt(4);
            MembersFleet fleet = fleet(doors, seed);
            for (int step = 0; step < 20; step++) {
                int door = random.nextInt(doors);
                switch (random.nextInt(7)) {
                    case 0 -> {
                        if (fleet.alive(door)) {
                            fleet.kill(door);
                        } else {
                            fleet.start(door);
                        }
                    }
                    case 1 -> fleet.stop(door, random.nextLong(8 * SECOND));
                    case 2 -> {
                        int part = random.nextInt(1 << doors);
                        fleet.links((from, to) -> (part >> from & 1) == (part >> to & 1));
                    }
                    case 3 -> {
                        long ways = random.nextLong();
                        fleet.links((from, to) -> (ways >> (from * doors + to) % 64 & 1) == 0);
                    }
                    case 4 -> fleet.links((from, to) -> true);
                    case 5 -> fleet.delay(random.nextLong(300 * MS), 1 + random.nextLong(300 * MS));
                    default -> fleet.loss(random.nextDouble() * 0.4);
                }
                fleet.run(random.nextLong(6 * SECOND));
                sound(fleet, "seed " + seed + ", step " + step);
            }
            fleet.links((from, to) -> true);
            fleet.loss(0);
            fleet.delay(MS, MS);
            for (int i = 0; i < doors; i++) {
                fleet.stop(i, 0);
                if (!fleet.alive(i)) {
                    fleet.start(i);
                }
            }
            assertTrue(fleet.untilAgreed(30 * SECOND) >= 0, "no one view at the end, seed " + seed + "\n" + fleet.state());
            assertTrue(fleet.untilOneView(30 * SECOND) >= 0, "no one view at the end, seed " + seed);
            sound(fleet, "seed " + seed);
        }
    }
}
