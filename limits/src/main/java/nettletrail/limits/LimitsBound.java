package nettletrail.limits;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import nettletrail.core.InboundRequest;
import nettletrail.core.Log;
import nettletrail.core.RequestLimiter;
import nettletrail.core.SecretFile;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;
import nettletrail.limits.LimitsDecider.Ceiling;
import nettletrail.limits.LimitsDecider.Status;
import nettletrail.limits.LimitsDecider.Terms;

/** The decider in a front door: requests in, calls out, a clock. On the event loop. */
public final class LimitsBound implements RequestLimiter {
    private static final long MS = 1_000_000L;
    private static final long TICK_MS = 20;
    private static final long STATUS_S = 30;
    private static final double PERCENT = 100;

    private final LimitsDecider decider;
    private final LimitsClient client;
    private final Gateway.Settings settings;
    private final long periodNs;
    /** By the plan's position; null for none. */
    private final List<Ceiling> ceilings = new ArrayList<>();
    private final List<Future<?>> clocks = new ArrayList<>();
    private Status told;

    private LimitsBound(LimitsSettings limits, String name, EventLoop loop, GatewaySettingsReader reader,
            Gateway.Settings settings) {
        this.settings = settings;
        List<String> plans = reader.names("TiersOfService");
        for (Map.Entry<String, Ceiling> each : limits.ceilings().entrySet()) {
            if (!plans.contains(each.getKey())) {
                throw new IllegalArgumentException("limits.ceilings: there is no plan " + each.getKey()
                        + "; the settings have " + String.join(", ", plans));
            }
        }
        for (int i = 0; i < plans.size(); i++) {
            Gateway.Plan plan = settings.plans().get(i);
            boolean own = limits.ceilings().isEmpty() && plan.ceilingRatePerSecond() > 0
                    && plan.ceilingBurstUnits() > 0;
            ceilings.add(own ? new Ceiling(plan.ceilingRatePerSecond(), plan.ceilingBurstUnits())
                    : limits.ceilings().get(plans.get(i)));
        }
        periodNs = Math.max(0, reader.durationNanos("FamilyInfo.Metering"));
        int fleet = limits.frontDoors() > 0 ? limits.frontDoors() : settings.gatewayCount();
        Terms terms = new Terms(name + "/" + Long.toHexString(System.currentTimeMillis()) + Long.toHexString(
                ProcessHandle.current().pid()), limits.leaseMs() * MS, TimeUnit.SECONDS.toNanos(limits.lossS()),
                TimeUnit.SECONDS.toNanos(limits.idleS()), 2 * limits.timeoutMs() * MS, limits.floorPct() / PERCENT, fleet,
                limits.mostCalls(), limits.mostCallsPerS(), limits.mostCustomers());
        Supplier<char[]> password = limits.passwordFile().isEmpty() ? null : () -> {
            try {
                return SecretFile.read(limits.passwordFile());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        };
        client = new LimitsClient(loop, limits.counter(), limits.prefix(), terms, limits.timeoutMs(), password);
        decider = new LimitsDecider(terms, System.nanoTime(), client);
        client.tells(decider);
        told = decider.status();
        clocks.add(loop.scheduleWithFixedDelay(() -> decider.tick(System.nanoTime()), 0, TICK_MS, TimeUnit.MILLISECONDS));
        clocks.add(loop.scheduleWithFixedDelay(this::tell, STATUS_S, STATUS_S, TimeUnit.SECONDS));
    }

    /** What the operator file turns on. */
    public static RequestLimiter.Factory maker(LimitsSettings limits) {
        return (name, loop, reader, settings) -> new LimitsBound(limits, name, loop, reader, settings);
    }

    @Override
    public boolean tryAcquire(InboundRequest arrival) {
        Ceiling ceiling = ceilings.get(arrival.plan());
        return ceiling == null || decider.take(System.nanoTime(), arrival.customer(), ceiling,
                arrival.customerDoorCount(),
                arrival.units());
    }

    @Override
    public long retryAfterNanos(InboundRequest arrival) {
        return decider.waitNs(System.nanoTime(), arrival.customer(), arrival.units());
    }

    @Override
    public void release(InboundRequest arrival) {
        if (ceilings.get(arrival.plan()) != null) {
            decider.settle(System.nanoTime(), arrival.customer(), -arrival.units());
        }
    }

    @Override
    public void unitsCharged(InboundRequest arrival, double units) {
        if (ceilings.get(arrival.plan()) != null) {
            decider.settle(System.nanoTime(), arrival.customer(), units - arrival.units());
        }
    }

    @Override
    public void quotaUsed(InboundRequest arrival, int usedPercent) {
        double rate = settings.plans().get(arrival.plan()).ratePerSecond();
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
