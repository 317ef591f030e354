package nettletrail.app.members;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import nettletrail.app.explore.Explorer;
import nettletrail.core.Members.Life;
import nettletrail.core.Members.View;
import nettletrail.members.Agree;
import nettletrail.members.Sight;
import nettletrail.members.ViewDecider;

/**
 * Three real {@link ViewDecider}s and all that may happen between them: any message is delivered at any time, or twice, or
 * never; what a door sees of another changes at any time; one crashes, and starts again with nothing in memory.
 *
 * <p>Bounds: {@link Bounds}. What can't come any more, as its receiver lives no longer, is dropped.
 */
public final class ViewWorld implements Explorer.World {
    /** Defects that are put in between the deciders, to see that they are found. */
    public enum Planted {
        NONE,
        /** A proposer goes on as if all had answered. */
        NO_MAJORITY,
        /** An acceptor takes whatever ballot comes. */
        BALLOTS_NOT_COMPARED,
        /** A proposer doesn't look at what was accepted before. */
        ACCEPTED_IGNORED,
        /** Who starts again goes by its old life, and answers from nothing. */
        REBORN_ANSWERS
    }

    private static final int DOORS = 3;
    private static final long TICK_NS = 20_000_000_000L;
    private static final long TURN_NS = 2_000_000_000L;

    private record Sent(int from, Life fromLife, int to, Life toLife, Agree what) { }

    private final class Door implements ViewDecider.Actions, Sight {
        private final int number;
        private final boolean[] sees = new boolean[DOORS];
        private Life life;
        private ViewDecider decider;
        private boolean alive = true;
        private int ticks;
        private long now;
        private boolean in;

        Door(int number) {
            this.number = number;
            java.util.Arrays.fill(sees, true);
        }

        void start(long lifeNumber, boolean formed) {
            life = new Life("n" + number, lifeNumber);
            decider = new ViewDecider(life, DOORS, this, 1, this);
            in = false;
            if (formed) {
                decider.learn(FIRST);
            }
        }

        @Override
        public void say(Life to, Agree what) {
            int target = to.name().charAt(1) - '0';
            sent.add(new Sent(number, life, target, to, what));
            if (planted == Planted.NO_MAJORITY && what instanceof Agree.Prepare prepare) {
                sent.add(new Sent(target, to, number, life, new Agree.Promise(prepare.after(), prepare.ballot(), null, null)));
            } else if (planted == Planted.NO_MAJORITY && what instanceof Agree.Accept accept) {
                sent.add(new Sent(target, to, number, life, new Agree.Accepted(accept.after(), accept.ballot())));
            }
        }

        @Override
        public void decided(View view, List<Life> gone, boolean holds) {
            in = holds;
            View known = decided.putIfAbsent(view.number(), view);
            if (known != null && !known.equals(view)) {
                wrong = "two views of number " + view.number() + ": " + known + ", " + view;
            }
        }

        @Override
        public void expelled() {
            life = new Life(life.name(), life.number() + 1);
            decider.renewed(life);
        }

        @Override
        public void contradiction(View one, View other) {
            wrong = "contradiction: " + one + ", " + other;
        }

        @Override
        public List<Life> there(long atLeastNs) {
            List<Life> there = new ArrayList<>();
            for (Door each : doors) {
                if (each == this || sees[each.number]) {
                    there.add(each.life);
                }
            }
            return there;
        }

        @Override
        public boolean gone(Life who, long atLeastNs) {
            int of = who.name().charAt(1) - '0';
            return of != number && (!sees[of] || doors.get(of).life.number() > who.number());
        }

        @Override
        public boolean well(Life who) {
            return false; // the strictest: nobody's wish keeps a life in
        }

        @Override
        public List<String> names() {
            return List.of("n0", "n1", "n2");
        }
    }

    /**
     * What may happen, beside any order of deliveries and losses.
     *
     * @param formed whether they begin in one view, or each with nothing
     * @param gone who sees whom gone at the begin, as "01 10"
     * @param ticks times that each door may propose, or give up a proposal
     * @param sights changes of what a door sees
     * @param repeats messages that come twice
     * @param first steps that have been taken at the begin, with commas between
     * @param crashes the door that may crash once, and start again; below 0 for none
     */
    public record Bounds(boolean formed, String gone, List<Integer> ticks, int sights, int repeats, String first,
            int crashes) {
        /** Each by itself small enough to be gone through whole; together they cover what a fault can do. */
        public static final List<Bounds> ALL = List.of(new Bounds(true, "01 10", List.of(1, 1, 0), 0, 0, "", -1),
                new Bounds(true, "01 10", List.of(1, 1, 0), 0, 1, "", -1), new Bounds(true, "01 10", List.of(2, 1, 0), 0, 0, "", -1),
                new Bounds(true, "01 12 20", List.of(1, 1, 1), 0, 0, "", -1), new Bounds(true, "01 10", List.of(1, 1, 0), 0, 0, "", 2),
                // n0 has its view agreed by n2, which may crash then.
                new Bounds(true, "01 10", List.of(1, 1, 0), 0, 0, "tick 0,deliver 1,deliver 1,deliver 2,deliver 2", 2),
                new Bounds(true, "01", List.of(1, 0, 0), 1, 0, "", -1), new Bounds(false, "", List.of(1, 1, 0), 0, 0, "", -1));
    }

    private static final View FIRST = new View(1_000, List.of(new Life("n0", 1), new Life("n1", 1), new Life("n2", 1)));

    private final Planted planted;
    private final List<Door> doors = new ArrayList<>();
    private final List<Sent> sent = new ArrayList<>();
    private final Map<Long, View> decided = new TreeMap<>();
    private final Bounds bounds;
    private int sights;
    private int repeats;
    private boolean crashed;
    private String wrong;

    public ViewWorld(Planted planted, Bounds bounds) {
        this.planted = planted;
        this.bounds = bounds;
        for (int i = 0; i < DOORS; i++) {
            doors.add(new Door(i));
            doors.get(i).life = new Life("n" + i, 1);
        }
        doors.forEach(each -> each.start(1, bounds.formed()));
        for (String each : bounds.gone().isEmpty() ? new String[0] : bounds.gone().split(" ")) {
            doors.get(each.charAt(0) - '0').sees[each.charAt(1) - '0'] = false;
        }
        for (String each : bounds.first().isEmpty() ? new String[0] : bounds.first().split(",")) {
            step(each);
        }
    }

    @Override
    public List<String> steps() {
        List<String> steps = new ArrayList<>();
        for (int i = 0; i < sent.size(); i++) {
            steps.add("deliver " + i);
            if (repeats < bounds.repeats()) {
                steps.add("repeat " + i);
            }
        }
        for (Door each : doors) {
            if (each.alive && each.ticks < bounds.ticks().get(each.number)) {
                steps.add("tick " + each.number);
            }
            for (Door other : doors) {
                if (other != each && sights < bounds.sights() && each.alive) {
                    steps.add("see " + each.number + " " + other.number);
                }
            }
            if (each.alive && !crashed && each.number == bounds.crashes()) {
                steps.add("crash " + each.number);
            }
            if (!each.alive) {
                steps.add("start " + each.number);
            }
        }
        return steps;
    }

    @Override
    public void step(String step) {
        String[] words = step.split(" ");
        int which = Integer.parseInt(words[1]);
        switch (words[0]) {
            case "deliver" -> deliver(sent.remove(which));
            case "repeat" -> {
                repeats++;
                deliver(sent.get(which));
            }
            case "tick" -> tick(doors.get(which));
            case "see" -> {
                sights++;
                Door door = doors.get(which);
                int other = Integer.parseInt(words[2]);
                door.sees[other] = !door.sees[other];
            }
            case "crash" -> {
                crashed = true;
                doors.get(which).alive = false;
                if (planted != Planted.REBORN_ANSWERS) {
                    sent.removeIf(each -> each.to() == which);
                }
            }
            case "start" -> {
                Door door = doors.get(which);
                door.alive = true;
                door.start(planted == Planted.REBORN_ANSWERS ? door.life.number() : door.life.number() + 10, false);
                if (planted == Planted.REBORN_ANSWERS) {
                    door.decider.learn(FIRST);
                }
            }
            default -> throw new IllegalArgumentException(step);
        }
    }

    private void tick(Door door) {
        door.ticks++;
        // So much later that all it waited for is over; and once more, when its turn has come.
        door.now += TICK_NS;
        int before = sent.size();
        door.decider.tick(door.now);
        if (sent.size() == before) {
            door.now += TURN_NS;
            door.decider.tick(door.now);
        }
    }

    private void deliver(Sent message) {
        Door to = doors.get(message.to());
        if (!to.alive || !to.life.equals(message.toLife())) {
            return;
        }
        Agree what = message.what();
        if (what instanceof Agree.Promise || what instanceof Agree.Accepted || what instanceof Agree.Refusal) {
            boolean ignores = planted == Planted.ACCEPTED_IGNORED && what instanceof Agree.Promise;
            to.decider.answered(message.fromLife(), ignores ? new Agree.Promise(what.after(), ((Agree.Promise) what).ballot(),
                    null, null) : what, to.now);
            return;
        }
        if (planted == Planted.BALLOTS_NOT_COMPARED && what instanceof Agree.Accept accept) {
            what = new Agree.Accept(new Agree.Ballot(1_000, accept.ballot().proposer()), accept.last(), accept.next(),
                    accept.bound());
        }
        Agree answer = to.decider.heard(message.fromLife(), what);
        if (answer instanceof Agree.Accepted && planted == Planted.BALLOTS_NOT_COMPARED) {
            answer = new Agree.Accepted(answer.after(), ((Agree.Accept) message.what()).ballot());
        }
        if (answer != null) {
            sent.add(new Sent(message.to(), to.life, message.from(), message.fromLife(), answer));
        }
    }

    @Override
    public String state() {
        StringBuilder text = new StringBuilder();
        for (Door each : doors) {
            text.append(each.life).append(each.alive).append(each.ticks).append(each.in)
                    .append(java.util.Arrays.toString(each.sees)).append(each.decider.state()).append('\n');
        }
        sent.stream().map(Sent::toString).sorted().forEach(text::append);
        return text.append(decided).append(sights).append(repeats).append(crashed).toString();
    }

    @Override
    public String wrong() {
        if (wrong != null) {
            return wrong;
        }
        for (Door one : doors) {
            for (Door other : doors) {
                if (one.alive && other.alive && one.in && other.in && one.number < other.number
                        && !one.decider.view().has(other.life) && !other.decider.view().has(one.life)) {
                    return one.life + " and " + other.life + " are each surely gone by the other's view: "
                            + one.decider.view() + ", " + other.decider.view();
                }
            }
        }
        return null;
    }

    @Override
    public String wrongAtTheEnd() {
        for (Door each : doors) {
            if (!each.alive) {
                step("start " + each.number);
            }
            java.util.Arrays.fill(each.sees, true);
        }
        for (int round = 0; round < 60; round++) {
            while (!sent.isEmpty()) {
                deliver(sent.remove(0));
            }
            if (doors.stream().allMatch(each -> each.decider.view().equals(doors.get(0).decider.view())
                    && each.decider.in() && each.decider.view().lives().size() == DOORS)) {
                return wrong();
            }
            // One after the other, with time between: whoever gave up waits for a random time.
            tick(doors.get(round % DOORS));
            for (Door each : doors) {
                each.decider.learn(doors.get(round % DOORS).decider.view());
            }
        }
        return "no one view at the end: " + doors.stream().map(each -> each.life + " " + each.decider.view()).toList();
    }
}
