package nettletrail.tokens;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettletrail.tokens.TokensDecider.Asker;
import nettletrail.tokens.TokensDecider.Rule;
import nettletrail.tokens.TokensDecider.Terms;

/** A decider in virtual time, with what must hold at every step checked at every step. */
final class TokensRun implements TokensDecider.Actions {
    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;
    static final long START = 1_800_000_000L * SECOND;
    /** 0: any scope, nothing stale; 1: needs "order", may be stale for 30 s. */
    static final List<Rule> RULES = List.of(new Rule("", 0), new Rule("order", 30 * SECOND));
    static final Terms TERMS = new Terms(10 * SECOND, 2 * SECOND, 60 * SECOND, 250 * MS, 100 * MS, 200 * MS, 30 * SECOND, "",
            "", true, 1 << 20, 1 << 20, 20_000, 20_000, 1, RULES);

    final Terms terms;
    final TokensDecider decider;
    long now = START;
    /** Calls out: for which token, sent when. */
    final Map<TokenKey, Long> out = new LinkedHashMap<>();
    final Map<Long, Asker> waiting = new LinkedHashMap<>();
    /** Verdicts that were told later than at the ask. */
    final Map<Long, Verdict> decided = new HashMap<>();
    final List<TokenKey> turnedAway = new ArrayList<>();
    private final Map<TokenKey, Grant> lastGood = new HashMap<>();
    private final Map<TokenKey, Long> lastGoodAt = new HashMap<>();
    private final Map<TokenKey, Long> revokedAt = new HashMap<>();
    int calls;
    private long lastId;

    TokensRun(Terms terms) {
        this.terms = terms;
        decider = new TokensDecider(terms, this);
    }

    static TokenKey key(int number) {
        return new TokenKey(number, ~number);
    }

    static Grant grant(String scope, String customer, long expiresAtS) {
        return new Grant(scope.isEmpty() ? Set.of() : Set.of(scope), "client", "subject", "", Set.of(), customer, expiresAtS,
                Long.MIN_VALUE);
    }

    static Introspected active(String scope, String customer) {
        return new Introspected.Active(grant(scope, customer, Long.MAX_VALUE));
    }

    Verdict ask(TokenKey token, int requestClass, String customer, long patienceNs) {
        Asker asker = new Asker(++lastId, token, requestClass, customer, now + patienceNs);
        Verdict verdict = decider.ask(now, asker);
        if (verdict instanceof Verdict.Wait) {
            waiting.put(asker.id(), asker);
            assertTrue(out.containsKey(token), "who waits, waits for a call");
        } else {
            check(asker, verdict);
        }
        long mine = waiting.values().stream().filter(each -> each.customer().equals(customer)).limit(100).count();
        assertTrue(mine >= 100 || mine <= Math.ceil(terms.mostWaiting() * terms.mostPart()), mine + " of one customer wait");
        assertTrue(decider.status().waiting() <= terms.mostWaiting() && decider.status().asking() <= terms.mostAsking());
        return verdict;
    }

    long lastId() {
        return lastId;
    }

    @Override
    public void introspect(TokenKey token, Asker first) {
        assertNull(out.put(token, now), "one call out for a token");
        calls++;
    }

    @Override
    public void decided(long id, Verdict verdict) {
        Asker asker = waiting.remove(id);
        assertNotNull(asker, "told once, and only to who waits");
        assertFalse(verdict instanceof Verdict.Wait);
        assertTrue(now <= asker.deadline() - terms.reserveNs(), "in time for the request itself");
        check(asker, verdict);
        decided.put(id, verdict);
    }

    @Override
    public void revoked(TokenKey token) {
        turnedAway.add(token);
    }

    /** Whoever passes has a grant from an answer young enough, not revoked since, and valid now. */
    private void check(Asker asker, Verdict verdict) {
        if (!(verdict instanceof Verdict.Pass pass)) {
            return;
        }
        Grant grant = lastGood.get(asker.token());
        assertEquals(grant, pass.grant(), "by the last answer");
        Rule rule = RULES.get(asker.requestClass());
        long age = now - lastGoodAt.get(asker.token());
        assertTrue(age < terms.freshNs() + (pass.stale() ? rule.staleNs() : 0), "an answer " + age / MS + " ms old");
        Long gone = revokedAt.get(asker.token());
        assertTrue(gone == null || lastGoodAt.get(asker.token()) >= gone, "revoked");
        assertTrue(grant.expiresAtS() == Long.MAX_VALUE || now / SECOND < grant.expiresAtS() + terms.skewNs() / SECOND, "expired");
        assertTrue(rule.scope().isEmpty() || grant.scopes().contains(rule.scope()), "scope");
        assertEquals(asker.customer(), grant.customer());
    }

    void answer(TokenKey token, Introspected answer) {
        Long sent = out.remove(token);
        assertNotNull(sent);
        Long gone = revokedAt.get(token);
        if (answer instanceof Introspected.Active active && (gone == null || sent > gone)) {
            lastGood.put(token, active.grant());
            lastGoodAt.put(token, now);
        }
        if (answer instanceof Introspected.Inactive) {
            lastGood.remove(token);
        }
        decider.told(now, token, answer);
    }

    void fail(TokenKey token) {
        assertNotNull(out.remove(token));
        decider.failed(now, token);
    }

    void revoke(TokenKey token) {
        revokedAt.put(token, now);
        decider.revoked(now, token);
    }

    void leave(long id) {
        Asker asker = waiting.remove(id);
        decider.left(asker.token(), id);
    }

    /** Time passes; the decider is woken when it asked to be. */
    void pass(long ns) {
        long until = now + ns;
        while (decider.nextDue() <= until) {
            now = Math.max(now, decider.nextDue());
            decider.tick(now);
        }
        now = until;
    }
}
