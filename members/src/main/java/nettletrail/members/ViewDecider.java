package nettletrail.members;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import nettletrail.core.Membership.MemberIncarnation;
import nettletrail.core.Membership.View;
import nettletrail.members.Agree.Ballot;

/**
 * Who is surely there: a sequence of views, each a set of lives that members agreed on by the one before it. A life that one
 * view holds and the next doesn't is surely gone as far as anybody may act for it. No I/O, no clock of its own. One thread.
 *
 * <p><b>Agreement.</b> The successor of a view is one decree of Paxos (Lamport 1998) among its lives: a majority promises, a
 * majority accepts. A life is a process: who starts again has another life and is no acceptor, so that nobody ever answers
 * from a memory that it lost. So a view has one successor, and a minority agrees on nothing.
 *
 * <p><b>Where no majority of the last view lives any more</b> (or there never was a view), <em>all</em> names there are, and
 * {@link #doors} at least, must promise, by the lives that they have now: among them is every life that could have accepted
 * something and still lives. A name that isn't there then stops the agreement until it is, or says that it leaves: what a
 * door that can't be asked has accepted is not known.
 *
 * <p><b>Who proposes, and when.</b> The first of those that are there, by name; the r-th waits for r steps more. A life is
 * dropped once it was likely gone for {@link #GONE_NS} here, and taken in once it was there for {@link #JOIN_NS}. Whoever had
 * an answer from a life of late refuses a view without it: a proposer whose own links are bad can't drop others.
 *
 * <pre>
 * IDLE       the view wanted differs from the last for the proposer's turn: PREPARING
 * PREPARING  a quorum promised: ACCEPTING (the value accepted at the highest ballot, else the one wanted)
 * ACCEPTING  a quorum accepted: decided, told to all, IDLE
 * any        a refusal or no quorum in {@link #TRY_NS}: IDLE for a random time; a newer view is heard of: IDLE
 * </pre>
 */
public final class ViewDecider {
    /** Likely gone for so long before it is proposed to do without it. */
    static final long GONE_NS = 1_000_000_000L;
    static final long JOIN_NS = 300_000_000L;
    /** Between the turns of two proposers. */
    static final long STEP_NS = 500_000_000L;
    static final long TRY_NS = 1_000_000_000L;
    /** The gap in numbers where all agreed in place of a majority. */
    static final long GAP = 1_000;

    /** What the decider asks for, while it is told something. */
    public interface Actions {
        /** Says it to this life; {@link #answered} may come of it. */
        void say(MemberIncarnation to, Agree what);

        /**
         * A view is known that wasn't.
         *
         * @param gone lives of the one known before that it doesn't hold
         * @param in whether it holds this member's life
         */
        void decided(View view, List<MemberIncarnation> gone, boolean in);

        /** This member's life was in a view and is not in the next: others may act for it. It needs a new life. */
        void expelled();

        /** Two views of one number: never, as long as names are unique and {@link #doors} is no less than there are. */
        void contradiction(View one, View other);
    }

    private enum Phase { IDLE, PREPARING, ACCEPTING }

    private final Actions actions;
    private final Sight sight;
    private final int doors;
    private final SplittableRandom random;
    private MemberIncarnation self;
    private View last = View.NONE;
    // As acceptor, for number last + 1.
    private Ballot promised;
    private Ballot acceptedAt;
    private View accepted;
    // As proposer.
    private Phase phase = Phase.IDLE;
    private Ballot ballot;
    private int round;
    private View value;
    private Set<MemberIncarnation> electors = Set.of();
    private int needed;
    private final Map<MemberIncarnation, Agree.Promise> promises = new LinkedHashMap<>();
    private final Set<MemberIncarnation> acceptances = new HashSet<>();
    private long triedAt;
    private long notBefore;
    private long differsSince = -1;

    /** @param doors names in the installation, at least */
    public ViewDecider(MemberIncarnation self, int doors, Sight sight, long seed, Actions actions) {
        this.self = self;
        this.doors = doors;
        this.sight = sight;
        this.actions = actions;
        random = new SplittableRandom(seed);
    }

    // ---- As proposer ---------------------------------------------------------------------------------------

    /** To be called now and then, each 100 ms or so. */
    public void tick(long now) {
        if (phase != Phase.IDLE && now - triedAt >= TRY_NS) {
            giveUp(now);
        }
        List<MemberIncarnation> there = sight.there(JOIN_NS);
        List<MemberIncarnation> wanted = wanted(there);
        if (wanted.equals(last.incarnations()) || !there.contains(self)) {
            differsSince = -1;
            return;
        }
        differsSince = differsSince < 0 ? now : differsSince;
        int turn = turn(there);
        if (phase == Phase.IDLE && turn >= 0 && now - differsSince >= turn * STEP_NS && now >= notBefore) {
            propose(now, there, wanted);
        }
    }

    /** The view that this member would have: the last, without whom is gone, with whom is there. */
    private List<MemberIncarnation> wanted(List<MemberIncarnation> there) {
        Set<MemberIncarnation> wanted = new HashSet<>();
        for (MemberIncarnation each : last.incarnations()) {
            if (!sight.gone(each, GONE_NS)) {
                wanted.add(each);
            }
        }
        wanted.addAll(there);
        return wanted.stream().sorted().toList();
    }

    /** Which this member is in the row of proposers, or below 0: who is in no view proposes only where there is none. */
    private int turn(List<MemberIncarnation> there) {
        List<MemberIncarnation> row = there.stream().filter(each -> majorityLives(there) ? last.contains(each) : true)
                .sorted().toList();
        return row.indexOf(self);
    }

    private boolean majorityLives(List<MemberIncarnation> there) {
        return last.number() > 0 && last.incarnations().stream().filter(there::contains).count() >= last.majority();
    }

    private void propose(long now, List<MemberIncarnation> there, List<MemberIncarnation> wanted) {
        boolean majority = majorityLives(there);
        if (majority) {
            electors = Set.copyOf(last.incarnations());
            needed = last.majority();
        } else {
            Set<String> names = new HashSet<>();
            there.forEach(each -> names.add(each.name()));
            if (names.size() < doors || !names.containsAll(sight.names())) {
                return;
            }
            electors = Set.copyOf(there);
            needed = there.size();
        }
        triedAt = now;
        phase = Phase.PREPARING;
        ballot = new Ballot(++round, self);
        value = new View(majority ? last.number() + 1 : numberOfAll(wanted), wanted);
        promises.clear();
        acceptances.clear();
        sayAll(new Agree.Prepare(ballot, last));
    }

    /**
     * Higher than any before, also where nobody remembers one: lives grow with the time of their start. It leaves a gap: word
     * of a successor that only the dead accepted, still on its way, comes too late to count.
     */
    private long numberOfAll(List<MemberIncarnation> lives) {
        return Math.max(last.number() + GAP, lives.stream().mapToLong(MemberIncarnation::number).max().orElse(0));
    }

    private void sayAll(Agree what) {
        for (MemberIncarnation each : electors.stream().sorted().toList()) {
            if (each.equals(self)) {
                Agree mine = heard(self, what);
                if (mine != null) {
                    answered(self, mine, triedAt);
                }
            } else {
                actions.say(each, what);
            }
        }
    }

    private void giveUp(long now) {
        phase = Phase.IDLE;
        notBefore = now + random.nextLong(TRY_NS);
    }

    /** An answer to what was said before. */
    public void answered(MemberIncarnation from, Agree answer, long now) {
        if (answer instanceof Agree.Refusal refusal) {
            refused(refusal, now);
        } else if (answer instanceof Agree.Promise promise) {
            if (phase == Phase.PREPARING && promise.ballot().equals(ballot) && promise.after() == last.number()
                    && electors.contains(from) && promises.put(from, promise) == null && promises.size() == needed) {
                accept();
            }
        } else if (answer instanceof Agree.Accepted) {
            Agree.Accepted yes = (Agree.Accepted) answer;
            if (phase == Phase.ACCEPTING && yes.ballot().equals(ballot) && yes.after() == last.number()
                    && electors.contains(from) && acceptances.add(from) && acceptances.size() == needed) {
                decided();
            }
        }
    }

    private void accept() {
        phase = Phase.ACCEPTING;
        Agree.Promise highest = null;
        for (Agree.Promise each : promises.values()) {
            if (each.acceptedAt() != null && (highest == null
                    || each.acceptedAt().compareTo(highest.acceptedAt()) > 0)) {
                highest = each;
            }
        }
        if (highest != null) {
            value = highest.accepted(); // it may have been agreed already
        }
        sayAll(new Agree.Accept(ballot, last, value, highest != null));
    }

    private void decided() {
        View next = value;
        Set<MemberIncarnation> all = new HashSet<>(electors);
        all.addAll(next.incarnations());
        all.addAll(sight.there(0));
        all.remove(self);
        learn(next);
        for (MemberIncarnation each : all.stream().sorted().toList()) {
            actions.say(each, new Agree.Decided(next));
        }
    }

    private void refused(Agree.Refusal refusal, long now) {
        learn(refusal.last());
        if (phase != Phase.IDLE && refusal.ballot().equals(ballot)) {
            if (refusal.promised() != null) {
                round = Math.max(round, refusal.promised().round());
                giveUp(now);
            }
        }
    }

    // ---- As acceptor ---------------------------------------------------------------------------------------

    /** What another says; the answer, or null for none. */
    public Agree heard(MemberIncarnation from, Agree what) {
        if (what instanceof Agree.Prepare prepare) {
            learn(prepare.last());
            if (prepare.after() != last.number() || promised != null && prepare.ballot().compareTo(promised) < 0) {
                return new Agree.Refusal(prepare.after(), prepare.ballot(), promised, null, last);
            }
            promised = prepare.ballot();
            return new Agree.Promise(prepare.after(), promised, acceptedAt, accepted);
        }
        if (what instanceof Agree.Accept accept) {
            learn(accept.last());
            if (accept.after() != last.number() || accept.next().number() <= last.number() || promised != null && accept.ballot().compareTo(promised) < 0) {
                return new Agree.Refusal(accept.after(), accept.ballot(), promised, null, last);
            }
            for (MemberIncarnation each : last.incarnations()) {
                if (!accept.bound() && !accept.next().contains(each) && sight.well(each)) {
                    return new Agree.Refusal(accept.after(), accept.ballot(), null, each, last);
                }
            }
            promised = accept.ballot();
            acceptedAt = accept.ballot();
            accepted = accept.next();
            return new Agree.Accepted(accept.after(), acceptedAt);
        }
        if (what instanceof Agree.Decided decided) {
            learn(decided.view());
        }
        return null;
    }

    /** A view that was agreed, heard of in whatever way. */
    public void learn(View view) {
        if (view.number() == last.number() && view.number() > 0 && !view.equals(last)) {
            actions.contradiction(last, view);
        }
        if (view.number() <= last.number()) {
            return;
        }
        View before = last;
        last = view;
        promised = null;
        acceptedAt = null;
        accepted = null;
        phase = Phase.IDLE;
        differsSince = -1;
        round = 0;
        List<MemberIncarnation> gone = new ArrayList<>(before.incarnations());
        gone.removeAll(view.incarnations());
        actions.decided(view, gone, view.contains(self));
        if (before.contains(self) && !view.contains(self)) {
            actions.expelled();
        }
    }

    /** This member goes by a new life, which no view holds. What the process accepted it goes on to remember. */
    public void renewed(MemberIncarnation life) {
        self = life;
        phase = Phase.IDLE;
    }

    /** The last view that is known. */
    public View view() {
        return last;
    }

    /** Whether this member's life is in it. */
    public boolean in() {
        return last.contains(self);
    }
}
