package nettletrail.app.members;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import nettletrail.app.explore.Explorer;
import nettletrail.core.Members.Life;
import nettletrail.members.Change;
import nettletrail.members.MembersDecider;
import nettletrail.members.Message.Datagram;
import nettletrail.members.Statement;
import nettletrail.members.Statement.State;
import nettletrail.members.Terms;

/**
 * Three real {@link MembersDecider}s for five seconds: any of their datagrams is lost, comes late or twice, one door crashes or
 * is stopped for a second, at any time. Time goes in steps; within one all that is on its way comes, in the order in which it
 * was sent.
 *
 * <p>Bounds: {@link Bounds}.
 */
public final class DetectorWorld implements Explorer.World {
    /** Defects that are put in between the deciders, to see that they are found. */
    public enum Planted {
        NONE,
        /** Who refutes doesn't raise its incarnation. */
        REFUTED_WITHOUT_RAISING,
        /** An accusation counts though it was refuted. */
        OLD_ACCUSATION_COUNTS,
        /** Who was stopped doesn't notice. */
        PAUSE_UNSEEN
    }

    /**
     * What may happen.
     *
     * @param faults datagrams that are lost, late or repeated
     * @param crash whether n2 may crash
     * @param stop whether n2 may be stopped
     */
    public record Bounds(int faults, boolean crash, boolean stop) {
        /** Each by itself small enough to be gone through whole. */
        public static final List<Bounds> ALL = List.of(new Bounds(2, false, false), new Bounds(1, true, false),
                new Bounds(1, false, true));
    }

    private static final int DOORS = 3;
    private static final long MS = 1_000_000L;
    private static final long STEP_NS = 200 * MS;
    private static final int STEPS = 24;
    private static final int LATE_STEPS = 3;
    private static final int STOP_STEPS = 5;
    private static final long SETTLE_NS = 15_000 * MS;

    private record Sent(int from, int to, Datagram datagram, int dueStep) { }

    private final class Door implements MembersDecider.Actions {
        private final int number;
        private final MembersDecider decider;
        private boolean alive = true;
        private int stoppedUntil;
        private long wokeAt = Long.MIN_VALUE / 2;

        Door(int number, Terms terms) {
            this.number = number;
            Map<String, String> seeds = Map.of("n0", address(0), "n1", address(1), "n2", address(2));
            decider = new MembersDecider(terms, new Life("n" + number, 1), address(number), seeds, 5 + number, 0, this);
        }

        @Override
        public void send(String name, String address, Datagram datagram) {
            int to = name.charAt(1) - '0';
            Datagram sealed = planted == Planted.REFUTED_WITHOUT_RAISING ? lowered(datagram) : datagram;
            sent.add(new Sent(number, to, sealed, step + 1));
        }

        /** As if the incarnation of its own word had stayed. */
        private Datagram lowered(Datagram from) {
            return new Datagram(from.from(), from.toLife(), from.what(), lowered(from.statements()), from.rows());
        }

        private List<Statement> lowered(List<Statement> from) {
            return from.stream().map(each -> each.who().equals(decider.self()) && each.state() == State.ALIVE
                    ? new Statement(each.who(), 0, State.ALIVE, each.address(), each.cut(), "") : each).toList();
        }

        private List<Statement> known() {
            return planted == Planted.REFUTED_WITHOUT_RAISING ? lowered(decider.statements()) : decider.statements();
        }

        @Override
        public void sync(String name, String address) {
            Door other = doors.get(name.charAt(1) - '0');
            if (other.alive && other.stoppedUntil <= step && doors.size() == DOORS) {
                List<Statement> told = known();
                other.decider.synced(now, told, List.of());
                decider.synced(now, other.known(), List.of());
            }
        }

        @Override
        public void told(Change change) {
            boolean accuses = (change.kind() == Change.Kind.SUSPECT || change.kind() == Change.Kind.GONE)
                    && change.by().equals("n" + number);
            if (accuses && now - wokeAt < 2 * STEP_NS) {
                wrong = "n" + number + " was stopped and accuses " + change.who();
            }
            if (change.kind() == Change.Kind.GONE) {
                Door accused = doors.get(change.who().name().charAt(1) - '0');
                if (accused.alive && accused.wokeAt < 0 && accused.stoppedUntil == 0) {
                    wrong = accused.number + " lives, was never stopped, and is called gone by n" + number;
                }
            }
        }
    }

    private final Planted planted;
    private final Bounds bounds;
    private final List<Door> doors = new ArrayList<>();
    private List<Sent> sent = new ArrayList<>();
    private int step;
    private long now;
    private int faults;
    private boolean done;
    private String wrong;

    public DetectorWorld(Planted planted, Bounds bounds) {
        this.planted = planted;
        this.bounds = bounds;
        Terms usual = Terms.usual();
        Terms terms = new Terms(usual.periodNs(), usual.ackNs(), usual.tickNs(), usual.suspicion(), usual.helpers(),
                usual.syncNs(), usual.forgetNs(), usual.mostMembers(), usual.mostBytes(), planted != Planted.PAUSE_UNSEEN);
        for (int i = 0; i < DOORS; i++) {
            doors.add(new Door(i, terms));
        }
        for (int i = 0; i < 2 * STEPS; i++) {
            time();
        }
        step = 0;
        sent.replaceAll(each -> new Sent(each.from(), each.to(), each.datagram(), 1));
    }

    private static String address(int door) {
        return "127.0.0.1:" + (10_000 + door);
    }

    @Override
    public List<String> steps() {
        List<String> steps = new ArrayList<>();
        if (step >= STEPS) {
            return steps;
        }
        steps.add("time");
        for (int i = 0; i < sent.size() && faults < bounds.faults(); i++) {
            if (sent.get(i).dueStep() == step + 1) {
                steps.add("lose " + i);
                steps.add("late " + i);
                steps.add("repeat " + i);
            }
        }
        if (bounds.crash() && !done) {
            steps.add("crash");
        }
        if (bounds.stop() && !done) {
            steps.add("stop");
        }
        return steps;
    }

    @Override
    public void step(String what) {
        String[] words = what.split(" ");
        int which = words.length > 1 ? Integer.parseInt(words[1]) : -1;
        Sent datagram = which < 0 ? null : sent.get(which);
        faults += which < 0 ? 0 : 1;
        switch (words[0]) {
            case "time" -> time();
            case "lose" -> sent.remove(which);
            case "late" -> sent.set(which, new Sent(datagram.from(), datagram.to(), datagram.datagram(), step + LATE_STEPS));
            case "repeat" -> sent.add(new Sent(datagram.from(), datagram.to(), datagram.datagram(), step + LATE_STEPS));
            case "crash" -> {
                done = true;
                doors.get(2).alive = false;
            }
            case "stop" -> {
                done = true;
                doors.get(2).stoppedUntil = step + STOP_STEPS;
            }
            default -> throw new IllegalArgumentException(what);
        }
    }

    private void time() {
        step++;
        List<Sent> due = sent.stream().filter(each -> each.dueStep() <= step).toList();
        List<Sent> later = new ArrayList<>(sent.stream().filter(each -> each.dueStep() > step).toList());
        sent = later;
        for (Door each : doors) {
            if (each.alive && each.stoppedUntil == step) {
                each.wokeAt = now;
            }
        }
        for (Sent each : due) {
            Door to = doors.get(each.to());
            if (to.alive && to.stoppedUntil > step) {
                sent.add(new Sent(each.from(), each.to(), each.datagram(), to.stoppedUntil)); // it lies unread
            } else if (to.alive) {
                to.decider.received(now, planted == Planted.OLD_ACCUSATION_COUNTS ? raised(each.datagram()) : each.datagram());
            }
        }
        for (long until = now + STEP_NS; now < until; now += Terms.usual().tickNs()) {
            for (Door each : doors) {
                if (each.alive && each.stoppedUntil <= step) {
                    each.decider.tick(now);
                }
            }
        }
    }

    private static Datagram raised(Datagram from) {
        return new Datagram(from.from(), from.toLife(), from.what(), from.statements().stream()
                .map(each -> each.state() == State.SUSPECT ? new Statement(each.who(), each.incarnation() + 1, each.state(),
                        each.address(), each.cut(), each.by()) : each).toList(), from.rows());
    }

    @Override
    public String state() {
        StringBuilder text = new StringBuilder().append(step).append(' ').append(faults).append(done);
        for (Door each : doors) {
            text.append('\n').append(each.alive).append(each.stoppedUntil).append(each.decider.state(now));
        }
        sent.stream().map(Sent::toString).sorted().forEach(text::append);
        return text.toString();
    }

    @Override
    public String wrong() {
        for (Door one : doors) {
            for (Door other : doors) {
                Statement told = one.decider.of("n" + other.number);
                if (one.alive && other.alive && told != null && told.who().equals(other.decider.self())
                        && told.incarnation() > other.decider.statements().get(0).incarnation()) {
                    return "n" + one.number + " believes an incarnation of n" + other.number + " that there never was: " + told;
                }
            }
        }
        return wrong;
    }

    @Override
    public String wrongAtTheEnd() {
        long until = now + SETTLE_NS;
        while (now < until) {
            time();
        }
        for (Door one : doors) {
            for (Door other : doors) {
                Statement told = one.decider.of("n" + other.number);
                if (one.alive && one != other && (told == null || other.alive != (told.state() == State.ALIVE))) {
                    return "at the end n" + one.number + " believes " + told;
                }
            }
        }
        return wrong();
    }
}
