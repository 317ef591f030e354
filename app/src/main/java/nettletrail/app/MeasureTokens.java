package nettletrail.app;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import nettletrail.app.processes.DoorProcesses;
import nettletrail.introspection.StandInIntrospection;
import nettletrail.site.Auditor;
import nettletrail.site.Events;
import nettletrail.site.Site;
import nettletrail.site.SiteBackend;
import nettletrail.site.SiteClients;
import nettletrail.site.SiteSettings;
import org.HdrHistogram.Histogram;

/**
 * Three front doors as processes, two introspection servers: quick, late by 0 to 2 s, gone and back; beside the same load
 * without tokens. What ran is counted by the backends. One request in twenty brings a token that is not active.
 */
final class MeasureTokens implements Measure.Measurement {
    private static final int DOORS = 3;
    private static final int BACKENDS = 8;
    private static final int RATE = 250;
    private static final int TOKENS_EACH = 7;
    private static final int BAD_ONE_IN = 20;
    private static final int WARM_S = 8;
    private static final int QUICK_S = 6;
    private static final int DELAYED_S = 8;
    private static final int BACK_S = 8;
    private static final int FRESH_S = 6;
    private static final long SECOND = 1_000_000_000L;
    private static final double LEAST_GOOD = 0.8;
    private static final double IS_BACK = 0.9;
    private static final double MOST_BACK_S = 5;

    /** Marks of time in one run. */
    private record Marks(long quick, long delayed, long gone, long back, long end) { }

    private static final class Run {
        final List<Events.Event> events = new ArrayList<>();
        final Map<String, String> tokenOf = new ConcurrentHashMap<>();
        List<Auditor.Break> breaks = List.of();
        Marks marks;
        long calls;
        long callsBegin;
    }

    @Override
    public Measure.Result run(Measure.Options options) throws Exception {
        int rate = options.rate() > 0 ? options.rate() : RATE;
        int outage = Math.max(options.part(FRESH_S + 3), options.seconds() / 2);
        Run direct = play(false, outage, rate, options);
        Run tokens = play(true, outage, rate, options);
        Map<String, Object> figures = new LinkedHashMap<>();
        List<String> broken = new ArrayList<>();
        Map<String, Events.Sent> sent = new HashMap<>();
        Map<String, Integer> answers = new HashMap<>();
        Set<String> lost = new HashSet<>();
        long late = 0;
        long withoutToken = 0;
        for (Events.Event event : tokens.events) {
            if (event instanceof Events.Sent each) {
                sent.put(each.id(), each);
            } else if (event instanceof Events.Lost each) {
                lost.add(each.id());
            } else if (event instanceof Events.Answered each) {
                answers.merge(each.id(), 1, Integer::sum);
            } else if (event instanceof Events.Ran each) {
                withoutToken += tokens.tokenOf.getOrDefault(each.id(), "bad").startsWith("bad") ? 1 : 0;
            }
        }
        for (Events.Event event : tokens.events) {
            if (event instanceof Events.Answered each && sent.containsKey(each.id())
                    && each.atNs() > sent.get(each.id()).deadlineNs() + Auditor.SLACK_MS * 1_000_000) {
                late++;
            }
        }
        long missing = sent.keySet().stream().filter(id -> !answers.containsKey(id) || lost.contains(id)).count();
        long twice = answers.values().stream().filter(count -> count > 1).count();
        Marks marks = tokens.marks;
        double delayed = goodShare(tokens, "", marks.delayed(), marks.gone());
        double directly = goodShare(direct, "", direct.marks.delayed(), direct.marks.gone());
        double before = goodShare(tokens, "", marks.quick(), marks.delayed());
        figures.put("requests", sent.size());
        figures.put("answers_missing", missing);
        figures.put("answers_twice", twice);
        figures.put("sent_without_token", withoutToken);
        figures.put("late", late);
        figures.put("rules_broken", tokens.breaks.size());
        figures.put("tokens", tokens.tokenOf.values().stream().filter(each -> !each.startsWith("bad")).distinct().count());
        long quickRequests = sent.values().stream().filter(each -> each.atNs() >= marks.quick()).count();
        figures.put("calls_per_request", round((double) (tokens.calls - tokens.callsBegin) / Math.max(1, quickRequests)));
        figures.put("good_share_quick", round(before));
        figures.put("good_share_delayed", round(delayed));
        figures.put("good_share_direct", round(directly));
        figures.put("good_share_delayed_submit", round(goodShare(tokens, "order-submit", marks.delayed(), marks.gone())));
        // What is fresh when the servers go serves for a while; from then on only the class that may go by stale answers.
        long stale = Math.min(marks.back(), marks.gone() + (FRESH_S + 1) * SECOND);
        figures.put("good_share_outage_status", round(goodShare(tokens, "order-status", stale, marks.back())));
        figures.put("good_share_outage_submit", round(goodShare(tokens, "order-submit", stale, marks.back())));
        double p50 = p50(tokens, true, marks.quick(), marks.delayed());
        double p50Direct = p50(direct, false, direct.marks.quick(), direct.marks.delayed());
        figures.put("added_p50_us", round(p50 - p50Direct));
        figures.put("direct_p50_us", round(p50Direct));
        figures.put("direct_p50_again_us", round(p50(direct, false, direct.marks.delayed(), direct.marks.gone())));
        double recovered = options.part(BACK_S);
        for (int s = options.part(BACK_S); s >= 1; s--) {
            if (goodShare(tokens, "", marks.back() + (s - 1) * SECOND, Math.min(marks.end(), marks.back() + s * SECOND))
                    >= IS_BACK * before) {
                recovered = s;
            } else {
                break;
            }
        }
        figures.put("outage_s", outage);
        figures.put("recovered_s", recovered);
        promise(broken, "answers_missing", missing == 0, missing);
        promise(broken, "answers_twice", twice == 0, twice);
        promise(broken, "sent_without_token", withoutToken == 0, withoutToken);
        promise(broken, "late", late == 0, late);
        promise(broken, "good_share_delayed against good_share_direct", delayed >= LEAST_GOOD * directly, round(delayed));
        promise(broken, "recovered_s", recovered <= MOST_BACK_S, recovered);
        tokens.breaks.stream().limit(5).forEach(each -> broken.add(each.rule() + " " + each.id() + ": " + each.what()));
        return new Measure.Result(figures, broken);
    }

    private static void promise(List<String> broken, String name, boolean holds, Object is) {
        if (!holds) {
            broken.add(name + " is " + is);
        }
    }

    private static double round(double figure) {
        return Math.round(figure * 1_000) / 1_000.0;
    }

    /** Of the requests with good tokens that were sent in that time, those that were served. */
    private static double goodShare(Run run, String kind, long from, long until) {
        Set<String> asked = new HashSet<>();
        long served = 0;
        for (Events.Event event : run.events) {
            if (event instanceof Events.Sent each && each.atNs() >= from && each.atNs() < until && each.lane().startsWith(kind)
                    && !run.tokenOf.getOrDefault(each.id(), "").startsWith("bad")) {
                asked.add(each.id());
            }
        }
        for (Events.Event event : run.events) {
            served += event instanceof Events.Answered each && each.status() == 200 && asked.contains(each.id()) ? 1 : 0;
        }
        return (double) served / Math.max(1, asked.size());
    }

    /** @param hits only requests whose token was served at the same front door shortly before, so that it was known there */
    private static double p50(Run run, boolean hits, long from, long until) {
        Map<String, Long> asked = new HashMap<>();
        Map<String, Events.Sent> sent = new HashMap<>();
        Map<String, Long> known = new HashMap<>();
        Histogram took = new Histogram(60_000_000L, 3);
        for (Events.Event event : run.events) {
            if (event instanceof Events.Sent each) {
                sent.put(each.id(), each);
                Long before = known.get(each.door() + run.tokenOf.get(each.id()));
                if (each.atNs() >= from && each.atNs() < until
                        && (!hits || before != null && each.atNs() - before < FRESH_S * SECOND / 2)) {
                    asked.put(each.id(), each.atNs());
                }
            } else if (event instanceof Events.Answered each && each.status() == 200 && sent.containsKey(each.id())) {
                // By when it was asked, which was not later than the token's answer came: known for the fresh time from then.
                known.putIfAbsent(sent.get(each.id()).door() + run.tokenOf.get(each.id()), each.atNs());
                known.compute(sent.get(each.id()).door() + run.tokenOf.get(each.id()),
                        (key, at) -> each.atNs() - at > FRESH_S * SECOND ? Long.valueOf(each.atNs()) : at);
            }
        }
        for (Events.Event event : run.events) {
            if (event instanceof Events.Answered each && each.status() == 200 && asked.containsKey(each.id())) {
                took.recordValue(Math.max(0, (each.atNs() - asked.get(each.id())) / 1_000));
            }
        }
        return took.getValueAtPercentile(50);
    }

    private static Run play(boolean withTokens, int outage, int rate, Measure.Options options) throws Exception {
        Run run = new Run();
        long seed = options.seed();
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        List<StandInIntrospection> servers = new ArrayList<>();
        SiteSettings settings = SiteSettings.usual(DOORS);
        try (Site site = new Site(settings, BACKENDS, new SiteBackend.Machine(8, 64, 10), seed);
                DoorProcesses doors = new DoorProcesses("tokens")) {
            Path secret = doors.file("secret");
            Files.writeString(secret, "measured\n");
            Files.setPosixFilePermissions(secret, PosixFilePermissions.fromString("rw-------"));
            for (int i = 0; i < 2; i++) {
                servers.add(new StandInIntrospection(group, "gw", "measured", seed + i));
            }
            Path operator = doors.file("operator.toml");
            Files.writeString(operator, "[tokens]\nenabled = " + withTokens + "\nservers = \"" + address(servers.get(0)) + ","
                    + address(servers.get(1)) + "\"\nclient_id = \"gw\"\nclient_secret_file = \"" + secret
                    + "\"\ncustomer_claim = \"customer\"\nscopes = \"order-submit=orders:write\"\nstale = \"order-status=120\""
                    + "\nfresh_s = " + FRESH_S + "\n");
            for (int plan = 0; plan < settings.plans().size(); plan++) {
                for (int each = 0; each < 40; each++) {
                    String customer = String.format("%016x", plan * 1_000 + each);
                    for (int k = 0; k < TOKENS_EACH; k++) {
                        for (StandInIntrospection server : servers) {
                            server.grant("tok-" + customer + "-" + k, Map.of("scope", "orders:write", "customer", customer));
                        }
                    }
                }
            }
            List<InetSocketAddress> addresses = doors.start(site, "--operator", operator.toString());
            SiteClients clients = site.clients(addresses);
            if (withTokens) {
                clients.credentials((id, customer) -> {
                    long number = Long.parseLong(id, 16);
                    String token = (number % BAD_ONE_IN == 0 ? "bad-" : "tok-") + customer + "-" + number / 3 % TOKENS_EACH;
                    run.tokenOf.put(id, token);
                    return "Bearer " + token;
                });
            }
            clients.start(rate);
            play(run, servers, withTokens ? outage : 0, options);
            clients.stop();
            run.events.addAll(site.events().all());
            run.breaks = site.audit();
            return run;
        } finally {
            servers.forEach(StandInIntrospection::close);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static void play(Run run, List<StandInIntrospection> servers, int outage, Measure.Options options)
            throws InterruptedException {
        Thread.sleep(options.part(WARM_S) * 1_000L);
        run.callsBegin = calls(servers);
        long quick = System.nanoTime();
        Thread.sleep(options.part(QUICK_S) * 1_000L);
        long delayed = System.nanoTime();
        servers.forEach(each -> each.delay(0, 2_000));
        Thread.sleep(options.part(DELAYED_S) * 1_000L);
        long gone = System.nanoTime();
        servers.forEach(each -> {
            each.delay(0, 0);
            each.gone();
        });
        Thread.sleep(Math.max(1, outage) * 1_000L);
        long back = System.nanoTime();
        servers.forEach(StandInIntrospection::again);
        Thread.sleep(outage > 0 ? options.part(BACK_S) * 1_000L : 100);
        run.calls = calls(servers);
        run.marks = new Marks(quick, delayed, gone, back, System.nanoTime());
    }

    private static long calls(List<StandInIntrospection> servers) {
        return servers.stream().mapToLong(StandInIntrospection::calls).sum();
    }

    private static String address(StandInIntrospection server) {
        return "127.0.0.1:" + server.address().getPort();
    }
}
