package nettletrail.app;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import nettletrail.app.processes.ChildJvm;
import nettletrail.app.processes.DoorProcesses;
import nettletrail.counter.StandInCounter;
import nettletrail.site.Auditor;
import nettletrail.site.Events;
import nettletrail.site.FillingStore;
import nettletrail.site.Site;
import nettletrail.site.SiteBackend;
import nettletrail.site.SiteClients;
import nettletrail.site.SiteSettings;

/**
 * Three front doors as processes of their own, a counter that goes and comes back, and a load of which some customers ask
 * for more than their ceiling. What was let in is counted by the backends, of which the front doors know nothing.
 */
final class LimitsProcesses {
    private static final int DOORS = 3;
    private static final int BACKENDS = 8;
    private static final int RATE = 500;
    private static final double CEILING_RATE = 10;
    private static final double CEILING_BURST = 20;
    private static final int BEGIN_S = 6;
    private static final int STEADY_S = 6;
    private static final int BACK_S = 10;
    private static final double SATED = 1.3;
    private static final double IS_BACK = 0.85;
    private static final long SECOND = 1_000_000_000L;

    /** @param overshootUnits of the customer that was let in most beyond its ceiling */
    record Figures(double overshootUnits, double servedSteady, double servedDuringLoss, double backAfterS,
            double callsPerRequest, double cpuUsPerRequest, int saturated, long requests, List<Auditor.Break> breaks) {
        double overshootPct(int seconds) {
            return 100 * overshootUnits / (CEILING_BURST + seconds * CEILING_RATE);
        }
    }

    private record Let(long atNs, double units) { }

    private LimitsProcesses() { }

    static Figures run(Measure.Options options) throws Exception {
        SiteSettings usual = SiteSettings.usual(DOORS);
        SiteSettings settings = new SiteSettings(DOORS, usual.classes(), List.of(new SiteSettings.Plan("shared", 10_000, 10_000,
                0, 0, 0, 0, 1)), usual.coldFrom(), usual.rampMs(), usual.overloadFactor(), usual.fallMs(),
                usual.drainGraceMs(), false);
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (Site site = new Site(settings, BACKENDS, new SiteBackend.Machine(8, 64, 10), options.seed());
                StandInCounter counter = new StandInCounter(group.next(), null);
                DoorProcesses doors = new DoorProcesses("limits")) {
            Path operator = doors.file("operator.toml");
            Files.writeString(operator, "[limits]\nenabled = true\ncounter = \"127.0.0.1:" + counter.address().getPort()
                    + "\"\nceilings = \"shared=" + CEILING_RATE + "/" + CEILING_BURST + "\"\n");
            List<InetSocketAddress> addresses = doors.start(site, "--operator", operator.toString());
            return play(site, counter, doors.processes(), addresses, options);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static Figures play(Site site, StandInCounter counter, List<ChildJvm> doors, List<InetSocketAddress> addresses,
            Measure.Options options) throws Exception {
        int lossSeconds = options.seconds();
        int backSeconds = options.part(BACK_S);
        SiteClients clients = site.clients(addresses);
        clients.start(RATE);
        Thread.sleep(options.part(BEGIN_S) * 1_000L);
        long steadyFrom = System.nanoTime();
        long calls = counter.commands();
        Duration cpu = cpu(doors);
        long before = sent(clients);
        Thread.sleep(options.part(STEADY_S) * 1_000L);
        long lossFrom = System.nanoTime();
        long requests = Math.max(1, sent(clients) - before);
        double callsPerRequest = (double) (counter.commands() - calls) / requests;
        double cpuUs = cpu(doors).minus(cpu).toNanos() / 1e3 / requests;
        counter.gone();
        Thread.sleep(lossSeconds * 1_000L);
        long backFrom = System.nanoTime();
        counter.again();
        Thread.sleep(backSeconds * 1_000L);
        long end = System.nanoTime();
        clients.stop();

        Map<String, List<Let>> lets = new HashMap<>();
        Map<String, Double> asked = asked(site.events().all(), lossFrom, backFrom, lets);
        double worst = 0;
        for (List<Let> each : lets.values()) {
            FillingStore store = new FillingStore(CEILING_RATE, CEILING_BURST, each.get(0).atNs());
            for (Let let : each) {
                worst = Math.max(worst, -store.draw(let.atNs(), let.units()));
            }
        }
        List<List<Let>> sated = asked.entrySet().stream()
                .filter(each -> each.getValue() > SATED * CEILING_RATE * lossSeconds).map(each -> lets.get(each.getKey()))
                .toList();
        double steady = share(sated, steadyFrom, lossFrom);
        double backAfter = backSeconds;
        for (int s = backSeconds; s >= 1; s--) {
            if (share(sated, backFrom + (s - 1) * SECOND, Math.min(end, backFrom + s * SECOND)) >= IS_BACK * steady) {
                backAfter = s;
            }
        }
        return new Figures(worst, steady, share(sated, lossFrom, backFrom), backAfter, callsPerRequest, cpuUs, sated.size(),
                sent(clients), site.audit());
    }

    /** Units that each customer asked for between the two times, retries included; and what of it ran, at any time. */
    private static Map<String, Double> asked(List<Events.Event> events, long from, long until, Map<String, List<Let>> lets) {
        Map<String, Events.Sent> sent = new HashMap<>();
        Map<String, Double> asked = new HashMap<>();
        for (Events.Event event : events) {
            if (event instanceof Events.Sent each && sent.putIfAbsent(each.id(), each) == null && each.atNs() >= from
                    && each.atNs() < until) {
                asked.merge(each.customer(), each.units(), Double::sum);
            }
        }
        List<Events.Ran> runs = new ArrayList<>();
        for (Events.Event event : events) {
            if (event instanceof Events.Ran each && sent.containsKey(each.id())) {
                runs.add(each);
            }
        }
        runs.sort(java.util.Comparator.comparingLong(Events.Ran::atNs));
        for (Events.Ran run : runs) {
            Events.Sent request = sent.remove(run.id()); // a further attempt takes nothing more
            if (request != null) {
                lets.computeIfAbsent(request.customer(), id -> new ArrayList<>()).add(new Let(run.atNs(), request.units()));
            }
        }
        return asked;
    }

    /** Of what the ceilings allow these customers between the two times. */
    private static double share(List<List<Let>> customers, long from, long until) {
        double units = 0;
        for (List<Let> each : customers) {
            for (Let let : each) {
                units += let.atNs() >= from && let.atNs() < until ? let.units() : 0;
            }
        }
        return units / (customers.size() * CEILING_RATE * (until - from) / SECOND);
    }

    private static long sent(SiteClients clients) {
        return clients.counts().values().stream().mapToLong(each -> each.sent).sum();
    }

    private static Duration cpu(List<ChildJvm> doors) {
        return doors.stream().map(ChildJvm::cpu).reduce(Duration.ZERO, Duration::plus);
    }
}
