package nettletrail.limits;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import nettletrail.core.Arrival;
import nettletrail.core.Bound;
import nettletrail.core.Log;
import nettletrail.core.Members;
import nettletrail.core.SecretFile;
import nettletrail.decision.Gateway;
import nettletrail.decision.SettingsReader;
import nettletrail.limits.LimitsDecider.Ceiling;
import nettletrail.limits.LimitsDecider.Status;
import nettletrail.limits.LimitsDecider.Terms;

/** The decider in a front door: requests in, calls out, a clock. On the event loop. */
public final class LimitsBound implements Bound {
    private static final long MS = 1_000_000L;
    private static final long TICK_MS = 20;
    private static final long STATUS_S = 30;
    private static final double PERCENT = 100;

    /** Front doors told to the counter as gone, at once. */
    private static final int MOST_GONE = 16;

    private final LimitsSettings limits;
    private final EventLoop loop;
    private final LimitsClient client;
    private final ArrayDeque<String> gone = new ArrayDeque<>();
    private LimitsDecider decider;
    private Terms terms;
    /** Null where front doors don't know each other. */
    private Members members;
    private Members.Life life;
    private final Gateway.Settings settings;
    private final long periodNs;
    /** By the plan's position; null for none. */
    private final List<Ceiling> ceilings = new ArrayList<>();
    private final List<Future<?>> clocks = new ArrayList<>();
    private Status told;

    private LimitsBound(LimitsSettings limits, String name, EventLoop loop, SettingsReader reader,
            Gateway.Settings settings) {
        this.settings = settings;
        this.limits = limits;
        this.loop = loop;
        List<String> plans = reader.names("TiersOfService");
        for (Map.Entry<String, Ceiling> each : limits.ceilings().entrySet()) {
            if (!plans.contains(each.getKey())) {
                throw new IllegalArgumentException("limits.ceilings: there is no plan " + each.getKey()
                        + "; the settings have " + String.join(", ", plans));
            }
        }
        for (int i = 0; i < plans.size(); i++) {
            Gateway.Plan plan = settings.plans().get(i);
            boolean own = limits.ceilings().isEmpty() && plan.ceilingRate() > 0 && plan.ceilingBurst() > 0;
            ceilings.add(own ? new Ceiling(plan.ceilingRate(), plan.ceilingBurst()) : limits.ceilings().get(plans.get(i)));
        }
        periodNs = Math.max(0, reader.time("FamilyInfo.Metering"));
        int fleet = limits.frontDoors() > 0 ? limits.frontDoors() : settings.gateways();
        // A name that no process had before: a new one knows nothing of what the one before it spent.
        terms = terms(limits, name + "/" + Long.toHexString(System.currentTimeMillis()) + Long.toHexString(
                ProcessHandle.current().pid()), limits.lossS(), fleet);
        Supplier<char[]> password = limits.passwordFile().isEmpty() ? null : () -> {
            try {
                return SecretFile.read(limits.passwordFile());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        };
        client = new LimitsClient(loop, limits.counter(), limits.prefix(), limits.timeoutMs(), password);
        begin();
        clocks.add(loop.scheduleWithFixedDelay(this::tick, 0, TICK_MS, TimeUnit.MILLISECONDS));
        clocks.add(loop.scheduleWithFixedDelay(this::tell, STATUS_S, STATUS_S, TimeUnit.SECONDS));
    }

    private static Terms terms(LimitsSettings limits, String door, long lossS, int fleet) {
        return new Terms(door, limits.leaseMs() * MS, TimeUnit.SECONDS.toNanos(lossS),
                TimeUnit.SECONDS.toNanos(limits.idleS()), 2 * limits.timeoutMs() * MS, limits.floorPct() / PERCENT, fleet,
                limits.mostCalls(), limits.mostCallsPerS(), limits.mostCustomers());
    }

    /** With nothing in memory. */
    private void begin() {
        decider = new LimitsDecider(terms, System.nanoTime(), client);
        client.tells(decider, terms);
        told = decider.status();
    }

    @Override
    public void knows(Members others) {
        if (others.self() == null) {
            return;
        }
        loop.execute(() -> {
            members = others;
            renew();
        });
        others.hear(new Members.Listener() {
            @Override
            public void surelyGone(Members.Life who) {
                // Until then it may hold a lease of the view and go by its share.
                loop.schedule(() -> gone(who), others.leaseNs(), TimeUnit.NANOSECONDS);
            }
        });
    }

    /** This front door has a new life: what the old one had may be others' by now. */
    private void renew() {
        life = members.self();
        terms = terms(limits, life.toString(), limits.holdS(), terms.fleet());
        begin();
        decider.gone(List.copyOf(gone));
        decider.held(members.heldUntilNs());
    }

    private void gone(Members.Life who) {
        gone.addLast(who.toString());
        while (gone.size() > MOST_GONE) {
            gone.removeFirst(); // by now each customer that is asked for here was told of it
        }
        decider.gone(List.copyOf(gone));
    }

    private void tick() {
        if (members != null) {
            if (!members.self().equals(life)) {
                renew();
            }
            decider.held(members.heldUntilNs());
        }
        decider.tick(System.nanoTime());
    }

    /** What the operator file turns on. */
    public static Bound.Maker maker(LimitsSettings limits) {
        return (name, loop, reader, settings) -> new LimitsBound(limits, name, loop, reader, settings);
    }

    @Override
    public boolean take(Arrival arrival) {
        Ceiling ceiling = ceilings.get(arrival.plan());
        return ceiling == null || decider.take(System.nanoTime(), arrival.customer(), ceiling, arrival.setSize(),
                arrival.units());
    }

    @Override
    public long retryAfterNs(Arrival arrival) {
        return decider.waitNs(System.nanoTime(), arrival.customer(), arrival.units());
    }

    @Override
    public void giveBack(Arrival arrival) {
        if (ceilings.get(arrival.plan()) != null) {
            decider.settle(System.nanoTime(), arrival.customer(), -arrival.units());
        }
    }

    @Override
    public void settled(Arrival arrival, double units) {
        if (ceilings.get(arrival.plan()) != null) {
            decider.settle(System.nanoTime(), arrival.customer(), units - arrival.units());
        }
    }

    @Override
    public void metered(Arrival arrival, int usedPercent) {
        double rate = settings.plans().get(arrival.plan()).rate();
        if (periodNs > 0 && rate > 0 && ceilings.get(arrival.plan()) != null) {
            double used = usedPercent / PERCENT * rate * periodNs / TimeUnit.SECONDS.toNanos(1);
            decider.metered(System.nanoTime(), arrival.customer(), used, periodNs);
        }
    }

    /** For operators: a line now and then while something is not as it should be. */
    private void tell() {
        Status now = decider.status();
        if (now.away() || now.epochs() != told.epochs() || now.distrusted() != told.distrusted()
                || now.unknown() != told.unknown()) {
            Log.line("limits: " + now);
        }
        told = now;
    }

    @Override
    public void close() {
        clocks.forEach(each -> each.cancel(false));
        client.close();
    }
}
