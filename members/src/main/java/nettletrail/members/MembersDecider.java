package nettletrail.members;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import nettletrail.core.Membership.MemberIncarnation;
import nettletrail.members.Change.Kind;
import nettletrail.members.Message.Datagram;
import nettletrail.members.Statement.State;

/**
 * Who is likely there: SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2017) and what this fleet
 * needs beyond them. Quick, and at times wrong; what a majority agrees on is {@code ViewDecider}'s. No I/O, no clock of its
 * own: it is told what happens and when (ns of a monotonic clock), and asks for datagrams. One thread.
 *
 * <p><b>States</b> of another member, and what moves between them:
 * <pre>
 * ALIVE    a probe failed, straight and through helpers: SUSPECT; somebody accuses it: SUSPECT
 * SUSPECT  it refutes by a higher incarnation: ALIVE; nobody heard of it until {@link Suspicion#endsAt}: GONE
 * GONE     it refutes: ALIVE; after forgetNs: forgotten
 * LEFT     it said so; this life doesn't come back
 * </pre>
 * A newer life of a name takes the older one's place in any state. Each P ns (times 1 + {@link Health#score}) the next member
 * of a shuffled round is asked; without an answer after its ackNs, {@link Terms#helpers} others are asked to ask it, those
 * first whose links are not told broken. Statements ride on all datagrams ({@link Gossip}); an accused is told first of what
 * it is accused of, and whoever first hears of an accusation asks the accused itself, so that it is confirmed or refuted soon.
 *
 * <p><b>Own pauses.</b> A gap between two events proves a stop of this member: open probes are void, suspicions last longer by
 * the gap, and for a period nothing is concluded while what lies unread is read.
 *
 * <p><b>Cut.</b> Who gets no answer from anyone (two failed probes in a row and three periods, two others there at least)
 * can't tell whether the others died or it is cut off, in one direction or both. It accuses nobody and lets no suspicion end.
 * As it may not hear what it is accused of, it refutes in advance: it says to up to {@link #MOST_FANNED} others each period
 * that it is there and cut, under an incarnation raised each half of the least suspicion. So one that hears nobody and is heard stays ALIVE
 * and cut, one that nobody hears is GONE, and each stays so until the cut ends.
 */
public final class MembersDecider {
    /** Others told each period by one that is cut. */
    static final int MOST_FANNED = 16;
    private static final int CUT_AFTER = 3;
    private static final int CUT_PROBES = 2;
    /** Periods between two words to a member that is gone, so that a cut that ended is found out. */
    private static final int GONE_PERIODS = 2;
    /** Confirmations that a suspicion is worth; of n members each asks the accused with this part of 1/n. */
    private static final double CONFIRMERS = 6;
    private static final long SECOND = 1_000_000_000L;

    /** What the decider asks for, while it is told something. */
    public interface Actions {
        /** @param name of the door at that address */
        void send(String name, String address, Datagram datagram);

        /**
         * Exchange all that is known with whoever is there; {@link #synced} may come of it.
         *
         * @param name of the door at that address
         */
        void sync(String name, String address);

        void told(Change change);
    }

    private final Terms terms;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<String, String> seeds;
    private final Health health;
    private final Gossip gossip = new Gossip();
    private final Reach reach = new Reach();
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final Map<Integer, Probe> probes = new LinkedHashMap<>();
    private final Map<Integer, Probe.Relay> relays = new LinkedHashMap<>();
    private final Map<MemberIncarnation, Long> confirm = new LinkedHashMap<>();
    private final List<String> round = new ArrayList<>();
    private Set<String> kept = Set.of();
    private MemberIncarnation self;
    private int incarnation;
    private final String address;
    private boolean cut;
    private boolean leaving;
    private boolean superseded;
    private int sequence;
    private int failedInRow;
    private long answeredAt;
    private long quietUntil;
    private long nextProbe;
    private long nextGone;
    private long nextFan;
    private long nextWord;
    private long nextRaise;
    private long nextSync;
    private long nextSeed;
    private long dropped;

    /**
     * @param address where others reach this one
     * @param seeds addresses of others to join through, by name
     */
    public MembersDecider(Terms terms, MemberIncarnation self, String address, Map<String, String> seeds, long seed,
            long now,
            Actions actions) {
        this.terms = terms;
        this.self = self;
        this.address = address;
        this.seeds = new TreeMap<>(seeds);
        this.seeds.remove(self.name());
        this.actions = actions;
        random = new SplittableRandom(seed);
        health = new Health(terms, now);
        answeredAt = now;
        quietUntil = now;
        nextProbe = now + random.nextLong(terms.periodNs());
        nextSync = now + terms.syncNs();
        nextGone = now;
        nextSeed = now;
    }

    // ---- Time ----------------------------------------------------------------------------------------------

    /** To be called each {@link Terms#tickNs()}. */
    public void tick(long now) {
        enter(now);
        if (superseded || leaving) {
            return;
        }
        helpersAnswer(now);
        for (Probe each : List.copyOf(probes.values())) {
            if (now >= each.endsAt) {
                probes.remove(each.sequence);
                conclude(each, now);
            } else if (!each.answered && each.asked < 0 && now >= each.helpAt) {
                askHelpers(each);
            }
        }
        confirm.entrySet().removeIf(each -> {
            Peer accused = peers.get(each.getKey().name());
            if (now >= each.getValue() && accused != null && accused.state() == State.SUSPECT) {
                probe(accused, now);
            }
            return now >= each.getValue();
        });
        if (now >= nextProbe) {
            nextProbe = now + health.scaled(terms.periodNs());
            Peer next = next();
            if (next != null) {
                probe(next, now);
            }
        }
        if (cut && now >= nextFan) {
            fan(now);
        }
        if (!cut && now >= nextWord) {
            words(now);
        }
        suspicionsEnd(now);
        callOthers(now);
    }

    /**
     * What is new is told on by itself too, at a pace that doubt doesn't slow down: an accused must hear of it and be heard,
     * within the time of a suspicion, also where half of all datagrams are lost.
     */
    private void words(long now) {
        nextWord = now + terms.periodNs() / 2;
        Set<Peer> to = new LinkedHashSet<>();
        peers.values().stream().filter(each -> each.state() == State.SUSPECT).limit(terms.helpers()).forEach(to::add);
        if (gossip.size() > 0) {
            shuffled(Peer::there).stream().limit(terms.helpers()).forEach(to::add);
        }
        to.forEach(each -> send(each, new Message.Word()));
    }

    private void enter(long now) {
        long gap = health.seen(now);
        if (gap == 0) {
            return;
        }
        probes.clear();
        peers.values().forEach(each -> {
            if (each.suspicion != null) {
                each.suspicion.later(gap);
            }
        });
        answeredAt += gap;
        quietUntil = now + terms.periodNs();
        actions.told(new Change(Kind.PAUSED, self, "", gap / 1_000_000));
    }

    /** The next of a round in random order; a new round when all had their turn. */
    private Peer next() {
        while (true) {
            if (round.isEmpty()) {
                for (Peer each : peers.values()) {
                    if (each.there()) {
                        round.add(random.nextInt(round.size() + 1), each.name());
                    }
                }
                if (round.isEmpty()) {
                    return null;
                }
            }
            Peer next = peers.get(round.remove(round.size() - 1));
            if (next != null && next.there()) {
                return next;
            }
        }
    }

    private void probe(Peer whom, long now) {
        Probe probe = new Probe(++sequence, whom.life(), now, now + health.scaled(terms.ackNs()),
                now + health.scaled(terms.periodNs()));
        probes.put(probe.sequence, probe);
        send(whom, new Message.Ping(probe.sequence, "", probe.sequence));
    }

    private void askHelpers(Probe probe) {
        probe.asked = 0;
        List<Peer> helpers = shuffled(each -> each.state() == State.ALIVE && !each.statement.cut()
                && !each.life().equals(probe.whom));
        // Those whose way to it is not told broken first; the order among them stays random.
        helpers.sort(java.util.Comparator.comparing(each -> each.outBroken || each.inBroken
                || reach.broken(each.name(), probe.whom.name())));
        for (Peer each : helpers.subList(0, Math.min(terms.helpers(), helpers.size()))) {
            probe.asked++;
            send(each, new Message.PingRequest(probe.sequence, probe.whom));
        }
    }

    private void conclude(Probe probe, long now) {
        Peer peer = peers.get(probe.whom.name());
        if (probe.answered) {
            health.better();
            failedInRow = 0;
            return;
        }
        if (now < quietUntil || peer == null || !peer.life().equals(probe.whom)) {
            return;
        }
        if (probe.asked <= 0 || probe.nacks < probe.asked) {
            health.worse(1);
        }
        failedInRow++;
        if (terms.lifeguard() && !cut && failedInRow >= CUT_PROBES && there() >= 2
                && now - answeredAt >= CUT_AFTER * terms.periodNs()) {
            cut = true;
            nextRaise = now;
            nextFan = now;
            actions.told(Change.of(Kind.DOUBT, self));
        }
        link(peer, true, peer.heardAt < probe.startedAt);
        boolean signed = peer.heardAt > probe.startedAt
                || peer.statement.cut() && now - peer.signAt() < terms.suspicionNs(members());
        if (!cut && (!terms.lifeguard() || !signed)) {
            accuse(peer, now);
        }
    }

    private void accuse(Peer peer, long now) {
        if (peer.state() == State.ALIVE) {
            apply(peer.statement.accused(State.SUSPECT, self.name()), now);
        } else if (peer.suspicion != null && peer.suspicion.confirm(self.name())) {
            gossip.add(peer.statement.accused(State.SUSPECT, self.name()));
        }
    }

    private void suspicionsEnd(long now) {
        if (cut || now < quietUntil) {
            return;
        }
        for (Peer each : List.copyOf(peers.values())) {
            if (each.suspicion != null && now >= each.suspicion.endsAt()) {
                long least = terms.suspicionNs(members());
                if (terms.lifeguard() && now - each.heardAt < least) {
                    continue; // it is there, and hasn't heard yet what it is accused of
                }
                apply(each.statement.accused(State.GONE, self.name()), now);
            }
        }
    }

    /** It may hear nothing of what it is accused of: it says that it is there before. */
    private void fan(long now) {
        nextFan = now + terms.periodNs();
        if (now >= nextRaise) {
            nextRaise = now + terms.suspicionNs(members()) / 2;
            incarnation++;
            gossip.add(own());
        }
        List<Peer> all = shuffled(each -> each.state() != State.LEFT);
        for (Peer each : all.subList(0, Math.min(MOST_FANNED, all.size()))) {
            send(each, new Message.Ping(++sequence, "", sequence));
        }
    }

    /** Words that no probe needs: to those gone, to seeds that nobody here stands for, and all that is known now and then. */
    private void callOthers(long now) {
        if (now >= nextGone) {
            nextGone = now + GONE_PERIODS * terms.periodNs();
            shuffled(each -> each.state() == State.GONE).stream().findFirst()
                    .ifPresent(each -> send(each, new Message.Ping(++sequence, "", sequence)));
        }
        if (now >= nextSync) {
            nextSync = now + terms.syncNs() / 2 + random.nextLong(terms.syncNs());
            shuffled(each -> each.state() == State.ALIVE).stream().findFirst()
                    .ifPresent(each -> actions.sync(each.name(), each.statement.address()));
        }
        if (now >= nextSeed) {
            boolean alone = there() == 0;
            nextSeed = now + (alone ? SECOND / 2 : 4 * SECOND) + random.nextLong(SECOND);
            List<String> missing = seeds.keySet().stream().filter(name -> peers.get(name) == null
                    || peers.get(name).state() != State.ALIVE).toList();
            if (!missing.isEmpty()) {
                String name = missing.get(random.nextInt(missing.size()));
                actions.sync(name, seeds.get(name));
            }
        }
        for (Iterator<Peer> all = peers.values().iterator(); all.hasNext();) {
            Peer each = all.next();
            if (!each.there() && !kept.contains(each.name()) && now - each.since >= terms.forgetNs()) {
                all.remove();
                gossip.forget(each.name());
                reach.forget(each.name());
            }
        }
    }

    // ---- What comes ----------------------------------------------------------------------------------------

    /** A datagram that is known to be authentic and new. */
    public void received(long now, Datagram datagram) {
        enter(now);
        if (datagram.toLife() != self.number() || datagram.from().name().equals(self.name())) {
            return;
        }
        datagram.statements().forEach(each -> apply(each, now));
        datagram.rows().forEach(this::apply);
        Peer peer = peers.get(datagram.from().name());
        if (peer == null || superseded || leaving) {
            return;
        }
        if (datagram.from().number() < peer.life().number()) {
            olderLife(datagram, peer);
            return;
        }
        if (datagram.from().number() > peer.life().number()) {
            return; // its own statement will say where it is reached
        }
        peer.heardAt = now;
        link(peer, peer.outBroken, false);
        Message what = datagram.what();
        if (what instanceof Message.Ping ping) {
            boolean straight = ping.asker().isEmpty();
            if (straight) {
                peer.lastPing = ping.sequence();
            } else {
                Peer asker = peers.get(ping.asker());
                straight = asker != null && asker.lastPing == ping.askers();
            }
            send(peer, new Message.Ack(ping.sequence(), straight));
        } else if (what instanceof Message.Ack ack) {
            acked(now, peer, ack);
        } else if (what instanceof Message.PingRequest request) {
            help(now, peer, request);
        } else if (what instanceof Message.Nack nack) {
            answered(now);
            Probe probe = probes.get(nack.sequence());
            if (probe != null) {
                probe.nacks++;
            }
        }
    }

    private void acked(long now, Peer from, Message.Ack ack) {
        Probe.Relay relay = relays.remove(ack.sequence());
        if (relay != null) {
            Peer asker = peers.get(relay.asker().name());
            if (asker != null) {
                send(asker, new Message.Ack(relay.askers(), ack.straight()));
            }
        }
        answered(now);
        Probe probe = probes.get(ack.sequence());
        Peer whom = probe == null ? from : peers.get(probe.whom.name());
        if (probe == null || whom == null || !whom.life().equals(probe.whom)) {
            return;
        }
        probe.answered = true;
        whom.answeredAt = now;
        if (whom == from) {
            link(whom, false, false);
        } else {
            // Through a helper: which of the two ways is broken, the other end knows.
            link(whom, !ack.straight(), ack.straight() && whom.heardAt < probe.startedAt);
        }
    }

    private void answered(long now) {
        answeredAt = now;
        failedInRow = 0;
        if (cut) {
            cut = false;
            health.explained();
            incarnation++;
            quietUntil = now + terms.periodNs();
            gossip.add(own());
            nextSync = now;
            actions.told(Change.of(Kind.TRUST, self));
        }
    }

    private void help(long now, Peer asker, Message.PingRequest request) {
        Peer whom = peers.get(request.whom().name());
        if (whom == null || !whom.life().equals(request.whom())) {
            send(asker, new Message.Nack(request.sequence()));
            return;
        }
        relays.put(++sequence, new Probe.Relay(asker.life(), request.sequence(), now + terms.ackNs()));
        send(whom, new Message.Ping(sequence, asker.name(), request.sequence()));
    }

    private void helpersAnswer(long now) {
        for (Iterator<Probe.Relay> all = relays.values().iterator(); all.hasNext();) {
            Probe.Relay each = all.next();
            Peer asker = peers.get(each.asker().name());
            if (now >= each.endsAt()) {
                all.remove();
                if (asker != null) {
                    send(asker, new Message.Nack(each.askers()));
                }
            }
        }
    }

    /** A process of an older life still talks: it is told of the newer one. */
    private void olderLife(Datagram datagram, Peer newer) {
        for (Statement each : datagram.statements()) {
            if (each.who().equals(datagram.from())) {
                actions.send(each.who().name(), each.address(), new Datagram(self, datagram.from().number(), new Message.Nack(0),
                        List.of(newer.statement), List.of()));
            }
        }
    }

    /** All that another knows, from an exchange over a connection. */
    public void synced(long now, Collection<Statement> statements, Collection<Row> rows) {
        enter(now);
        statements.forEach(each -> apply(each, now));
        rows.forEach(this::apply);
    }

    private void apply(Row row) {
        Peer observer = peers.get(row.observer().name());
        if (observer != null && observer.life().equals(row.observer()) && reach.apply(row)) {
            gossip.add(row);
        }
    }

    private void apply(Statement told, long now) {
        if (told.who().name().equals(self.name())) {
            aboutSelf(told, now);
            return;
        }
        Peer peer = peers.get(told.who().name());
        if (peer == null) {
            if (peers.size() >= terms.mostMembers()) {
                dropped++;
                return;
            }
            peer = new Peer(told, now);
            peers.put(peer.name(), peer);
            if (peer.there()) {
                round.add(random.nextInt(round.size() + 1), peer.name());
                actions.told(Change.of(Kind.JOINED, told.who()));
            }
            entered(peer, now);
        } else if (peer.suspicion != null && told.state() == State.SUSPECT && told.who().equals(peer.life())
                && told.incarnation() == peer.statement.incarnation()) {
            if (peer.suspicion.confirm(told.by())) {
                gossip.add(told);
            }
        } else if (told.overrides(peer.statement)) {
            Statement before = peer.statement;
            peer.believe(told, now);
            tell(before, told);
            if (told.who().number() != before.who().number()) {
                reach.forget(peer.name());
                round.add(random.nextInt(round.size() + 1), peer.name());
            }
            if (before.state() == State.GONE && told.state() == State.ALIVE) {
                actions.sync(peer.name(), told.address());
            }
            entered(peer, now);
        }
    }

    /** A statement is believed that wasn't: it is passed on, and a suspicion begins its time. */
    private void entered(Peer peer, long now) {
        gossip.add(peer.statement);
        if (peer.state() == State.SUSPECT) {
            peer.suspicion = new Suspicion(now, peer.statement.by(), health.stretched(terms.suspicionNs(members())),
                    there() - 1, terms.lifeguard());
            boolean asks = !peer.statement.by().equals(self.name()) && random.nextDouble() < CONFIRMERS / members();
            if (terms.lifeguard() && asks) {
                confirm.put(peer.life(), now + random.nextLong(terms.periodNs() / 2));
            }
        }
        if (!peer.there()) {
            link(peer, false, false);
        }
    }

    private void tell(Statement before, Statement now) {
        boolean newLife = now.who().number() != before.who().number();
        if (newLife) {
            if (before.state() == State.ALIVE || before.state() == State.SUSPECT) {
                actions.told(Change.of(Kind.REPLACED, before.who()));
            }
            if (now.state() == State.ALIVE || now.state() == State.SUSPECT) {
                actions.told(Change.of(Kind.JOINED, now.who()));
            }
            return;
        }
        switch (now.state()) {
            case ALIVE -> {
                if (before.state() != State.ALIVE) {
                    actions.told(Change.of(Kind.BACK, now.who()));
                }
                if (before.cut() != now.cut()) {
                    actions.told(Change.of(now.cut() ? Kind.CUT : Kind.HEALED, now.who()));
                }
            }
            case SUSPECT -> actions.told(new Change(Kind.SUSPECT, now.who(), now.by(), 0));
            case GONE -> actions.told(new Change(Kind.GONE, now.who(), now.by(), 0));
            case LEFT -> actions.told(Change.of(Kind.LEFT, now.who()));
        }
    }

    private void aboutSelf(Statement told, long now) {
        if (leaving) {
            return;
        }
        boolean dead = told.state() == State.GONE || told.state() == State.LEFT;
        if (told.who().number() > self.number()) {
            if (dead || told.address().equals(address)) {
                renew(told.who().number() + 1, now);
            } else if (!superseded) {
                superseded = true;
                actions.told(Change.of(Kind.SUPERSEDED, told.who()));
            }
        } else if (told.who().number() < self.number()) {
            if (!dead) {
                gossip.add(own());
            }
        } else if (told.state() != State.ALIVE && told.incarnation() >= incarnation) {
            incarnation = told.incarnation() + 1;
            health.worse(1);
            gossip.add(own());
            actions.told(new Change(Kind.ACCUSED, self, told.by(), 0));
        }
    }

    /** Goes by a new life, higher than this at least. */
    public void renew(long least, long now) {
        self = new MemberIncarnation(self.name(), Math.max(least, self.number() + 1));
        incarnation = 0;
        superseded = false;
        probes.clear();
        relays.clear();
        reach.forgetOwn();
        nextSync = now;
        gossip.add(own());
        actions.told(Change.of(Kind.RENEWED, self));
    }

    /** Names that are not forgotten, however long they are gone: an agreed view holds them. */
    public void keep(Collection<String> names) {
        kept = Set.copyOf(names);
    }

    /** The loop that this member stands for is late: it trusts itself less. */
    public void late() {
        health.worse(1);
    }

    /** Says to the others that this life ends. */
    public void leave(long now) {
        if (!leaving && !superseded) {
            leaving = true;
            Statement left = new Statement(self, incarnation, State.LEFT, address, false, "");
            gossip.add(left);
            List<Peer> all = shuffled(Peer::there);
            for (Peer each : all.subList(0, Math.min(MOST_FANNED, all.size()))) {
                actions.send(each.name(), each.statement.address(), new Datagram(self, each.life().number(),
                        new Message.Ping(++sequence, "", sequence), List.of(left), List.of()));
            }
        }
    }

    // ---- What goes out -------------------------------------------------------------------------------------

    private void send(Peer to, Message what) {
        List<Statement> statements = new ArrayList<>();
        List<Row> rows = new ArrayList<>();
        int left = terms.mostBytes();
        if (what instanceof Message.Ping) {
            statements.add(own());
            left -= own().bytes();
        }
        if (to.state() == State.SUSPECT || to.state() == State.GONE) {
            statements.add(to.statement); // told first of what it is accused of
            left -= to.statement.bytes();
        }
        gossip.fill(left, cut ? 0 : members(), statements, rows);
        actions.send(to.name(), to.statement.address(), new Datagram(self, to.life().number(), what, statements, rows));
    }

    private void link(Peer to, boolean out, boolean in) {
        if (to.outBroken != out || to.inBroken != in) {
            to.outBroken = out;
            to.inBroken = in;
            gossip.add(reach.own(self, peers.values()));
        }
    }

    private List<Peer> shuffled(java.util.function.Predicate<Peer> which) {
        List<Peer> all = new ArrayList<>();
        for (Peer each : peers.values()) {
            if (which.test(each)) {
                all.add(random.nextInt(all.size() + 1), each);
            }
        }
        return all;
    }

    private Statement own() {
        return Statement.alive(self, incarnation, address, cut);
    }

    private int there() {
        return (int) peers.values().stream().filter(Peer::there).count();
    }

    private int members() {
        return there() + 1;
    }

    // ---- What is known -------------------------------------------------------------------------------------

    public MemberIncarnation self() {
        return self;
    }

    /** Statements on all that it knows of, its own first. */
    public List<Statement> statements() {
        List<Statement> all = new ArrayList<>();
        if (!superseded && !leaving) {
            all.add(own());
        }
        peers.values().forEach(each -> all.add(each.statement));
        return all;
    }

    /** Rows of all observers, its own among them. */
    public List<Row> rows() {
        return reach.all(self);
    }

    /** The statement believed of a name, or null. */
    public Statement of(String name) {
        Peer peer = peers.get(name);
        return peer == null ? null : peer.statement;
    }

    /** ns since it last answered a question of this one; far more than any time if it never did. */
    public long sinceAnswerNs(MemberIncarnation who, long now) {
        Peer peer = peers.get(who.name());
        return peer == null || !peer.life().equals(who) ? -Peer.NEVER : now - peer.answeredAt;
    }

    /** Since when its state is what it is; 0 if it isn't known. */
    public long sinceNs(String name, long now) {
        Peer peer = peers.get(name);
        return peer == null ? 0 : now - peer.since;
    }

    /** Whether it gets no answer from anyone. */
    public boolean cut() {
        return cut;
    }

    public boolean superseded() {
        return superseded;
    }

    /** 0 to {@link Health#MOST}: how little it trusts itself. */
    public int health() {
        return health.score();
    }

    /** Statements dropped because too many members are known. */
    public long dropped() {
        return dropped;
    }
}
