package nettletrail.app.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BiPredicate;
import nettletrail.members.Change.Kind;
import nettletrail.members.Row;
import nettletrail.members.Statement.State;
import nettletrail.members.Terms;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The real deciders in virtual time: what each hard case must not do, over many seeds. */
class MembersFleetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MS = 1_000_000L;
    private static final int SEEDS = 40;
    private static final List<Kind> VERDICTS = List.of(Kind.GONE, Kind.BACK, Kind.CUT, Kind.HEALED);

    private static MembersFleet fleet(int doors, long seed) {
        MembersFleet fleet = new MembersFleet(doors, Terms.usual(), seed);
        assertTrue(fleet.untilOneView(20 * SECOND) >= 0, "no one view at the start, seed " + seed);
        fleet.run(3 * SECOND);
        fleet.heard().clear();
        return fleet;
    }

    private static long count(MembersFleet fleet, Kind kind) {
        return fleet.heard().stream().filter(each -> each.change().kind() == kind).count();
    }

    private static void each(int doors, java.util.function.BiConsumer<MembersFleet, Long> play) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            play.accept(fleet(doors, seed), seed);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5, 40})
    void oneIsKilledAndNobodyElseIsAccused(int doors) {
        each(doors, (fleet, seed) -> {
            fleet.kill(1);
            long took = fleet.untilOneView(30 * SECOND);
            assertTrue(took >= 0, "seed " + seed);
            fleet.run(5 * SECOND);
            assertTrue(fleet.heard().stream().allMatch(each -> each.change().who().name().equals("n1")
                    || each.change().kind() == Kind.ACCUSED), "seed " + seed + ": " + fleet.heard() + fleet.agreed());
            assertEquals(0, count(fleet, Kind.BACK), "seed " + seed);
        });
    }

    @Test
    void aStopOfLessThanTheBoundIsNoDeathAndWakingAccusesNobody() {
        for (long stop : List.of(500 * MS, 2_000 * MS)) {
            each(5, (fleet, seed) -> {
                fleet.stop(2, stop);
                fleet.run(stop + 10 * SECOND);
                assertEquals(0, count(fleet, Kind.GONE), "seed " + seed + ", stopped for " + stop + ": " + fleet.heard());
                assertTrue(fleet.heard().stream().noneMatch(each -> each.change().kind() == Kind.SUSPECT
                        && each.change().by().equals("n2")), "seed " + seed + ": " + fleet.heard());
                assertTrue(fleet.oneView());
            });
        }
    }

    @Test
    void aLongStopIsCalledGoneAndComesBackOnceAndAccusesNobody() {
        for (long stop : List.of(5 * SECOND, 20 * SECOND)) {
            each(5, (fleet, seed) -> {
                fleet.stop(2, stop);
                fleet.run(stop);
                assertEquals(4, count(fleet, Kind.GONE), "seed " + seed);
                assertTrue(fleet.untilOneView(10 * SECOND) >= 0, "seed " + seed);
                fleet.run(5 * SECOND);
                assertEquals(4, count(fleet, Kind.GONE), "seed " + seed + ": " + fleet.heard());
                // In a new life, as the others have agreed to do without the old one; in between it may have refuted.
                assertEquals(4, count(fleet, Kind.JOINED), "seed " + seed + ": " + fleet.heard());
                assertTrue(count(fleet, Kind.BACK) <= 4, "seed " + seed + ": " + fleet.heard());
                assertTrue(fleet.heard().stream().allMatch(each -> !each.change().by().equals("n2")), "seed " + seed);
            });
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.2, 0.3})
    void lostDatagramsKillNobody(double loss) {
        each(5, (fleet, seed) -> {
            fleet.loss(loss);
            fleet.run(60 * SECOND);
            assertEquals(0, count(fleet, Kind.GONE), "seed " + seed);
        });
    }

    @Test
    void aNetworkThatIsLateAtOnceKillsNobody() {
        each(5, (fleet, seed) -> {
            fleet.delay(200 * MS, 200 * MS);
            fleet.run(60 * SECOND);
            assertEquals(0, count(fleet, Kind.GONE), "seed " + seed);
        });
    }

    @Test
    void aPartitionHealsToOneView() {
        each(5, (fleet, seed) -> {
            fleet.links((from, to) -> from / 3 == to / 3);
            fleet.run(20 * SECOND);
            for (int i = 0; i < 5; i++) {
                for (int j = 0; j < 5; j++) {
                    if (i != j) {
                        assertEquals(i / 3 == j / 3 ? State.ALIVE : State.GONE, fleet.believes(i, j), "seed " + seed);
                    }
                }
            }
            fleet.links((from, to) -> true);
            assertTrue(fleet.untilOneView(10 * SECOND) >= 0, "seed " + seed);
        });
    }

    private record Cut(String name, BiPredicate<Integer, Integer> works, State ofZero) { }

    @Test
    void oneWayCutsSettleInOneVerdictAndHeal() {
        for (Cut cut : List.of(new Cut("0 not to 1", (from, to) -> !(from == 0 && to == 1), State.ALIVE),
                new Cut("0 hears nobody", (from, to) -> to != 0, State.ALIVE),
                new Cut("nobody hears 0", (from, to) -> from != 0, State.GONE),
                new Cut("not between 0 and 1", (from, to) -> from + to != 1, State.ALIVE),
                new Cut("each hears its left", (from, to) -> to == (from + 1) % 5, State.ALIVE))) {
            each(5, (fleet, seed) -> {
                fleet.links(cut.works());
                fleet.run(8 * SECOND);
                fleet.heard().clear();
                fleet.run(12 * SECOND);
                String where = cut.name() + ", seed " + seed;
                assertTrue(fleet.heard().stream().noneMatch(each -> VERDICTS.contains(each.change().kind())), where + ": "
                        + fleet.heard());
                for (int i = 1; i < 5; i++) {
                    assertEquals(cut.ofZero(), fleet.believes(i, 0), where + ", by " + i);
                    for (int j = 1; j < 5; j++) {
                        assertTrue(i == j || fleet.believes(i, j) == State.ALIVE, where + ": " + j + " by " + i);
                    }
                }
                fleet.links((from, to) -> true);
                assertTrue(fleet.untilOneView(10 * SECOND) >= 0, where);
            });
        }
    }

    @Test
    void whoHearsNobodySaysSoOfItself() {
        each(5, (fleet, seed) -> {
            fleet.links((from, to) -> to != 0);
            fleet.run(8 * SECOND);
            assertTrue(fleet.decider(0).cut(), "seed " + seed);
            assertTrue(fleet.decider(2).of("n0").cut(), "seed " + seed);
            assertTrue(fleet.decider(2).rows().stream().anyMatch(row -> row.links().contains(new Row.Link("n0", true, false))),
                    "seed " + seed + ": " + fleet.decider(2).rows());
        });
    }

    @Test
    void whoseLoopIsLateDoubtsItselfAndAccusesNobody() {
        each(5, (fleet, seed) -> {
            fleet.late(3, 300 * MS);
            fleet.run(30 * SECOND);
            assertTrue(fleet.decider(3).health() >= 4, "seed " + seed + ": " + fleet.decider(3).health());
            assertEquals(0, count(fleet, Kind.GONE), "seed " + seed);
            assertTrue(fleet.heard().stream().noneMatch(each -> each.change().by().equals("n3")), "seed " + seed);
        });
    }

    @Test
    void restartsOneByOneAndAllAtOnceEndInOneView() {
        each(5, (fleet, seed) -> {
            for (int i = 1; i < 5; i++) {
                fleet.kill(i);
                fleet.run(700 * MS);
                fleet.start(i);
                assertTrue(fleet.untilOneView(10 * SECOND) >= 0, "door " + i + ", seed " + seed);
            }
            for (int i = 0; i < 5; i++) {
                fleet.kill(i);
            }
            fleet.run(SECOND);
            for (int i = 0; i < 5; i++) {
                fleet.start(i);
            }
            assertTrue(fleet.untilOneView(10 * SECOND) >= 0, "all, seed " + seed);
        });
    }

    @Test
    void whoLeavesIsNotSuspected() {
        each(5, (fleet, seed) -> {
            fleet.leave(4);
            fleet.run(SECOND);
            fleet.kill(4);
            fleet.run(10 * SECOND);
            assertEquals(0, count(fleet, Kind.SUSPECT), "seed " + seed);
            assertEquals(4, count(fleet, Kind.LEFT), "seed " + seed);
        });
    }
}
