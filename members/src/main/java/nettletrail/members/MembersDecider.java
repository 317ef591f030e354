package nettletrail.members;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import nettletrail.core.Members.Life;
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
 * <p><b>Cut.</b> Who gets no answer from anyone (two questions three periods ago or more, two others there at least)
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
    private final Roster roster;
    private final Prober prober;
    private final Health health;
    private long quietUntil;
    private long nextProbe;
    private long probedAt;
    private long nextGone;
    private long nextFan;
    private long nextWord;
    private long nextRaise;
    private long nextSync;
    private long nextSeed;

    /**
     * @param address where others reach this one
     * @param seeds addresses of others to join through, by name
     */
    public MembersDecider(Terms terms, Life self, String address, Map<String, String> seeds, long seed, long now,
            Actions actions) {
        this.terms = terms;
        this.seeds = new TreeMap<>(seeds);
        this.seeds.remove(self.name());
        this.actions = actions;
        random = new SplittableRandom(seed);
        roster = new Roster(terms, self, address, random, now, actions);
        health = roster.health;
        prober = new Prober(roster, now, this::conclude);
        roster.whenRenewed(() -> {
            prober.clear();
            nextSync = Long.MIN_VALUE;
        });
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
        if (roster.superseded() || roster.leaving()) {
            return;
        }
        prober.tick(now);
        roster.confirm.entrySet().removeIf(each -> {
            Peer accused = roster.peers.get(each.getKey().name());
            if (now >= each.getValue() && accused != null && accused.state() == State.SUSPECT) {
                prober.probe(accused, now);
            }
            return now >= each.getValue();
        });
        // Where nobody answers, doubt shall not slow the questions that tell why.
        boolean unanswered = terms.lifeguard() && prober.unansweredNs(now) >= 2 * terms.periodNs()
                && now - probedAt >= terms.periodNs();
        if (now >= nextProbe || unanswered) {
            nextProbe = now + health.scaled(terms.periodNs());
            probedAt = now;
            Peer next = roster.next();
            if (next != null) {
                prober.probe(next, now);
            }
        }
        doubt(now);
        if (roster.cut() && now >= nextFan) {
            fan(now);
        }
        if (!roster.cut() && now >= nextWord) {
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
        roster.peers.values().stream().filter(each -> each.state() == State.SUSPECT).limit(terms.helpers()).forEach(to::add);
        if (roster.hasNews()) {
            roster.shuffled(Peer::there).stream().limit(terms.helpers()).forEach(to::add);
        }
        to.forEach(each -> roster.send(each, new Message.Word()));
    }

    /** Whether it gets no answer from anyone: several were asked long enough ago, and none of them said anything. */
    private void doubt(long now) {
        if (terms.lifeguard() && !roster.cut() && roster.there() >= 2
                && prober.askedNs(CUT_PROBES, now) >= CUT_AFTER * terms.periodNs()) {
            nextRaise = now;
            nextFan = now;
            roster.cut(true);
        }
    }

    private void enter(long now) {
        long gap = health.seen(now);
        if (gap == 0) {
            return;
        }
        prober.voided(gap);
        roster.peers.values().forEach(each -> {
            if (each.suspicion != null) {
                each.suspicion.later(gap);
            }
        });
        quietUntil = now + terms.periodNs();
        actions.told(new Change(Kind.PAUSED, roster.self(), "", gap / 1_000_000));
    }

    private void conclude(Probe probe, long now) {
        Peer peer = roster.peers.get(probe.whom.name());
        if (probe.answered) {
            health.better();
            return;
        }
        if (now < quietUntil || peer == null || !peer.life().equals(probe.whom)) {
            return;
        }
        if (probe.asked <= 0 || probe.nacks < probe.asked) {
            health.worse(1);
        }
        roster.link(peer, true, peer.heardAt < probe.startedAt);
        boolean signed = peer.heardAt > probe.startedAt
                || peer.statement.cut() && now - peer.signAt() < terms.suspicionNs(roster.members());
        if (!roster.cut() && (!terms.lifeguard() || !signed)) {
            accuse(peer, now);
        }
    }

    private void accuse(Peer peer, long now) {
        if (peer.state() == State.ALIVE) {
            roster.apply(peer.statement.accused(State.SUSPECT, roster.self().name()), now);
        } else if (peer.suspicion != null) {
            roster.accused(peer);
        }
    }

    private void suspicionsEnd(long now) {
        if (roster.cut() || now < quietUntil) {
            return;
        }
        for (Peer each : List.copyOf(roster.peers.values())) {
            if (each.suspicion != null && now >= each.suspicion.endsAt()) {
                long least = terms.suspicionNs(roster.members());
                if (terms.lifeguard() && now - each.heardAt < least) {
                    continue; // it is there, and hasn't heard yet what it is accused of
                }
                roster.apply(each.statement.accused(State.GONE, roster.self().name()), now);
            }
        }
    }

    /** It may hear nothing of what it is accused of: it says that it is there before. */
    private void fan(long now) {
        nextFan = now + terms.periodNs();
        if (now >= nextRaise) {
            nextRaise = now + terms.suspicionNs(roster.members()) / 2;
            roster.raise();
        }
        List<Peer> all = roster.shuffled(each -> each.state() != State.LEFT);
        for (Peer each : all.subList(0, Math.min(MOST_FANNED, all.size()))) {
            prober.ping(each);
        }
    }

    /** Words that no probe needs: to those gone, to seeds that nobody here stands for, and all that is known now and then. */
    private void callOthers(long now) {
        if (now >= nextGone) {
            nextGone = now + GONE_PERIODS * terms.periodNs();
            roster.shuffled(each -> each.state() == State.GONE).stream().findFirst()
                    .ifPresent(prober::ping);
        }
        if (now >= nextSync) {
            nextSync = now + terms.syncNs() / 2 + random.nextLong(terms.syncNs());
            roster.shuffled(each -> each.state() == State.ALIVE).stream().findFirst()
                    .ifPresent(each -> actions.sync(each.name(), each.statement.address()));
        }
        if (now >= nextSeed) {
            boolean alone = roster.there() == 0;
            nextSeed = now + (alone ? SECOND / 2 : 4 * SECOND) + random.nextLong(SECOND);
            List<String> missing = seeds.keySet().stream().filter(name -> roster.peers.get(name) == null
                    || roster.peers.get(name).state() != State.ALIVE).toList();
            if (!missing.isEmpty()) {
                String name = missing.get(random.nextInt(missing.size()));
                actions.sync(name, seeds.get(name));
            }
        }
        roster.forget(now);
    }

    // ---- What comes ----------------------------------------------------------------------------------------

    /** A datagram that is known to be authentic and new. */
    public void received(long now, Datagram datagram) {
        enter(now);
        if (datagram.toLife() != roster.self().number() || datagram.from().name().equals(roster.self().name())) {
            return;
        }
        datagram.statements().forEach(each -> roster.apply(each, now));
        datagram.rows().forEach(roster::apply);
        Peer peer = roster.peers.get(datagram.from().name());
        if (peer == null || roster.superseded() || roster.leaving()) {
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
        roster.link(peer, peer.outBroken, false);
        Message what = datagram.what();
        if (what instanceof Message.Ping ping) {
            boolean straight = ping.asker().isEmpty();
            if (straight) {
                peer.lastPing = ping.sequence();
            } else {
                Peer asker = roster.peers.get(ping.asker());
                straight = asker != null && asker.lastPing == ping.askers();
            }
            roster.send(peer, new Message.Ack(ping.sequence(), straight));
        } else if (what instanceof Message.Ack ack) {
            prober.acked(now, peer, ack);
            answered(now);
        } else if (what instanceof Message.PingRequest request) {
            prober.help(now, peer, request);
        } else if (what instanceof Message.Nack nack) {
            answered(now);
            prober.nacked(nack);
        }
    }

    private void answered(long now) {
        prober.answered(now);
        if (roster.cut()) {
            health.explained();
            quietUntil = now + terms.periodNs();
            nextSync = now;
            roster.cut(false);
        }
    }

    /** A process of an older life still talks: it is told of the newer one. */
    private void olderLife(Datagram datagram, Peer newer) {
        for (Statement each : datagram.statements()) {
            if (each.who().equals(datagram.from())) {
                actions.send(each.who().name(), each.address(), new Datagram(roster.self(), datagram.from().number(), new Message.Nack(0),
                        List.of(newer.statement), List.of()));
            }
        }
    }

    /** All that another knows, from an exchange over a connection. */
    public void synced(long now, Collection<Statement> statements, Collection<Row> rows) {
        enter(now);
        statements.forEach(each -> roster.apply(each, now));
        rows.forEach(roster::apply);
    }

    /** The loop that this member stands for is late: it trusts itself less. */
    public void late(long now) {
        health.late(now);
    }

    /** Says to the others that this life ends. */
    public void leave(long now) {
        if (!roster.leaving() && !roster.superseded()) {
            Statement left = roster.leave();
            for (Peer each : roster.shuffled(Peer::there).stream().limit(MOST_FANNED).toList()) {
                actions.send(each.name(), each.statement.address(), new Datagram(roster.self(), each.life().number(),
                        new Message.Word(), List.of(left), List.of()));
            }
        }
    }

    /** Goes by a new life, of this number at least. */
    public void renew(long least, long now) {
        roster.renew(least, now);
    }

    /** Names that are not forgotten, however long they are gone: an agreed view holds them. */
    public void keep(Collection<String> names) {
        roster.keep(names);
    }

    // ---- What is known -------------------------------------------------------------------------------------

    public Life self() {
        return roster.self();
    }

    /** Statements on all that it knows of, its own first. */
    public List<Statement> statements() {
        return roster.statements();
    }

    /** Rows of all observers, its own among them. */
    public List<Row> rows() {
        return roster.rows();
    }

    /** The statement believed of a name, or null. */
    public Statement of(String name) {
        Peer peer = roster.peers.get(name);
        return peer == null ? null : peer.statement;
    }

    /** ns since it last answered a question of this one; far more than any time if it never did. */
    public long sinceAnswerNs(Life who, long now) {
        Peer peer = roster.peers.get(who.name());
        return peer == null || !peer.life().equals(who) ? -Peer.NEVER : now - peer.answeredAt;
    }

    /** Since when its state is what it is; 0 if it isn't known. */
    public long sinceNs(String name, long now) {
        Peer peer = roster.peers.get(name);
        return peer == null ? 0 : now - peer.since;
    }

    /** Whether it gets no answer from anyone. */
    public boolean cut() {
        return roster.cut();
    }

    public boolean superseded() {
        return roster.superseded();
    }

    /** 0 to {@link Health#MOST}: how little it trusts itself. */
    public int health() {
        return health.score();
    }

    /** Statements dropped because too many members are known. */
    public long dropped() {
        return roster.dropped();
    }

    /** All that what it does next depends on but chance, with times as they are from now, for explorations. */
    public String state(long now) {
        return roster.state(now) + prober.state(now) + (nextProbe - now) + (now < quietUntil ? quietUntil - now : 0);
    }
}
