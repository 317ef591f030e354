package nettletrail.tokens;

import static nettletrail.tokens.TokensRun.MS;
import static nettletrail.tokens.TokensRun.SECOND;
import static nettletrail.tokens.TokensRun.active;
import static nettletrail.tokens.TokensRun.grant;
import static nettletrail.tokens.TokensRun.key;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import nettletrail.tokens.TokensDecider.Terms;
import nettletrail.tokens.Verdict.Why;
import org.junit.jupiter.api.Test;

class TokensDeciderTest {
    private static final TokenKey TOKEN = key(1);
    private static final Introspected ORDER = active("order", "c");

    private final TokensRun run = new TokensRun(TokensRun.TERMS);

    private Verdict ask() {
        return run.ask(TOKEN, 1, "c", 3 * SECOND);
    }

    private void good() {
        assertInstanceOf(Verdict.Wait.class, ask());
        run.answer(TOKEN, ORDER);
        assertInstanceOf(Verdict.Pass.class, run.decided.get(run.lastId()));
    }

    private static void denied(Why why, Verdict verdict) {
        assertEquals(why, assertInstanceOf(Verdict.Denied.class, verdict).why());
    }

    private static void unknown(Why why, Verdict verdict) {
        assertEquals(why, assertInstanceOf(Verdict.Unknown.class, verdict).why());
    }

    /** Hard case 1. */
    @Test
    void anAnswerAfterTheDeadlineFillsTheMemoryAndAnswersNobodyTwice() {
        run.ask(TOKEN, 1, "c", 500 * MS);
        long late = run.lastId();
        run.pass(299 * MS);
        assertTrue(run.decided.isEmpty());
        run.pass(SECOND);
        unknown(Why.NO_TIME, run.decided.get(late));
        run.answer(TOKEN, ORDER);
        assertEquals(1, run.decided.size());
        assertInstanceOf(Verdict.Pass.class, ask());
        assertEquals(1, run.calls);
    }

    @Test
    void whoHasNoTimeForTheOrderItselfIsAnsweredAtOnceAndCallsNobody() {
        unknown(Why.NO_TIME, run.ask(TOKEN, 1, "c", 200 * MS));
        assertEquals(0, run.calls);
    }

    /** Hard case 2: what waits is told, what asks again is denied, and the answer under way changes nothing. */
    @Test
    void aRevokedTokenStaysRevokedWhateverAnOlderAnswerSays() {
        good();
        run.revoke(TOKEN);
        assertEquals(List.of(TOKEN), run.turnedAway);
        denied(Why.REVOKED, ask());
        TokenKey other = key(2);
        run.ask(other, 1, "c", 3 * SECOND);
        long waits = run.lastId();
        run.revoke(other);
        denied(Why.REVOKED, run.decided.get(waits));
        run.answer(other, ORDER);
        denied(Why.REVOKED, run.ask(other, 1, "c", 3 * SECOND));
        run.pass(61 * SECOND);
        assertInstanceOf(Verdict.Wait.class, ask(), "asked anew when that is over");
    }

    @Test
    void aRevocationFoundOutByAskingAheadTurnsAwayWhatWaitsToBeSent() {
        good();
        run.pass(9 * SECOND);
        assertInstanceOf(Verdict.Pass.class, ask());
        assertEquals(2, run.calls, "asked ahead");
        run.answer(TOKEN, new Introspected.Inactive());
        assertEquals(List.of(TOKEN), run.turnedAway);
        denied(Why.INACTIVE, ask());
    }

    /** Hard case 3. */
    @Test
    void tenThousandWithOneTokenMakeOneCallAndTenThousandTokensAreBounded() {
        List<Long> all = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            ask();
            all.add(run.lastId());
        }
        assertEquals(1, run.calls);
        run.answer(TOKEN, ORDER);
        all.forEach(id -> assertInstanceOf(Verdict.Pass.class, run.decided.get(id)));

        Terms few = new Terms(10 * SECOND, 2 * SECOND, 60 * SECOND, 250 * MS, 100 * MS, 200 * MS, 0, "", "", true, 1 << 20,
                1 << 20, 5_000, 256, 1, TokensRun.RULES);
        TokensRun flood = new TokensRun(few);
        int busy = 0;
        for (int i = 0; i < 10_000; i++) {
            busy += flood.ask(key(i), 1, "c", 3 * SECOND) instanceof Verdict.Unknown ? 1 : 0;
        }
        assertEquals(256, flood.calls);
        assertEquals(10_000 - 256, busy, "told at once to come again");
    }

    @Test
    void aFloodOfRubbishMovesNoGoodTokenOut() {
        for (int i = 0; i < 100; i++) {
            run.ask(key(i), 1, "c", 3 * SECOND);
            run.answer(key(i), ORDER);
        }
        for (int i = 1_000; i < 51_000; i++) {
            run.ask(key(i), 1, "c", 3 * SECOND);
            run.answer(key(i), new Introspected.Inactive());
        }
        int calls = run.calls;
        for (int i = 0; i < 100; i++) {
            assertInstanceOf(Verdict.Pass.class, run.ask(key(i), 1, "c", 3 * SECOND));
        }
        assertEquals(calls, run.calls);
        assertTrue(run.decider.status().bad() <= (1 << 20) / 100, run.decider.status().toString());
    }

    /** Hard case 3, its last part: a flood in one customer's name leaves room for the others, in calls and in waiting. */
    @Test
    void aFloodOfRubbishInOneCustomersNameStarvesNobodyElse() {
        TokensRun flood = new TokensRun(new Terms(10 * SECOND, 2 * SECOND, 60 * SECOND, 250 * MS, 100 * MS, 200 * MS, 0, "", "",
                true, 1 << 20, 1 << 20, 400, 40, 0.25, TokensRun.RULES));
        int served = 0;
        for (int i = 0; i < 5_000; i++) {
            flood.ask(key(i), 1, "flooder", 3 * SECOND);
            if (i % 50 == 49) {
                TokenKey token = key(100_000 + i);
                assertInstanceOf(Verdict.Wait.class, flood.ask(token, 1, "c", 3 * SECOND), "room for others");
                flood.answer(token, ORDER);
                served += flood.decided.get(flood.lastId()) instanceof Verdict.Pass ? 1 : 0;
                flood.pass(20 * MS);
            }
            if (i % 100 == 99) {
                List.copyOf(flood.out.keySet()).stream().limit(3).forEach(each -> flood.answer(each, new Introspected.Inactive()));
            }
        }
        assertEquals(100, served);
        assertTrue(flood.decider.status().asking() <= 10, flood.decider.status().toString());
        TokensRun one = new TokensRun(new Terms(10 * SECOND, 2 * SECOND, 60 * SECOND, 250 * MS, 100 * MS, 200 * MS, 0, "", "",
                true, 1 << 20, 1 << 20, 40, 40, 0.25, TokensRun.RULES));
        for (int i = 0; i < 30; i++) {
            one.ask(TOKEN, 1, "flooder", 3 * SECOND); // one token, many that wait for it
        }
        assertEquals(10, one.decider.status().waiting());
        assertInstanceOf(Verdict.Wait.class, one.ask(key(2), 1, "c", 3 * SECOND));
    }

    /** Hard case 4: what the grant says is checked, with 30 s between the clocks. */
    @Test
    void activeIsNotEnough() {
        long nowS = run.now / SECOND;
        long[] expiry = {nowS - 31, nowS - 29};
        for (int i = 0; i < expiry.length; i++) {
            run.ask(key(i), 1, "c", 3 * SECOND);
            run.answer(key(i), new Introspected.Active(grant("order", "c", expiry[i])));
        }
        denied(Why.EXPIRED, run.decided.get(1L));
        assertInstanceOf(Verdict.Pass.class, run.decided.get(2L), "their clock may be behind by 30 s");
        run.pass(2 * SECOND);
        denied(Why.EXPIRED, run.ask(key(1), 1, "c", 3 * SECOND));
        run.ask(key(3), 1, "c", 3 * SECOND);
        run.answer(key(3), new Introspected.Active(new Grant(java.util.Set.of("order"), "", "", "", java.util.Set.of(), "c",
                Long.MAX_VALUE, run.now / SECOND + 40)));
        denied(Why.NOT_YET, run.decided.get(run.lastId()));
    }

    @Test
    void scopeCustomerIssuerAndAudienceMustFit() {
        good();
        denied(Why.CUSTOMER, run.ask(TOKEN, 1, "another", 3 * SECOND));
        run.ask(key(2), 1, "c", 3 * SECOND);
        run.answer(key(2), active("status", "c"));
        assertEquals(new Verdict.Denied(Why.SCOPE, "order"), run.decided.get(run.lastId()));
        assertInstanceOf(Verdict.Pass.class, run.ask(key(2), 0, "c", 3 * SECOND), "another class needs none");
        Terms strict = new Terms(10 * SECOND, 2 * SECOND, 60 * SECOND, 250 * MS, 100 * MS, 200 * MS, 0, "https://as", "gw", false,
                1 << 20, 1 << 20, 10, 10, 1, TokensRun.RULES);
        List<Verdict> verdicts = new ArrayList<>();
        for (String[] each : new String[][] {{"https://as", "gw"}, {"https://as2", "gw"}, {"https://as", "other"}}) {
            TokensDecider decider = new TokensDecider(strict, new TokensDecider.Actions() {
                @Override
                public void introspect(TokenKey token, TokensDecider.Asker first) { }

                @Override
                public void decided(long id, Verdict verdict) {
                    verdicts.add(verdict);
                }

                @Override
                public void revoked(TokenKey token) { }
            });
            decider.ask(run.now, new TokensDecider.Asker(1, TOKEN, 0, "", run.now + SECOND));
            decider.told(run.now, TOKEN, new Introspected.Active(new Grant(java.util.Set.of(), "", "", each[0],
                    java.util.Set.of(each[1]), "", Long.MAX_VALUE, Long.MIN_VALUE)));
        }
        assertInstanceOf(Verdict.Pass.class, verdicts.get(0));
        denied(Why.ISSUER, verdicts.get(1));
        denied(Why.AUDIENCE, verdicts.get(2));
    }

    /** Hard case 5: a class that may goes by stale answers for as long as is named, others and new tokens are told when to come. */
    @Test
    void withAllServersDownOnlyWhatMayGoesByStaleAnswersAndCallsStayFew() {
        good();
        run.pass(10 * SECOND);
        int calls = run.calls;
        assertInstanceOf(Verdict.Wait.class, run.ask(TOKEN, 0, "c", 3 * SECOND), "a class that may not");
        run.fail(TOKEN);
        unknown(Why.UNAVAILABLE, run.decided.get(run.lastId()));
        int passed = 0;
        for (int i = 0; i < 6_000; i++) { // 60 s at 100 a second
            Verdict verdict = ask();
            if (verdict instanceof Verdict.Wait) {
                run.fail(TOKEN);
                verdict = run.decided.get(run.lastId());
            }
            if (verdict instanceof Verdict.Pass pass) {
                assertTrue(pass.stale());
                passed++;
            } else {
                unknown(Why.UNAVAILABLE, verdict);
                assertTrue(((Verdict.Unknown) verdict).retryAfterNs() > 0);
            }
            run.pass(10 * MS);
        }
        assertTrue(passed > 2_900 && passed < 3_100, passed + " by stale answers");
        assertTrue(run.calls - calls < 60 * 4 + 1, run.calls - calls + " calls in 60 s");
        if (run.ask(TOKEN, 0, "c", 3 * SECOND) instanceof Verdict.Wait) {
            run.fail(TOKEN);
        }
        unknown(Why.UNAVAILABLE, run.ask(TOKEN, 0, "c", 3 * SECOND));
        run.pass(SECOND);
        good();
    }

    @Test
    void aSlowServerHoldsAClassThatMayBeStaleNoLongerThanItsPatience() {
        good();
        run.pass(11 * SECOND);
        assertInstanceOf(Verdict.Wait.class, ask());
        long id = run.lastId();
        run.pass(100 * MS);
        assertTrue(assertInstanceOf(Verdict.Pass.class, run.decided.get(id)).stale());
        run.answer(TOKEN, ORDER);
        assertEquals(new Verdict.Pass(grant("order", "c", Long.MAX_VALUE), false), ask());
    }

    @Test
    void whoLeftIsToldNothing() {
        ask();
        run.leave(run.lastId());
        run.answer(TOKEN, ORDER);
        assertTrue(run.decided.isEmpty());
        assertEquals(0, run.decider.status().waiting());
    }

    /** Anything in any order; {@link TokensRun} checks at each step. Seeds are printed by jqwik. */
    @Property(tries = 2_000, seed = "20261202")
    void inAnyOrderOneVerdictEachAndNobodyPassesWithoutAGoodAnswer(@ForAll @IntRange(max = 1_000_000) int seed,
            @ForAll @Size(max = 120) List<@IntRange(max = 9) Integer> moves) {
        SplittableRandom random = new SplittableRandom(seed);
        TokensRun any = new TokensRun(new Terms(2 * SECOND, SECOND, 5 * SECOND, 250 * MS, 100 * MS, 200 * MS, random.nextInt(2)
                * 30 * SECOND, "", "", true, 1 << 20, 1 << 20, 6, 4, 0.5, TokensRun.RULES));
        for (int move : moves) {
            TokenKey token = key(random.nextInt(6));
            switch (move) {
                case 0, 1, 2 -> any.ask(token, random.nextInt(2), random.nextInt(10) == 0 ? "d" : "c",
                        100 * MS + random.nextLong(3 * SECOND));
                case 3, 4 -> {
                    if (any.out.containsKey(token)) {
                        any.answer(token, new Introspected.Active(grant(random.nextInt(4) == 0 ? "status" : "order", "c",
                                random.nextInt(3) == 0 ? any.now / SECOND + random.nextInt(8) - 3 : Long.MAX_VALUE)));
                    }
                }
                case 5 -> {
                    if (any.out.containsKey(token)) {
                        any.answer(token, random.nextBoolean() ? new Introspected.Inactive() : new Introspected.Unusable("x"));
                    }
                }
                case 6 -> {
                    if (any.out.containsKey(token)) {
                        any.fail(token);
                    }
                }
                case 7 -> any.revoke(token);
                case 8 -> any.waiting.keySet().stream().findFirst().ifPresent(any::leave);
                default -> any.pass(random.nextLong(3 * SECOND));
            }
        }
        any.pass(4 * SECOND);
        assertTrue(any.waiting.isEmpty(), "nobody waits for ever");
        assertEquals(0, any.decider.status().waiting());
        List.copyOf(any.out.keySet()).forEach(any::fail);
        assertEquals(0, any.decider.status().asking());
    }
}
