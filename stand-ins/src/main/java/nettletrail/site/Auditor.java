package nettletrail.site;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Holds what clients were answered against what ran, and names each break of the five rules with the request's id and
 * the times. No I/O: it reads what was noted.
 *
 * <ol>
 * <li>answer: each request has one final answer before its deadline and {@link #SLACK_MS}, and what is served was made
 * for it by a backend; a refusal (429, 503) of a request that must not run twice means that it hasn't run.
 * <li>effect: a request that must not run twice runs once at most, over all of its client's tries of the same id.
 * <li>drain: nothing is begun at a backend later than the grace after the last front door was told that it drains or is
 * gone, counted to the request's first byte.
 * <li>cold: no backend falls over while it is cold.
 * <li>ceiling: no customer's store goes below minus the plan's slack (and what the rate gives in {@link #CEILING_MS}).
 * </ol>
 */
public final class Auditor {
    /** Each time limit is so much longer on sockets. */
    public static final long SLACK_MS = 50;
    /** The ceiling's slack is wider by what its rate gives in this time. */
    public static final long CEILING_MS = 150;
    private static final long MS = 1_000_000L;

    /** The rules. */
    public enum Rule { ANSWER, EFFECT, DRAIN, COLD, CEILING }

    /** One break; the id is "" where it concerns no single request. */
    public record Break(Rule rule, String id, String what) { }

    private final SiteSettings settings;
    private final List<Break> breaks = new ArrayList<>();
    private long origin;

    private Auditor(SiteSettings settings) {
        this.settings = settings;
    }

    /** All breaks, by rule and time. */
    public static List<Break> audit(SiteSettings settings, List<Events.Event> events) {
        Auditor auditor = new Auditor(settings);
        auditor.run(events);
        return List.copyOf(auditor.breaks);
    }

    private void run(List<Events.Event> events) {
        Map<String, Events.Sent> sent = new HashMap<>();
        Map<String, List<Events.Answered>> answers = new HashMap<>();
        Map<String, List<Events.Ran>> runs = new HashMap<>();
        Map<String, Events.Lost> lost = new HashMap<>();
        Set<String> left = new HashSet<>();
        List<Events.Ran> inOrder = new ArrayList<>();
        Map<String, List<Events.Told>> told = new HashMap<>();
        origin = Long.MAX_VALUE;
        for (Events.Event event : events) {
            if (event instanceof Events.Sent e) {
                sent.putIfAbsent(e.id(), e);
                origin = Math.min(origin, e.atNs());
            } else if (event instanceof Events.Answered e) {
                answers.computeIfAbsent(e.id(), id -> new ArrayList<>()).add(e);
            } else if (event instanceof Events.Ran e) {
                runs.computeIfAbsent(e.id(), id -> new ArrayList<>()).add(e);
                inOrder.add(e);
            } else if (event instanceof Events.Lost e) {
                lost.put(e.id(), e);
            } else if (event instanceof Events.Left e) {
                left.add(e.id());
            } else if (event instanceof Events.Told e) {
                told.computeIfAbsent(e.node(), node -> new ArrayList<>()).add(e);
            } else if (event instanceof Events.FellOver e) {
                breaks.add(new Break(Rule.COLD, "", e.node() + " fell over at " + at(e.atNs())));
            }
        }
        for (Events.Sent request : sent.values()) {
            if (!left.contains(request.id())) {
                answered(request, answers.getOrDefault(request.id(), List.of()),
                        runs.getOrDefault(request.id(), List.of()), lost.get(request.id()));
            }
            effect(request, runs.getOrDefault(request.id(), List.of()));
        }
        for (String id : runs.keySet()) {
            if (!sent.containsKey(id)) {
                breaks.add(new Break(Rule.ANSWER, id, "ran, and no client sent it"));
            }
        }
        for (Events.Ran run : inOrder) {
            drain(run, told.getOrDefault(run.node(), List.of()));
        }
        ceilings(inOrder, sent);
        breaks.sort(java.util.Comparator.comparing(Break::rule).thenComparing(Break::id));
    }

    private void answered(Events.Sent request, List<Events.Answered> answers, List<Events.Ran> runs, Events.Lost lost) {
        String id = request.id();
        if (answers.isEmpty()) {
            breaks.add(new Break(Rule.ANSWER, id, "sent at " + at(request.atNs()) + ", never answered"
                    + (lost == null ? "" : ": " + lost.why() + " at " + at(lost.atNs()))));
            return;
        }
        if (answers.size() > 1) {
            breaks.add(new Break(Rule.ANSWER, id, "answered " + answers.size() + " times, at "
                    + at(answers.get(0).atNs()) + " and " + at(answers.get(1).atNs())));
        }
        Events.Answered first = answers.get(0);
        if (first.atNs() > request.deadlineNs() + SLACK_MS * MS) {
            breaks.add(new Break(Rule.ANSWER, id, "answered at " + at(first.atNs()) + ", due at "
                    + at(request.deadlineNs())));
        }
        if (first.status() == 200 && runs.stream().noneMatch(run -> run.body().equals(first.body()))) {
            breaks.add(new Break(Rule.ANSWER, id, "served at " + at(first.atNs()) + " with what no backend made for it"));
        }
        boolean refused = first.status() == 429 || first.status() == 503;
        SiteSettings.RequestClass kind = settings.named(request.lane());
        if (refused && kind != null && kind.unsafe() && !runs.isEmpty()) {
            breaks.add(new Break(Rule.ANSWER, id, "refused with " + first.status() + " at " + at(first.atNs())
                    + ", and ran at " + at(runs.get(0).atNs())));
        }
    }

    private void effect(Events.Sent request, List<Events.Ran> runs) {
        SiteSettings.RequestClass kind = settings.named(request.lane());
        if (kind != null && kind.unsafe() && runs.size() > 1) {
            breaks.add(new Break(Rule.EFFECT, request.id(), "ran " + runs.size() + " times, at " + runs.get(0).node()
                    + " at " + at(runs.get(0).atNs()) + " and at " + runs.get(1).node() + " at "
                    + at(runs.get(1).atNs())));
        }
    }

    private void drain(Events.Ran run, List<Events.Told> told) {
        Events.Told last = null; // the first of a row that says to send nothing more
        for (Events.Told each : told) {
            if (each.atNs() <= run.firstByteNs()) {
                last = each.status().equals("SERVING") ? null : last == null ? each : last;
            }
        }
        long grace = (settings.drainGraceMs() + SLACK_MS) * MS;
        if (last != null && run.firstByteNs() - last.atNs() > grace) {
            breaks.add(new Break(Rule.DRAIN, run.id(), "began at " + run.node() + " at " + at(run.firstByteNs())
                    + ", " + last.status() + " told at " + at(last.atNs())));
        }
    }

    /** Each id takes the units that its client named when it first came whole to a backend. */
    private void ceilings(List<Events.Ran> runs, Map<String, Events.Sent> sent) {
        Map<String, FillingStore> stores = new HashMap<>();
        Set<String> counted = new HashSet<>();
        Set<String> named = new HashSet<>();
        List<Events.Ran> inTime = new ArrayList<>(runs);
        inTime.sort(java.util.Comparator.comparingLong(Events.Ran::atNs));
        for (Events.Ran run : inTime) {
            Events.Sent request = sent.get(run.id());
            SiteSettings.Plan plan = request == null ? null : settings.plan(request.plan());
            if (plan == null || plan.ceilingRate() <= 0 || !counted.add(run.id())) {
                continue;
            }
            double left = stores.computeIfAbsent(request.customer(), id -> new FillingStore(plan.ceilingRate(),
                    plan.ceilingBurst(), run.atNs())).draw(run.atNs(), request.units());
            double least = -plan.ceilingSlack() - plan.ceilingRate() * CEILING_MS / 1_000.0;
            if (left < least && named.add(request.customer())) {
                breaks.add(new Break(Rule.CEILING, run.id(), String.format(Locale.ROOT,
                        "customer %s of %s stood at %.1f units at %s, %.1f is the least allowed", request.customer(),
                        request.plan(), left, at(run.atNs()), least)));
            }
        }
    }

    private String at(long ns) {
        return String.format(Locale.ROOT, "%.3f s", (ns - origin) / 1e9);
    }
}
