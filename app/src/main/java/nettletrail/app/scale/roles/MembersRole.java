package nettletrail.app.scale.roles;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.app.members.MembersFleet;
import nettletrail.core.Membership.MemberIncarnation;
import nettletrail.core.Membership.View;
import nettletrail.emulator.capacity.Gauge;
import nettletrail.emulator.capacity.Rounded;
import nettletrail.members.Change;
import nettletrail.members.MembersDecider;
import nettletrail.members.Message.Datagram;
import nettletrail.members.Seen;
import nettletrail.members.Statement;
import nettletrail.members.Terms;
import nettletrail.members.ViewDecider;

/** The members of a fleet of so many doors: calm, after deaths at once, and after a region was cut off and came back. */
final class MembersRole {
    static final int PLANNED = 480;
    private static final long SECOND = 1_000_000_000L;
    private static final double PERCENT = 100;
    private static final double KILLED = 0.02;
    private static final long CUT_S = 60;
    /** Calm is over, and begins again, at so many times the calm bytes. */
    private static final double PEAK = 2;
    private static final long MOST_START_S = 90;
    private static final int STATE_COPIES = 12;
    /** Work in virtual time grows with the doors squared at least: each knows of each. */
    private static final double GROWTH = 2.1;

    private final Gauge gauge;
    private final long seed;
    private final boolean shortForm;
    private final int calmS;
    /** After an agreed view, until all that was said at the start is told to all. */
    private final int settleS;

    MembersRole(Gauge gauge, long seed, boolean shortForm) {
        this.gauge = gauge;
        this.seed = seed;
        this.shortForm = shortForm;
        calmS = shortForm ? 2 : 20;
        settleS = shortForm ? 2 : 12;
    }

    /** Until classes are compiled: the first size would cost more than it does. */
    void warm() {
        MembersFleet fleet = new MembersFleet(24, Terms.usual(), seed);
        fleet.traffic(new MembersTraffic(fleet, 1));
        fleet.run((shortForm ? 2 : 60) * SECOND);
    }

    /** What one size showed; events that there was no time for are absent. */
    Map<String, Object> size(int doors) {
        long startedAt = System.nanoTime();
        Map<String, Object> told = new LinkedHashMap<>();
        told.put("doors", doors);
        told.put("doors_squared", (long) doors * doors);
        MembersFleet fleet = new MembersFleet(doors, Terms.usual(), seed);
        MembersTraffic begin = new MembersTraffic(fleet, (int) MOST_START_S);
        fleet.traffic(begin);
        long agreedAfter = fleet.untilAgreed(MOST_START_S * SECOND);
        told.put("start_agreed_s", Rounded.of(agreedAfter < 0 ? Double.NaN : agreedAfter / (double) SECOND));
        told.put("start_peak_bytes_per_s", Rounded.of(max(begin.bySecond) / doors));
        if (agreedAfter < 0) {
            told.put("start_without_a_view_after_s", MOST_START_S);
        }
        fleet.run(settleS * SECOND);
        double calm = calm(fleet, told);
        told.put("state_bytes", Rounded.of(state(doors)));
        double calmWall = (System.nanoTime() - startedAt) / (double) SECOND;
        if (gauge.leftS() > calmWall * 2) {
            killed(fleet, calm, told);
        }
        return told;
    }

    private double calm(MembersFleet fleet, Map<String, Object> told) {
        MembersTraffic traffic = new MembersTraffic(fleet, calmS);
        fleet.traffic(traffic);
        long cpu = Gauge.cpuNs();
        fleet.run(calmS * SECOND);
        double ns = Gauge.cpuNs() - cpu - traffic.countingNs;
        double doorSeconds = fleet.doors() * (double) calmS;
        told.put("bytes_per_s", Rounded.of(traffic.bytes() / doorSeconds));
        told.put("bytes_per_s_p99", Rounded.of(Gauge.quantile(traffic.byDoor.clone(), 0.99) / calmS));
        told.put("datagram_bytes_per_s", Rounded.of(traffic.datagramBytes / doorSeconds));
        told.put("sync_bytes_per_s", Rounded.of(traffic.syncBytes / doorSeconds));
        told.put("datagrams_per_s", Rounded.of(traffic.datagrams / doorSeconds));
        told.put("cpu_pct", Rounded.of(PERCENT * ns / SECOND / doorSeconds));
        told.put("encoding_cpu_pct", Rounded.of(PERCENT * traffic.countingNs / SECOND / doorSeconds));
        return traffic.bytes() / doorSeconds;
    }

    private void killed(MembersFleet fleet, double calm, Map<String, Object> told) {
        int doors = fleet.doors();
        int dead = Math.max(1, (int) Math.round(doors * KILLED));
        MembersTraffic traffic = new MembersTraffic(fleet, 30);
        fleet.traffic(traffic);
        int before = fleet.agreed().size();
        long at = fleet.now();
        // Not those that propose first: theirs is the case of its own that the members' tests hold.
        for (int i = 0; i < dead; i++) {
            fleet.kill(doors - 1 - i);
        }
        long took = fleet.untilAgreed(30 * SECOND);
        fleet.run(Math.max(0, 25 * SECOND - Math.max(took, 0)));
        told.put("killed", dead);
        told.put("killed_agreed_s", Rounded.of(took < 0 ? Double.NaN : took / (double) SECOND));
        double[] last = lastViews(fleet, before, at);
        told.put("killed_view_p50_s", Rounded.of(Gauge.quantile(last, 0.5)));
        told.put("killed_view_p99_s", Rounded.of(Gauge.quantile(last, 0.99)));
        told.put("killed_view_max_s", Rounded.of(Gauge.quantile(last, 1)));
        long views = fleet.agreed().subList(before, fleet.agreed().size()).stream().map(each -> each.view().number())
                .distinct().count();
        told.put("killed_views", views);
        told.put("agree_messages", traffic.agrees);
        told.put("agree_messages_per_view", Rounded.of(traffic.agrees / (double) Math.max(1, views)));
        told.put("agree_bytes_per_view", Rounded.of(traffic.agreeBytes / Math.max(1, views)));
        told.put("killed_proposer_bytes", Rounded.of(max(traffic.byDoor)));
        peak("killed", traffic, doors - dead, calm, told);
    }

    /** Half of the doors are cut off from the others, and come back. Begins a fleet of its own. */
    Map<String, Object> region(int doors) {
        Map<String, Object> told = new LinkedHashMap<>();
        told.put("doors", doors);
        told.put("doors_squared", (long) doors * doors);
        MembersFleet fleet = new MembersFleet(doors, Terms.usual(), seed + 1);
        if (fleet.untilAgreed(MOST_START_S * SECOND) < 0) {
            told.put("start_without_a_view_after_s", MOST_START_S);
            return told;
        }
        fleet.run(settleS * SECOND);
        MembersTraffic calm = new MembersTraffic(fleet, calmS);
        fleet.traffic(calm);
        fleet.run(calmS * SECOND);
        double calmBytes = calm.bytes() / doors / calmS;
        MembersTraffic cut = new MembersTraffic(fleet, (int) CUT_S);
        fleet.traffic(cut);
        fleet.links((from, to) -> from % 2 == to % 2);
        fleet.run(CUT_S * SECOND);
        peak("cut", cut, doors, calmBytes, told);
        told.put("cut_agree_bytes_per_s", Rounded.of(cut.agreeBytes / doors / CUT_S));
        MembersTraffic back = new MembersTraffic(fleet, 120);
        fleet.traffic(back);
        fleet.links((from, to) -> true);
        long oneView = fleet.untilOneView(60 * SECOND);
        long agreed = oneView < 0 ? -1 : fleet.untilAgreed(60 * SECOND);
        told.put("back_one_view_s", Rounded.of(oneView < 0 ? Double.NaN : oneView / (double) SECOND));
        told.put("back_agreed_s", Rounded.of(agreed < 0 ? Double.NaN : (oneView + agreed) / (double) SECOND));
        fleet.run(10 * SECOND);
        peak("back", back, doors, calmBytes, told);
        return told;
    }

    private static void peak(String what, MembersTraffic traffic, int doors, double calm, Map<String, Object> told) {
        double most = 0;
        int length = 0;
        for (double each : traffic.bySecond) {
            most = Math.max(most, each / doors);
            length += each / doors > PEAK * calm ? 1 : 0;
        }
        told.put(what + "_peak_bytes_per_s", Rounded.of(most));
        told.put(what + "_peak_s", length);
        told.put(what + "_agree_peak_share", Rounded.of(traffic.bytes() == 0 ? 0 : traffic.agreeBytes / traffic.bytes()));
        told.put(what + "_worst_door_bytes", Rounded.of(max(traffic.byDoor)));
    }

    /** For each door that lives, s until it learned the view of the highest number. */
    private static double[] lastViews(MembersFleet fleet, int before, long at) {
        List<MembersFleet.Agreed> since = fleet.agreed().subList(before, fleet.agreed().size());
        long highest = since.stream().mapToLong(each -> each.view().number()).max().orElse(-1);
        return since.stream().filter(each -> each.view().number() == highest)
                .mapToDouble(each -> (each.at() - at) / (double) SECOND).toArray();
    }

    private static double max(double[] values) {
        double most = 0;
        for (double each : values) {
            most = Math.max(most, each);
        }
        return most;
    }

    /** Bytes that one door keeps of so many: deciders that were told of all, by words of their own as the wire has them. */
    private double state(int doors) {
        long kept = Gauge.keptBytes(() -> {
            List<Object> all = new ArrayList<>();
            for (int copy = 0; copy < STATE_COPIES; copy++) {
                MembersDecider decider = new MembersDecider(Terms.usual(), new MemberIncarnation("n0", 1),
                        "127.0.0.1:10000", Map.of(),
                        seed, 0, new Silent());
                List<Statement> statements = new ArrayList<>();
                List<MemberIncarnation> lives = new ArrayList<>();
                for (int i = 1; i < doors; i++) {
                    statements.add(new Statement(new MemberIncarnation(new String("n" + i), i + 1), 0,
                            Statement.State.ALIVE,
                            new String("127.0.0.1:" + (10_000 + i)), false, ""));
                    lives.add(new MemberIncarnation(new String("n" + i), i + 1));
                }
                decider.synced(1, statements, List.of());
                ViewDecider views = new ViewDecider(decider.self(), doors, new Seen(decider, Terms.usual(), () -> 1), seed,
                        new Silent());
                views.learn(new View(1, lives));
                all.add(List.of(decider, views));
            }
            return all;
        });
        return kept / (double) STATE_COPIES;
    }

    /** Whether there is time for a size, by how long another took. */
    boolean fits(int doors, int before, double tookS) {
        return gauge.leftS() > tookS * Math.pow(doors / (double) before, GROWTH);
    }

    private static final class Silent implements MembersDecider.Actions, ViewDecider.Actions {
        @Override
        public void send(String name, String address, Datagram datagram) { }

        @Override
        public void sync(String name, String address) { }

        @Override
        public void told(Change change) { }

        @Override
        public void say(MemberIncarnation to, nettletrail.members.Agree what) { }

        @Override
        public void decided(View view, List<MemberIncarnation> gone, boolean in) { }

        @Override
        public void expelled() { }

        @Override
        public void contradiction(View one, View other) { }
    }
}
