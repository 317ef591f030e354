package nettletrail.tokens;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import nettletrail.core.Authorizer;
import nettletrail.core.EventLoopClock;
import nettletrail.core.InboundRequest;
import nettletrail.core.Log;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;
import nettletrail.tokens.TokensDecider.Asker;
import nettletrail.tokens.TokensDecider.Rule;
import nettletrail.tokens.TokensDecider.Status;
import nettletrail.tokens.TokensDecider.Terms;

/** The decider at a front door's entrance: requests in, calls out, a clock. On the event loop. */
public final class TokensAdmission implements Authorizer, TokensDecider.Actions {
    private static final long MS = 1_000_000L;
    private static final long STATUS_S = 30;
    private static final int KIB = 1_024;
    /** Of the memory, what bad tokens may take. */
    private static final int BAD_PART = 4;

    private final TokensSettings settings;
    private final EventLoop loop;
    private final TokensDecider decider;
    private final IntrospectionCalls calls;
    /** Checks the issuer's JWTs without a call, or null. */
    private final LocalJwt local;
    private final Revocations revocations;
    private final TokenKey.Maker keys = new TokenKey.Maker();
    private final Map<Long, AuthorizationCallback> waiting = new HashMap<>();
    private final List<Future<?>> clocks = new ArrayList<>();
    /** Added to the monotonic clock: the decider's starts at Unix time and never goes back. */
    private final long clockOffset = System.currentTimeMillis() * MS - System.nanoTime();
    private RevocationListener withdrawn;
    /** Of the request that is being asked for; only a call that it causes reads it. */
    private String asked;
    private InboundRequest asking;
    private Future<?> wake;
    private long wakeAt = Long.MAX_VALUE;
    private Status told;

    private TokensAdmission(TokensSettings settings, String name, EventLoop loop, EventLoopClock clock,
            GatewaySettingsReader reader) {
        this.settings = settings;
        this.loop = loop;
        List<String> classes = reader.names("Services");
        known("scopes", settings.scopes(), classes);
        known("stale", settings.staleS(), classes);
        List<Rule> rules = new ArrayList<>();
        for (String each : classes) {
            rules.add(new Rule(settings.scopes().getOrDefault(each, ""), TimeUnit.SECONDS.toNanos(TokensSettings.seconds(
                    settings.staleS().getOrDefault(each, "0")))));
        }
        long bytes = settings.mostKb() * KIB;
        decider = new TokensDecider(new Terms(TimeUnit.SECONDS.toNanos(settings.freshS()),
                TimeUnit.SECONDS.toNanos(settings.badS()), TimeUnit.SECONDS.toNanos(settings.revokedS()),
                settings.failedMs() * MS, settings.patienceMs() * MS, settings.reserveMs() * MS,
                TimeUnit.SECONDS.toNanos(settings.skewS()), settings.issuer(), settings.audience(),
                !settings.customerClaim().isEmpty(), bytes - bytes / BAD_PART, bytes / BAD_PART, settings.mostWaiting(),
                settings.mostAsking(), settings.mostPartPct() / 100.0, rules), this);
        TrustedKeys authority = authority(settings.keysFile());
        calls = new IntrospectionCalls(settings, loop, clock, name, authority);
        local = settings.localJwts() ? new LocalJwt(authority, settings.issuer(), settings.customerClaim()) : null;
        revocations = settings.revocationsListen() == null ? null : new Revocations(loop, settings.revocationsListen(), authority,
                settings.issuer(), settings.audience(), this::revoke);
        told = decider.status();
        clocks.add(loop.scheduleWithFixedDelay(this::tell, STATUS_S, STATUS_S, TimeUnit.SECONDS));
    }

    private static TrustedKeys authority(String file) {
        try {
            return file.isEmpty() ? null : new TrustedKeys(Path.of(file));
        } catch (IOException e) {
            throw new IllegalArgumentException("tokens.authority_keys_file: " + e.getMessage(), e);
        }
    }

    private static void known(String key, Map<String, String> byClass, List<String> classes) {
        for (String each : byClass.keySet()) {
            if (!classes.contains(each)) {
                throw new IllegalArgumentException("tokens." + key + ": there is no class " + each + "; the settings have "
                        + String.join(", ", classes));
            }
        }
    }

    /** What the operator file turns on. */
    public static Authorizer.Factory maker(TokensSettings settings) {
        return (name, loop, clock, reader, platform) -> new TokensAdmission(settings, name, loop, clock, reader);
    }

    @Override
    public void setRevocationListener(RevocationListener listener) {
        withdrawn = listener;
    }

    private long now() {
        return System.nanoTime() + clockOffset;
    }

    // ---- Requests ------------------------------------------------------------------------------------------

    @Override
    public Decision authorize(long id, InboundRequest arrival, long leftNs, AuthorizationCallback listener) {
        BearerToken credentials = credentials(arrival);
        if (credentials instanceof BearerToken.Malformed malformed) {
            return denial(Verdict.Why.MALFORMED, "", malformed.why(), 0);
        }
        if (!(credentials instanceof BearerToken.Present present)) {
            return denial(Verdict.Why.NO_TOKEN, "", Verdict.Why.NO_TOKEN.text(), 0);
        }
        asked = present.text();
        asking = arrival;
        long now = now();
        Verdict verdict;
        try {
            verdict = decider.ask(now, new Asker(id, keys.of(present.text()), arrival.requestClass(),
                    customer(arrival.customer()), now + leftNs));
        } finally {
            asked = null;
            asking = null;
        }
        if (verdict instanceof Verdict.Wait) {
            waiting.put(id, listener);
            wakeInTime();
            return new Pending();
        }
        return word(verdict);
    }

    private static BearerToken credentials(InboundRequest arrival) {
        return BearerToken.read(arrival.authorization() == null ? List.of() : List.of(arrival.authorization()));
    }

    /** As {@code X-Customer} has it. */
    private static String customer(long number) {
        return String.format(Locale.ROOT, "%016x", number);
    }

    @Override
    public void requestEnded(long id, InboundRequest arrival) {
        if (waiting.remove(id) != null && credentials(arrival) instanceof BearerToken.Present present) {
            decider.left(keys.of(present.text()), id);
        }
    }

    private Decision word(Verdict verdict) {
        if (verdict instanceof Verdict.Denied denied) {
            return denial(denied.why(), denied.scope(), denied.why().text(), 0);
        }
        if (verdict instanceof Verdict.Unknown unknown) {
            return denial(unknown.why(), "", unknown.why().text(), unknown.retryAfterNs());
        }
        return new Allowed();
    }

    private Denial denial(Verdict.Why why, String scope, String text, long retryAfterNs) {
        return new Denial(why.status(), why.challenge(settings.realm(), scope), text, retryAfterNs);
    }

    // ---- What the decider asks for -------------------------------------------------------------------------

    @Override
    public void introspect(TokenKey token, Asker first) {
        // At the loop's next turn: an answer that comes at once would come while the decider is in the middle of this.
        String text = asked;
        long customer = asking.customer();
        loop.execute(() -> answer(text, customer, answer -> decider.told(now(), token, answer)));
    }

    private void answer(String text, long customer, Consumer<Introspected> answered) {
        Optional<Introspected> here = local == null ? Optional.empty() : local.read(text);
        if (here.isPresent()) {
            answered.accept(here.get());
        } else {
            calls.ask(text, customer, answered);
        }
    }

    @Override
    public void decided(long id, Verdict verdict) {
        AuthorizationCallback listener = waiting.remove(id);
        if (listener != null) {
            Decision word = word(verdict);
            // At the next turn too: what it brings about may ask the decider again.
            loop.execute(() -> {
                if (word instanceof Denial denial) {
                    listener.denied(denial);
                } else {
                    listener.allowed();
                }
            });
        }
    }

    @Override
    public void revoked(TokenKey token) {
        loop.execute(() -> withdrawn.revoked(arrival -> credentials(arrival) instanceof BearerToken.Present present
                && keys.of(present.text()).equals(token),
                denial(Verdict.Why.REVOKED, "", Verdict.Why.REVOKED.text(), 0)));
    }

    /** Told by whoever may: the token is no longer good. On the loop. */
    public void revoke(String token) {
        decider.revoked(now(), keys.of(token));
    }

    // ---- Time ----------------------------------------------------------------------------------------------

    private void wakeInTime() {
        long due = decider.nextDue();
        if (due >= wakeAt) {
            return; // woken before that, it looks again
        }
        if (wake != null) {
            wake.cancel(false);
        }
        wakeAt = due;
        wake = loop.schedule(() -> {
            wakeAt = Long.MAX_VALUE;
            wake = null;
            decider.tick(now());
            wakeInTime();
        }, Math.max(0, due - now()), TimeUnit.NANOSECONDS);
    }

    /** For operators: a line now and then while something is not as it should be. */
    private void tell() {
        Status now = decider.status();
        if (now.failures() != told.failures() || now.busy() != told.busy() || now.noTime() != told.noTime()
                || now.stale() != told.stale()) {
            Log.line("tokens: " + now);
        }
        told = now;
    }

    @Override
    public void close() {
        clocks.forEach(each -> each.cancel(false));
        if (revocations != null) {
            revocations.close();
        }
    }
}
