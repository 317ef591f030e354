package nettletrail.app.members;

import java.util.EnumMap;
import java.util.Map;
import nettletrail.members.Change.Kind;
import nettletrail.members.Terms;

/** One play of one way of detecting failures: a door that is killed, and phases in which nobody is gone. */
public final class Detection {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000_000_000L;
    private static final long PHASE_NS = 20 * SECOND;
    private static final double LOSS = 0.2;
    private static final int LARGE = 100;

    /** The ways. */
    public enum Way {
        MEMBERS,
        /** The same without Lifeguard and what was added. */
        SWIM,
        /** Heartbeats to all, and a fixed time-out as long as the others' least time. */
        HEARTBEATS
    }

    /** In which nobody is gone: one is stopped for 2 s; datagrams are lost; all are late, at once; one's loop is late. */
    public enum Phase { STOPPED, LOSSY, DELAYED, LATE_LOOP }

    /** What came of it; false verdicts are counted by door and by who holds them. */
    public record Figures(double detectS, Map<Phase, Long> falseGone, double datagramsPerS) { }

    private Detection() { }

    /** Plays one seed. */
    public static Figures play(Way way, int doors, long seed) {
        return way == Way.HEARTBEATS ? heartbeats(doors, seed) : members(way, doors, seed);
    }

    private static Terms terms(Way way) {
        Terms usual = Terms.usual();
        return new Terms(usual.periodNs(), usual.ackNs(), usual.tickNs(), usual.suspicion(), usual.helpers(), usual.syncNs(),
                usual.forgetNs(), usual.mostMembers(), usual.mostBytes(), way == Way.MEMBERS);
    }

    private static MembersFleet fleet(Way way, int doors, long seed) {
        MembersFleet fleet = new MembersFleet(doors, terms(way), seed);
        fleet.untilOneView(60 * SECOND);
        fleet.run(2 * SECOND);
        fleet.heard().clear();
        return fleet;
    }

    private static long gone(MembersFleet fleet) {
        return fleet.heard().stream().filter(each -> each.change().kind() == Kind.GONE).count();
    }

    private static Figures members(Way way, int doors, long seed) {
        Map<Phase, Long> falseGone = new EnumMap<>(Phase.class);
        double datagrams = 0;
        for (Phase phase : Phase.values()) {
            // At 400 doors a play of each phase takes long: the first is enough to see the pace.
            if (doors > LARGE && phase != Phase.STOPPED && phase != Phase.LOSSY) {
                falseGone.put(phase, 0L);
                continue;
            }
            MembersFleet fleet = fleet(way, doors, seed);
            long before = fleet.datagrams();
            switch (phase) {
                case STOPPED -> fleet.stop(1, 2 * SECOND);
                case LOSSY -> fleet.loss(LOSS);
                case DELAYED -> fleet.delay(200 * MS, 200 * MS);
                case LATE_LOOP -> fleet.late(1, 300 * MS);
            }
            fleet.run(PHASE_NS);
            falseGone.put(phase, gone(fleet));
            datagrams = phase == Phase.STOPPED ? (fleet.datagrams() - before) * 1e9 / PHASE_NS / doors : datagrams;
        }
        MembersFleet fleet = fleet(way, doors, seed);
        fleet.kill(1);
        long begin = fleet.now();
        while (gone(fleet) < doors - 1 && fleet.now() - begin < 60 * SECOND) {
            fleet.run(50 * MS);
        }
        return new Figures((fleet.now() - begin) / MS / 1e3, falseGone, datagrams);
    }

    private static Figures heartbeats(int doors, long seed) {
        Terms usual = terms(Way.MEMBERS);
        long timeout = (long) (usual.suspicion() * usual.periodNs() * Math.max(1, Math.log10(doors + 1))) + usual.periodNs();
        Map<Phase, Long> falseGone = new EnumMap<>(Phase.class);
        double datagrams = 0;
        for (Phase phase : Phase.values()) {
            HeartbeatFleet fleet = new HeartbeatFleet(doors, usual.periodNs(), timeout, seed);
            fleet.run(2 * SECOND);
            long before = fleet.datagrams();
            switch (phase) {
                case STOPPED -> fleet.stop(1, 2 * SECOND);
                case LOSSY -> fleet.loss(LOSS);
                case DELAYED -> fleet.delay(200 * MS, 200 * MS);
                case LATE_LOOP -> { } // beats go out all the same, if late
            }
            fleet.run(PHASE_NS);
            falseGone.put(phase, fleet.goneTold());
            datagrams = (fleet.datagrams() - before) * 1e9 / PHASE_NS / doors;
        }
        HeartbeatFleet fleet = new HeartbeatFleet(doors, usual.periodNs(), timeout, seed);
        fleet.run(3 * SECOND);
        fleet.kill(1);
        return new Figures(fleet.untilGone(1, 60 * SECOND) / MS / 1e3, falseGone, datagrams);
    }
}
