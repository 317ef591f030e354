package nettletrail.members;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import nettletrail.core.Members.Life;
import nettletrail.members.Change.Kind;
import nettletrail.members.Message.Datagram;
import nettletrail.members.Statement.State;

/**
 * Who this member is, whom it knows and what it believes of each: statements and rows are taken in here, told on, and what
 * changes by them is told to whoever asks for it. The states and what moves between them are in {@link MembersDecider}.
 */
final class Roster {
    /** Confirmations that a suspicion is worth; of n members each asks the accused with this part of 1/n. */
    private static final double CONFIRMERS = 6;

    final Terms terms;
    final SplittableRandom random;
    final Health health;
    final Map<String, Peer> peers = new LinkedHashMap<>();
    /** Accused that this member will ask itself, and when. */
    final Map<Life, Long> confirm = new LinkedHashMap<>();
    private final MembersDecider.Actions actions;
    private final String address;
    private final Gossip gossip = new Gossip();
    private final Reach reach = new Reach();
    private final List<String> round = new ArrayList<>();
    private Set<String> kept = Set.of();
    private Life self;
    private int incarnation;
    private boolean cut;
    private boolean leaving;
    private boolean superseded;
    private long dropped;
    private Runnable renewed = () -> { };

    Roster(Terms terms, Life self, String address, SplittableRandom random, long now, MembersDecider.Actions actions) {
        this.terms = terms;
        this.self = self;
        this.address = address;
        this.random = random;
        this.actions = actions;
        health = new Health(terms, now);
    }

    /** Run when this member goes by a new life. */
    void whenRenewed(Runnable run) {
        renewed = run;
    }

    /** The next of a round in random order; a new round when all had their turn. */
    Peer next() {
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

    // ---- Taken in ------------------------------------------------------------------------------------------

    void apply(Row row) {
        Peer observer = peers.get(row.observer().name());
        if (observer != null && observer.life().equals(row.observer()) && reach.apply(row)) {
            gossip.add(row);
        }
    }

    void apply(Statement told, long now) {
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
    void renew(long least, long now) {
        self = new Life(self.name(), Math.max(least, self.number() + 1));
        incarnation = 0;
        superseded = false;
        reach.forgetOwn();
        gossip.add(own());
        renewed.run();
        actions.told(Change.of(Kind.RENEWED, self));
    }

    /** It gets no answer from anyone, or does again. */
    void cut(boolean now) {
        cut = now;
        if (!now) {
            raise();
        }
        actions.told(Change.of(now ? Kind.DOUBT : Kind.TRUST, self));
    }

    /** A newer incarnation of this member, which refutes all that was said of older ones. */
    void raise() {
        incarnation++;
        gossip.add(own());
    }

    /** This life ends; what others are to be told. */
    Statement leave() {
        leaving = true;
        Statement left = new Statement(self, incarnation, State.LEFT, address, false, "");
        gossip.add(left);
        return left;
    }

    /** Another accuser of one that is accused already. */
    void accused(Peer peer) {
        if (peer.suspicion.confirm(self.name())) {
            gossip.add(peer.statement.accused(State.SUSPECT, self.name()));
        }
    }

    /** Drops what was gone for long enough. */
    void forget(long now) {
        peers.values().removeIf(each -> {
            boolean over = !each.there() && !kept.contains(each.name()) && now - each.since >= terms.forgetNs();
            if (over) {
                gossip.forget(each.name());
                reach.forget(each.name());
            }
            return over;
        });
    }

    /** Names that are not forgotten, however long they are gone: an agreed view holds them. */
    void keep(Collection<String> names) {
        kept = Set.copyOf(names);
    }

    // ---- Sent out ------------------------------------------------------------------------------------------

    void send(Peer to, Message what) {
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

    void link(Peer to, boolean out, boolean in) {
        if (to.outBroken != out || to.inBroken != in) {
            to.outBroken = out;
            to.inBroken = in;
            gossip.add(reach.own(self, peers.values()));
        }
    }

    /** Whether one of the two tells that their link is broken, in either direction. */
    boolean broken(String one, String other) {
        return reach.broken(one, other);
    }

    /** Whether there is something that others may not have heard yet. */
    boolean hasNews() {
        return gossip.size() > 0;
    }

    /** In random order. */
    List<Peer> shuffled(Predicate<Peer> which) {
        List<Peer> all = new ArrayList<>();
        for (Peer each : peers.values()) {
            if (which.test(each)) {
                all.add(random.nextInt(all.size() + 1), each);
            }
        }
        return all;
    }

    // ---- Known ---------------------------------------------------------------------------------------------

    Statement own() {
        return Statement.alive(self, incarnation, address, cut);
    }

    int there() {
        return (int) peers.values().stream().filter(Peer::there).count();
    }

    int members() {
        return there() + 1;
    }

    /** Statements on all that it knows of, its own first. */
    List<Statement> statements() {
        List<Statement> all = new ArrayList<>();
        if (!superseded && !leaving) {
            all.add(own());
        }
        peers.values().forEach(each -> all.add(each.statement));
        return all;
    }

    /** Rows of all observers, its own among them. */
    List<Row> rows() {
        return reach.all(self);
    }

    Life self() {
        return self;
    }

    boolean cut() {
        return cut;
    }

    boolean leaving() {
        return leaving;
    }

    boolean superseded() {
        return superseded;
    }

    long dropped() {
        return dropped;
    }

    String state(long now) {
        StringBuilder text = new StringBuilder().append(self).append(incarnation).append(cut).append(leaving)
                .append(superseded).append(health.score()).append(round);
        for (Peer each : peers.values()) {
            text.append(each.statement).append(now - each.heardAt).append(each.outBroken).append(each.inBroken);
            if (each.suspicion != null) {
                text.append(each.suspicion.endsAt() - now);
            }
        }
        return text.append(confirm.keySet()).toString();
    }
}
