package nettletrail.app.members;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import nettletrail.core.Membership.MemberIncarnation;
import nettletrail.core.Membership.View;
import nettletrail.members.Agree;
import nettletrail.members.Change;
import nettletrail.members.Codec;
import nettletrail.members.MembersDecider;
import nettletrail.members.Message.Datagram;
import nettletrail.members.Seen;
import nettletrail.members.Statement;
import nettletrail.members.Terms;
import nettletrail.members.ViewDecider;

/**
 * Many deciders in virtual time: the real class, with a network that loses, delays and cuts by pair and direction, and doors
 * that are killed, stopped and started again. One thread; the same seed gives the same run.
 */
public final class MembersFleet {
    private static final long MS = 1_000_000L;

    /** What a door came to believe, and when. */
    public record Heard(long at, int door, Change change) { }

    private record Event(long at, long order, Runnable run) { }

    /** A view that a door learned of, and when. */
    public record Agreed(long at, int door, View view, List<MemberIncarnation> gone, boolean in) { }

    /** Hears of each message when it is sent, so that real sizes can be counted; lost ones too. */
    public interface Traffic {
        /** @param view number of the last view that the sender knows */
        void datagram(int door, Datagram datagram, long view);

        /** One way of an exchange of all that is known. */
        void sync(int door, Codec.Known known);

        void agree(int door, Agree said);
    }

    private static final Traffic UNHEARD = new Traffic() {
        @Override
        public void datagram(int door, Datagram datagram, long view) { }

        @Override
        public void sync(int door, Codec.Known known) { }

        @Override
        public void agree(int door, Agree said) { }
    };

    /** One door. */
    private final class Node implements MembersDecider.Actions, ViewDecider.Actions {
        private final int number;
        private MembersDecider decider;
        private ViewDecider views;
        private long life;
        private boolean alive;
        private long stoppedUntil;
        private long clockOffset;

        Node(int number) {
            this.number = number;
        }

        private long clock() {
            return now + clockOffset;
        }

        private void start() {
            life = Math.max(life + 1, now / MS + 1);
            alive = true;
            stoppedUntil = now;
            clockOffset = random.nextLong(1_000_000_000_000L);
            Map<String, String> seeds = Map.of(name(0), address(0), name(1), address(1), name(2), address(2));
            decider = new MembersDecider(terms, new MemberIncarnation(name(number), life), address(number), seeds,
                    random.nextLong(),
                    clock(), this);
            views = new ViewDecider(decider.self(), lateness.length, new Seen(decider, terms,
                    this::clock), random.nextLong(), this);
            long mine = life;
            long first = now + random.nextLong(terms.tickNs());
            at(first, () -> tick(mine));
        }

        private void tick(long mine) {
            if (!alive || life != mine) {
                return;
            }
            if (now < stoppedUntil) {
                at(stoppedUntil, () -> tick(mine));
                return;
            }
            decider.tick(clock());
            views.tick(clock());
            at(now + terms.tickNs() + lateness[number], () -> tick(mine));
        }

        /** Runs on this door when it can: what comes while it is stopped or late lies until it goes on. */
        private void deliver(long mine, Runnable run) {
            if (!alive || life != mine) {
                return;
            }
            long until = Math.max(stoppedUntil, lateness[number] == 0 ? now
                    : now + (long) (random.nextDouble() * lateness[number]));
            if (now < stoppedUntil || until > now) {
                at(until, () -> {
                    if (alive && life == mine && now >= stoppedUntil) {
                        run.run();
                    }
                });
                return;
            }
            run.run();
        }

        @Override
        public void send(String name, String address, Datagram datagram) {
            Node to = nodes.get(number(address));
            datagrams++;
            bytes += size(datagram);
            traffic.datagram(number, datagram, views.view().number());
            if (!passes.test(number, to.number) || random.nextDouble() < loss) {
                return;
            }
            long target = to.life;
            long view = views.view().number();
            at(now + delay(), () -> to.deliver(target, () -> {
                to.decider.received(to.clock(), datagram);
                if (view > to.views.view().number() && datagram.toLife() == to.decider.self().number()) {
                    to.sync(name(number), address(number));
                }
            }));
        }

        @Override
        public void sync(String name, String address) {
            Node to = nodes.get(number(address));
            if (to == this || !passes.test(number, to.number) || !passes.test(to.number, number)) {
                return;
            }
            long mine = life;
            long its = to.life;
            List<Statement> told = decider.statements();
            var rows = decider.rows();
            View known = views.view();
            traffic.sync(number, new Codec.Known(told, rows, known));
            at(now + 2 * delay(), () -> to.deliver(its, () -> {
                to.decider.synced(to.clock(), told, rows);
                View itsView = to.views.view();
                to.views.learn(known);
                List<Statement> back = to.decider.statements();
                var backRows = to.decider.rows();
                traffic.sync(to.number, new Codec.Known(back, backRows, itsView));
                at(now + delay(), () -> deliver(mine, () -> {
                    decider.synced(clock(), back, backRows);
                    views.learn(itsView);
                }));
            }));
        }

        @Override
        public void told(Change change) {
            heard.add(new Heard(now, number, change));
            if (change.kind() == Change.Kind.RENEWED) {
                views.renewed(change.who());
            }
        }

        @Override
        public void say(MemberIncarnation whom, Agree what) {
            Node to = nodes.get(Integer.parseInt(whom.name().substring(1)));
            traffic.agree(number, what);
            if (!passes.test(number, to.number)) {
                return;
            }
            long mine = life;
            long its = to.life;
            at(now + 2 * delay(), () -> to.deliver(its, () -> {
                if (!to.decider.self().equals(whom)) {
                    return;
                }
                Agree answer = to.views.heard(decider.self(), what);
                if (answer != null) {
                    traffic.agree(to.number, answer);
                }
                if (answer != null && passes.test(to.number, number)) {
                    at(now + delay(), () -> deliver(mine, () -> views.answered(whom, answer, clock())));
                }
            }));
        }

        @Override
        public void decided(View view, List<MemberIncarnation> gone, boolean in) {
            decider.keep(view.incarnations().stream().map(MemberIncarnation::name).toList());
            agreed.add(new Agreed(now, number, view, gone, in));
        }

        @Override
        public void expelled() {
            decider.renew(0, clock());
        }

        @Override
        public void contradiction(View one, View other) {
            contradictions.add(one + " and " + other);
        }
    }

    private final Terms terms;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> one.at != other.at
            ? Long.compare(one.at, other.at) : Long.compare(one.order, other.order));
    private final List<Node> nodes = new ArrayList<>();
    private final List<Heard> heard = new ArrayList<>();
    private final List<Agreed> agreed = new ArrayList<>();
    private final List<String> contradictions = new ArrayList<>();
    private final long[] lateness;
    private BiPredicate<Integer, Integer> passes = (from, to) -> true;
    private Traffic traffic = UNHEARD;
    private double loss;
    private long delayNs = MS / 5;
    private long jitterNs = MS / 5;
    private long now;
    private long order;
    private long datagrams;
    private long bytes;

    public MembersFleet(int doors, Terms terms, long seed) {
        this.terms = terms;
        random = new SplittableRandom(seed);
        lateness = new long[doors];
        for (int i = 0; i < doors; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(Node::start);
    }

    public static String name(int door) {
        return "n" + door;
    }

    private static String address(int door) {
        return "127.0.0.1:" + (10_000 + door);
    }

    private static int number(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1)) - 10_000;
    }

    private void at(long when, Runnable run) {
        events.add(new Event(when, order++, run));
    }

    private long delay() {
        return delayNs + (jitterNs == 0 ? 0 : random.nextLong(jitterNs));
    }

    private static int size(Datagram datagram) {
        int size = 72;
        for (Statement each : datagram.statements()) {
            size += 24 + each.who().name().length() + each.address().length() + each.by().length();
        }
        return size + 20 * datagram.rows().size();
    }

    // ---- What is done to it --------------------------------------------------------------------------------

    /** Goes on for so long. */
    public void run(long ns) {
        long until = now + ns;
        while (!events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            now = Math.max(now, next.at);
            next.run.run();
        }
        now = until;
    }

    public void kill(int door) {
        nodes.get(door).alive = false;
    }

    public void start(int door) {
        nodes.get(door).start();
    }

    /** As by SIGSTOP, for so long. */
    public void stop(int door, long ns) {
        nodes.get(door).stoppedUntil = now + ns;
    }

    public void leave(int door) {
        nodes.get(door).decider.leave(nodes.get(door).clock());
    }

    /** Each of its turns is so late. */
    public void late(int door, long ns) {
        lateness[door] = ns;
    }

    /** Which links work, by direction. */
    public void links(BiPredicate<Integer, Integer> work) {
        passes = work;
    }

    public void loss(double share) {
        loss = share;
    }

    /** Who hears of each message from now on. */
    public void traffic(Traffic heardBy) {
        traffic = heardBy;
    }

    public void delay(long ns, long jitter) {
        delayNs = ns;
        jitterNs = jitter;
    }

    // ---- What is seen --------------------------------------------------------------------------------------

    public long now() {
        return now;
    }

    public int doors() {
        return nodes.size();
    }

    public ViewDecider views(int door) {
        return nodes.get(door).views;
    }

    /** All views that doors learned of so far. */
    public List<Agreed> agreed() {
        return agreed;
    }

    /** Views of one number that differ: none ever. */
    public List<String> contradictions() {
        return contradictions;
    }

    public MembersDecider decider(int door) {
        return nodes.get(door).decider;
    }

    public boolean alive(int door) {
        return nodes.get(door).alive;
    }

    /** All that doors came to believe so far. */
    public List<Heard> heard() {
        return heard;
    }

    public long datagrams() {
        return datagrams;
    }

    public long bytes() {
        return bytes;
    }

    /** What one door believes of another; null if it doesn't know it. */
    public Statement.State believes(int door, int other) {
        Statement told = nodes.get(door).decider.of(name(other));
        return told == null ? null : told.state();
    }

    /** Whether all that live believe each other alive in their present lives, and nobody else there. */
    public boolean oneView() {
        for (Node one : nodes) {
            for (Node other : nodes) {
                if (!one.alive || one == other) {
                    continue;
                }
                Statement told = one.decider.of(name(other.number));
                boolean there = told != null && told.state() == Statement.State.ALIVE
                        && told.who().equals(other.decider.self()) && !told.cut();
                if (there != other.alive) {
                    return false;
                }
            }
        }
        return true;
    }

    /** What each door knows, for whoever must find out what went wrong. */
    public String state() {
        StringBuilder text = new StringBuilder();
        for (Node each : nodes) {
            text.append(each.alive ? "" : "dead ").append(each.decider.self()).append(each.decider.cut() ? " cut" : "")
                    .append(" health ").append(each.decider.health()).append(' ').append(each.views.view()).append(' ')
                    .append(each.decider.statements()).append('\n');
        }
        return text.toString();
    }

    /** Whether all that live are in one agreed view, and nobody else is. */
    public boolean oneAgreed() {
        List<MemberIncarnation> lives = nodes.stream().filter(each -> each.alive).map(each -> each.decider.self())
                .sorted().toList();
        return nodes.stream().filter(each -> each.alive)
                .allMatch(each -> each.views.view().incarnations().equals(lives));
    }

    /** The same for {@link #oneAgreed}. */
    public long untilAgreed(long most) {
        long begin = now;
        while (!oneAgreed()) {
            if (now - begin >= most) {
                return -1;
            }
            run(50 * MS);
        }
        return now - begin;
    }

    /** Runs until there is one view; how long it took in ns, or -1 if it never came. */
    public long untilOneView(long most) {
        long begin = now;
        while (!oneView()) {
            if (now - begin >= most) {
                return -1;
            }
            run(50 * MS);
        }
        return now - begin;
    }
}
