package nettletrail.tokens;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import nettletrail.tokens.Verdict.Why;

/**
 * Which requests may go by their tokens, and which tokens are asked about. No I/O and no clock: it is told what happens and
 * when, in ns since 1970 of a clock that never goes back. One thread.
 *
 * <p><b>States</b> of a token; asking is apart from them, since a good one may be asked about ahead of need:
 * <pre>
 * state    its requests                                                until
 * UNKNOWN  wait for the answer                                         an answer
 * GOOD     pass, if the grant covers them                              fresh time or exp, whichever is first: STALE, BAD
 * STALE    of classes that may: pass if the answer doesn't come soon   stale time or exp: UNKNOWN, BAD
 *          of others: wait for the answer
 * BAD      are denied                                                  bad time: UNKNOWN; revoked: the longer revoked time
 * FAILED   as STALE if it was good, else are told to come again        failed time: UNKNOWN
 * </pre>
 *
 * <p><b>Calls.</b> One is out for a token at most, however many requests wait. A good token that is used in the last part of
 * its fresh time is asked about ahead, so that none waits for it. A call goes on when the requests that wait have given up:
 * its answer fills the memory. A token revoked while it is asked about stays revoked, whatever the answer says, for that may
 * have been made before.
 *
 * <p><b>Time.</b> A request waits until so much before its deadline as it needs itself, and is answered then at once.
 * Validity is checked at each verdict, not only when the answer comes: exp and nbf with the skew allowed between clocks.
 *
 * <p><b>Memory.</b> Good and bad tokens are kept apart, each within a bound (W-TinyLFU, by Caffeine), so that a flood of
 * rubbish moves no good one out; requests that wait and tokens asked about are bounded by number, and those of one customer
 * to a part of it, so that a flood in one customer's name leaves room for the others.
 *
 * <p>Sources: RFC 7662 sections 2.2 and 4 (liveness of cached answers), RFC 6750 section 3.
 */
public final class TokensDecider {
    private static final long SECOND = 1_000_000_000L;
    /** A good token used in this last part of its fresh time is asked about ahead. */
    private static final int AHEAD = 5;
    private static final int BAD_BYTES = 100;

    /**
     * What a class of requests needs.
     *
     * @param scope that the token must have; "" for none
     * @param staleNs for how long behind its fresh time an answer may stand in for a slow server; 0 for not at all
     */
    public record Rule(String scope, long staleNs) { }

    /**
     * Times in ns, and bounds.
     *
     * @param freshNs a good answer is good for so long, or until the token's end
     * @param badNs the same for a bad one
     * @param revokedNs a token told revoked counts as such for so long; longer than any call takes
     * @param failedNs after a failed call the next for this token waits so long
     * @param patienceNs a request whose class may go by a stale answer waits so long for a fresh one
     * @param reserveNs what a request needs of its time for itself
     * @param skewNs by how much our clock and the issuer's may differ
     * @param issuer that a token must have; "" for any
     * @param audience that a token must be for; "" for any
     * @param mapsCustomer whether the grant must name the request's customer
     * @param mostGoodBytes memory for good tokens
     * @param mostBadBytes memory for others
     * @param mostWaiting requests that wait at once
     * @param mostAsking tokens asked about at once
     * @param mostPart of both bounds that one customer's requests take at most, 0 to 1
     * @param rules by the class's position
     */
    public record Terms(long freshNs, long badNs, long revokedNs, long failedNs, long patienceNs, long reserveNs, long skewNs,
            String issuer, String audience, boolean mapsCustomer, long mostGoodBytes, long mostBadBytes, int mostWaiting,
            int mostAsking, double mostPart, List<Rule> rules) {
        public Terms {
            rules = List.copyOf(rules);
        }
    }

    /**
     * A request whose token is looked at.
     *
     * @param id unique among those that wait
     * @param requestClass position in the rules
     * @param customer as the grant would name it
     * @param deadline when its client leaves, ns of the decider's clock
     */
    public record Asker(long id, TokenKey token, int requestClass, String customer, long deadline) { }

    /** What the decider asks for; only while it is told something. */
    public interface Actions {
        /**
         * Ask about a token; exactly one {@link #told} or {@link #failed} comes of it, later.
         *
         * @param first the request that it is asked for, whose customer pays for the call
         */
        void introspect(TokenKey token, Asker first);

        /** The verdict of a request that was to wait; neither {@link Verdict.Wait} nor told twice. */
        void decided(long id, Verdict verdict);

        /** Requests with this token that have not been sent on shall be turned away. */
        void revoked(TokenKey token);
    }

    /** For operators. */
    public record Status(int waiting, int asking, long good, long bad, long calls, long failures, long stale, long busy,
            long noTime, long revocations) { }

    private record Good(Grant grant, long freshUntil, long refreshFrom) { }

    private record Bad(Why why, long until) { }

    private static final class Asking {
        /** Whose request it was asked for first. */
        final String payer;
        final Map<Long, Waiter> waiters = new LinkedHashMap<>();
        boolean revoked;

        Asking(String payer) {
            this.payer = payer;
        }
    }

    /** What one customer has here; kept only while it has something. */
    private static final class Share {
        int asking;
        int waiting;
    }

    /** One that waits, and until when. */
    private record Waiter(Asker asker, long until, long order) { }

    private final Terms terms;
    private final Actions actions;
    private final Cache<TokenKey, Good> good;
    private final Cache<TokenKey, Bad> bad;
    private final Map<TokenKey, Asking> asking = new HashMap<>();
    /** A tree, not a heap: an answer takes out all who waited for it, wherever in the order they stand. */
    private final TreeSet<Waiter> due = new TreeSet<>(Comparator.comparingLong(Waiter::until).thenComparingLong(Waiter::order));
    private final Map<String, Share> shares = new HashMap<>();
    private int waiting;
    private long order;
    private long calls;
    private long failures;
    private long stale;
    private long busy;
    private long noTime;
    private long revocations;

    public TokensDecider(Terms terms, Actions actions) {
        this.terms = terms;
        this.actions = actions;
        // Evictions are done by whoever is in a call of it: no thread, and no clock, of its own.
        good = Caffeine.newBuilder().executor(Runnable::run).maximumWeight(terms.mostGoodBytes())
                .weigher((TokenKey key, Good each) -> each.grant().bytes()).build();
        bad = Caffeine.newBuilder().executor(Runnable::run).maximumSize(Math.max(1, terms.mostBadBytes() / BAD_BYTES)).build();
    }

    // ---- A request -----------------------------------------------------------------------------------------

    /**
     * May this request go? Asked when it comes, and again before each further attempt. A verdict to wait is followed by
     * {@link Actions#decided}, unless the request {@link #left}.
     */
    public Verdict ask(long now, Asker asker) {
        TokenKey token = asker.token();
        Bad known = bad.getIfPresent(token);
        if (known != null && now < known.until() && known.why() != Why.UNAVAILABLE) {
            return new Verdict.Denied(known.why(), "");
        }
        Good had = good.getIfPresent(token);
        if (had != null && lapsed(had.grant(), now) == Why.EXPIRED) {
            good.invalidate(token);
            remember(token, Why.EXPIRED, now + terms.badNs());
            return new Verdict.Denied(Why.EXPIRED, "");
        }
        if (had != null && now < had.freshUntil()) {
            if (now >= had.refreshFrom() && !holdsOff(token, now)) {
                call(token, asker);
            }
            return judged(had.grant(), asker, now, false);
        }
        return later(now, asker, had);
    }

    /** It is not known, or no longer: the request waits, if there is somebody to wait for and time for it. */
    private Verdict later(long now, Asker asker, Good had) {
        TokenKey token = asker.token();
        if (holdsOff(token, now)) {
            return staleOr(now, asker, had, Why.UNAVAILABLE, bad.getIfPresent(token).until() - now);
        }
        long last = asker.deadline() - terms.reserveNs();
        if (last <= now) {
            noTime++;
            return staleOr(now, asker, had, Why.NO_TIME, 0);
        }
        Share share = shares.get(asker.customer());
        boolean full = waiting >= terms.mostWaiting() || share != null && share.waiting >= part(terms.mostWaiting());
        if (full || !call(token, asker)) {
            busy++;
            return staleOr(now, asker, had, Why.BUSY, terms.failedNs());
        }
        long until = mayBeStale(now, asker, had) ? Math.min(last, now + terms.patienceNs()) : last;
        Waiter waiter = new Waiter(asker, until, order++);
        asking.get(token).waiters.put(asker.id(), waiter);
        due.add(waiter);
        waiting++;
        shares.computeIfAbsent(asker.customer(), name -> new Share()).waiting++;
        return new Verdict.Wait();
    }

    /** The request that waits has ended otherwise; nothing is told of it any more. */
    public void left(TokenKey token, long id) {
        Asking call = asking.get(token);
        Waiter waiter = call == null ? null : call.waiters.remove(id);
        if (waiter != null) {
            noLongerWaits(waiter);
        }
    }

    private void noLongerWaits(Waiter waiter) {
        due.remove(waiter);
        waiting--;
        String customer = waiter.asker().customer();
        shares.get(customer).waiting--;
        dropIfEmpty(customer);
    }

    private void dropIfEmpty(String customer) {
        Share share = shares.get(customer);
        if (share.asking == 0 && share.waiting == 0) {
            shares.remove(customer);
        }
    }

    private int part(int bound) {
        return (int) Math.max(1, Math.ceil(bound * terms.mostPart()));
    }

    /** The call for this token is over; null if none was out. */
    private Asking over(TokenKey token) {
        Asking call = asking.remove(token);
        if (call != null) {
            shares.get(call.payer).asking--;
            dropIfEmpty(call.payer);
        }
        return call;
    }

    private boolean mayBeStale(long now, Asker asker, Good had) {
        return had != null && now < had.freshUntil() + terms.rules().get(asker.requestClass()).staleNs();
    }

    /** By the answer that is no longer fresh, where the request's class may; else nobody knows, for this reason. */
    private Verdict staleOr(long now, Asker asker, Good had, Why why, long retryAfterNs) {
        return mayBeStale(now, asker, had) ? judged(had.grant(), asker, now, true) : new Verdict.Unknown(why, retryAfterNs);
    }

    private boolean holdsOff(TokenKey token, long now) {
        Bad failed = bad.getIfPresent(token);
        return failed != null && failed.why() == Why.UNAVAILABLE && now < failed.until();
    }

    /** Whether one is out for it now. */
    private boolean call(TokenKey token, Asker first) {
        if (asking.containsKey(token)) {
            return true;
        }
        Share share = shares.computeIfAbsent(first.customer(), name -> new Share());
        if (asking.size() >= terms.mostAsking() || share.asking >= part(terms.mostAsking())) {
            dropIfEmpty(first.customer());
            return false;
        }
        share.asking++;
        asking.put(token, new Asking(first.customer()));
        calls++;
        actions.introspect(token, first);
        return true;
    }

    // ---- What a grant is worth -----------------------------------------------------------------------------

    private Verdict judged(Grant grant, Asker asker, long now, boolean isStale) {
        Why why = lapsed(grant, now);
        String scope = terms.rules().get(asker.requestClass()).scope();
        if (why == null && !terms.issuer().isEmpty() && !terms.issuer().equals(grant.issuer())) {
            why = Why.ISSUER;
        }
        if (why == null && !terms.audience().isEmpty() && !grant.audience().contains(terms.audience())) {
            why = Why.AUDIENCE;
        }
        if (why == null && !scope.isEmpty() && !grant.scopes().contains(scope)) {
            return new Verdict.Denied(Why.SCOPE, scope);
        }
        if (why == null && terms.mapsCustomer() && !grant.customer().equals(asker.customer())) {
            why = Why.CUSTOMER;
        }
        if (why != null) {
            return new Verdict.Denied(why, "");
        }
        stale += isStale ? 1 : 0;
        return new Verdict.Pass(grant, isStale);
    }

    /** By its times; null if it is good now. */
    private Why lapsed(Grant grant, long now) {
        long skewS = terms.skewNs() / SECOND;
        long nowS = now / SECOND;
        if (grant.expiresAtS() != Long.MAX_VALUE && nowS >= grant.expiresAtS() + skewS) {
            return Why.EXPIRED;
        }
        return grant.notBeforeS() != Long.MIN_VALUE && nowS < grant.notBeforeS() - skewS ? Why.NOT_YET : null;
    }

    private void remember(TokenKey token, Why why, long until) {
        bad.put(token, new Bad(why, until));
    }

    // ---- Answers -------------------------------------------------------------------------------------------

    /** The server's word on a token. */
    public void told(long now, TokenKey token, Introspected answer) {
        if (answer instanceof Introspected.Unusable) {
            failed(now, token);
            return;
        }
        Asking call = over(token);
        if (call == null) {
            return;
        }
        if (!call.revoked && answer instanceof Introspected.Active active) {
            Grant grant = active.grant();
            Why lapsed = lapsed(grant, now);
            if (lapsed != null) {
                good.invalidate(token);
                remember(token, lapsed, now + terms.badNs());
                denyAll(call, lapsed);
                return;
            }
            bad.invalidate(token);
            good.put(token, new Good(grant, now + terms.freshNs(), now + terms.freshNs() / AHEAD * (AHEAD - 1)));
            for (Waiter each : ended(call)) {
                actions.decided(each.asker().id(), judged(grant, each.asker(), now, false));
            }
            return;
        }
        boolean hadBeenGood = good.getIfPresent(token) != null;
        good.invalidate(token);
        Bad known = bad.getIfPresent(token);
        if (!call.revoked || known == null || known.until() < now + terms.badNs()) {
            remember(token, call.revoked ? Why.REVOKED : Why.INACTIVE, now + terms.badNs());
        }
        denyAll(call, call.revoked ? Why.REVOKED : Why.INACTIVE);
        if (hadBeenGood) {
            actions.revoked(token); // found out by asking ahead: as good as told
        }
    }

    private void denyAll(Asking call, Why why) {
        for (Waiter each : ended(call)) {
            actions.decided(each.asker().id(), new Verdict.Denied(why, ""));
        }
    }

    /** Nobody waits for it any more; those who did, in the order in which they came. */
    private List<Waiter> ended(Asking call) {
        List<Waiter> waiters = new ArrayList<>(call.waiters.values());
        call.waiters.clear();
        waiters.forEach(this::noLongerWaits);
        return waiters;
    }

    /** No answer that could be used came of the call. */
    public void failed(long now, TokenKey token) {
        Asking call = over(token);
        if (call == null) {
            return;
        }
        failures++;
        if (call.revoked) {
            denyAll(call, Why.REVOKED);
            return;
        }
        remember(token, Why.UNAVAILABLE, now + terms.failedNs());
        Good had = good.getIfPresent(token);
        for (Waiter each : ended(call)) {
            actions.decided(each.asker().id(), staleOr(now, each.asker(), had, Why.UNAVAILABLE, terms.failedNs()));
        }
    }

    /** The authority says that a token is no longer good. */
    public void revoked(long now, TokenKey token) {
        revocations++;
        good.invalidate(token);
        remember(token, Why.REVOKED, now + terms.revokedNs());
        Asking call = asking.get(token);
        if (call != null) {
            call.revoked = true;
            denyAll(call, Why.REVOKED);
        }
        actions.revoked(token);
    }

    // ---- Time ----------------------------------------------------------------------------------------------

    /** When {@link #tick} is wanted next; {@link Long#MAX_VALUE} if nobody waits. */
    public long nextDue() {
        Waiter first = due.isEmpty() ? null : due.first();
        return first == null ? Long.MAX_VALUE : first.until();
    }

    /** Those whose time to wait is over go by a stale answer or are given up. */
    public void tick(long now) {
        while (nextDue() <= now) {
            Asker asker = due.first().asker();
            left(asker.token(), asker.id());
            Good had = good.getIfPresent(asker.token());
            noTime += mayBeStale(now, asker, had) ? 0 : 1;
            actions.decided(asker.id(), staleOr(now, asker, had, Why.NO_TIME, 0));
        }
    }

    public Status status() {
        return new Status(waiting, asking.size(), good.estimatedSize(), bad.estimatedSize(), calls, failures, stale, busy,
                noTime, revocations);
    }
}
