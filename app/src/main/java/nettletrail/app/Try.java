package nettletrail.app;

import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Callable;
import nettletrail.app.processes.DoorProcesses;
import nettletrail.site.Auditor;
import nettletrail.site.Site;
import nettletrail.site.SiteBackend;
import nettletrail.site.SiteClients;
import nettletrail.site.SiteSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * The front door at work: a stand-in site on loopback, three front doors as processes of their own, a mixed load with a
 * crash, a drain and a slow node in it, and an audit of what came of every request.
 */
@Command(name = "try", mixinStandardHelpOptions = true,
        description = "Starts a stand-in site and three front doors, sends a mixed load, shows what came of it.")
final class Try implements Callable<Integer> {
    private static final int DOORS = 3;
    private static final int BACKENDS = 8;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "20", description = "Length (default ${DEFAULT-VALUE}).")
    private int seconds;
    @Option(names = "--rate", paramLabel = "N", defaultValue = "250", description = "New requests a second.")
    private int rate;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "For all draws.")
    private long seed;
    @Option(names = "--hold", description = "Keeps all up at the end, and prints curl lines.")
    private boolean hold;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        if (seconds < 5 || rate < 1) {
            spec.commandLine().getErr().println("try: --seconds must be 5 or more, --rate 1 or more");
            return App.UNUSABLE;
        }
        try (Site site = new Site(SiteSettings.usual(DOORS), BACKENDS, new SiteBackend.Machine(4, 24, 40), seed);
                DoorProcesses doors = new DoorProcesses("try")) {
            List<InetSocketAddress> addresses = doors.start(site);
            out.println(BACKENDS + " backends, discovery and " + DOORS + " front doors are up; " + rate
                    + " new requests a second for " + seconds + " s (seed " + seed + ")");
            out.flush();
            SiteClients clients = site.clients(addresses);
            clients.start(rate);
            play(site, clients, out);
            clients.stop();
            List<Auditor.Break> breaks = site.audit();
            table(clients, breaks, out);
            if (hold) {
                hold(addresses, out);
            }
            return breaks.isEmpty() ? 0 : 1;
        }
    }

    /** At a fifth a node gets slow until half, at 3 tenths one crashes until 6 tenths, at 7 tenths one is drained. */
    private void play(Site site, SiteClients clients, PrintWriter out) throws InterruptedException {
        List<SiteBackend> all = site.backends();
        for (int second = 1; second <= seconds; second++) {
            Thread.sleep(1_000);
            String event = "";
            if (second == seconds / 5) {
                all.get(1).slow(6);
                event = "s-1 is 6 times as slow";
            } else if (second == seconds * 3 / 10) {
                site.crash(all.get(2));
                event = "s-2 crashes";
            } else if (second == seconds / 2) {
                all.get(1).slow(1);
                event = "s-1 is well again";
            } else if (second == seconds * 6 / 10) {
                site.restart(all.get(2));
                event = "s-2 is back, cold";
            } else if (second == seconds * 7 / 10) {
                site.drain(all.get(3));
                event = "s-3 drains";
            }
            long served = 0;
            long refused = 0;
            long failed = 0;
            for (SiteClients.Count count : clients.counts().values()) {
                served += count.served;
                refused += count.refused;
                failed += count.failed + count.lost;
            }
            out.printf("%3d s  served %6d  refused %5d  failed %4d  %s%n", second, served, refused, failed, event);
            out.flush();
        }
    }

    private static void table(SiteClients clients, List<Auditor.Break> breaks, PrintWriter out) {
        out.printf("%n%-24s %7s %7s %8s %7s %6s %8s %8s%n", "class and plan", "sent", "served", "refused", "failed", "late",
                "p50 ms", "p99 ms");
        clients.counts().forEach((name, count) -> out.printf("%-24s %7d %7d %8d %7d %6d %8.1f %8.1f%n", name, count.sent,
                count.served, count.refused, count.failed + count.lost, count.late,
                count.latency.getValueAtPercentile(50) / 1e3, count.latency.getValueAtPercentile(99) / 1e3));
        out.println();
        for (Auditor.Rule rule : Auditor.Rule.values()) {
            long broken = breaks.stream().filter(each -> each.rule() == rule).count();
            out.printf("rule %-8s %s%n", rule.name().toLowerCase(java.util.Locale.ROOT), broken == 0 ? "kept"
                    : "BROKEN " + broken + " times");
        }
        breaks.stream().limit(20).forEach(each -> out.println("  " + each.rule() + " " + each.id() + ": " + each.what()));
        out.flush();
    }

    private static void hold(List<InetSocketAddress> doors, PrintWriter out) throws InterruptedException {
        out.println("\nAll stays up until Ctrl-C. Try:");
        for (InetSocketAddress door : doors) {
            out.println("  curl -si http://127.0.0.1:" + door.getPort() + "/-/ready");
        }
        out.println("  curl -si \"http://127.0.0.1:" + doors.get(0).getPort() + "/api/port?plan=standard&customer=0000000000000400"
                + "&units=1\" -H \"X-Txn: $(head -c 8 /dev/urandom | od -An -tx1 | tr -d ' ')\" -H 'X-Lane: order-status' "
                + "-H 'X-Plan: standard' -H 'X-Customer: 0000000000000400' -H 'X-Remaining-Ms: 3000' "
                + "-H 'X-Quota: units=1,spread=1,first=0'");
        out.flush();
        Thread.currentThread().join();
    }
}
