package nettletrail.app.members;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import nettletrail.app.processes.EventLog;
import nettletrail.app.processes.EventLog.Event;

/**
 * What each process of a fleet believes of the others, folded from its own events. The rig's notes tell which processes run.
 */
public final class Beliefs {
    /** What one believes of a name: in which life, and what ("alive", "suspect", "gone", "left"), and whether it is cut. */
    public record Belief(String life, String state, boolean cut) { }

    private final Map<Integer, Map<String, Belief>> of = new TreeMap<>();
    private final Map<Integer, String> lives = new TreeMap<>();
    private final Map<Integer, Boolean> runs = new TreeMap<>();

    private Beliefs() { }

    /** After these events, from the first on. */
    public static Beliefs after(List<Event> events) {
        Beliefs beliefs = new Beliefs();
        events.forEach(beliefs::take);
        return beliefs;
    }

    private void take(Event event) {
        if (event.process() < 0) {
            if (event.field("door").startsWith("n")) {
                rig(event.kind(), Integer.parseInt(event.field("door").substring(1)));
            }
            return;
        }
        if (!event.kind().startsWith("members.")) {
            return;
        }
        Map<String, Belief> mine = of.computeIfAbsent(event.process(), process -> new TreeMap<>());
        String who = event.field("who");
        String life = event.field("life");
        Belief before = mine.get(who);
        boolean cut = before != null && before.cut();
        switch (event.kind()) {
            case "members.start", "members.renewed" -> lives.put(event.process(), life);
            case "members.joined" -> mine.put(who, new Belief(life, "alive", false));
            case "members.suspect" -> mine.put(who, new Belief(life, "suspect", cut));
            case "members.gone" -> mine.put(who, new Belief(life, "gone", cut));
            case "members.back" -> mine.put(who, new Belief(life, "alive", cut));
            case "members.left" -> mine.put(who, new Belief(life, "left", false));
            case "members.cut" -> mine.put(who, new Belief(life, "alive", true));
            case "members.healed" -> mine.put(who, new Belief(life, "alive", false));
            default -> { }
        }
    }

    private void rig(String what, int door) {
        switch (what) {
            case "start" -> of.remove(door);
            case "ready" -> runs.put(door, true);
            case "kill", "terminate" -> runs.put(door, false);
            default -> { }
        }
    }

    /** What one process believes of a name; null if it doesn't know it. */
    public Belief of(int process, String name) {
        return of.getOrDefault(process, Map.of()).get(name);
    }

    /** Whether all that run believe each other alive in their present lives, and nobody else there. */
    public boolean oneView() {
        for (Map.Entry<Integer, Boolean> one : runs.entrySet()) {
            for (Map.Entry<Integer, Boolean> other : runs.entrySet()) {
                if (!one.getValue() || one.getKey().equals(other.getKey())) {
                    continue;
                }
                Belief told = of(one.getKey(), "n" + other.getKey());
                boolean alive = told != null && told.state().equals("alive") && !told.cut()
                        && told.life().equals(lives.get(other.getKey()));
                boolean there = told != null && (told.state().equals("alive") || told.state().equals("suspect"));
                if (other.getValue() ? !alive : there) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Waits until beliefs are so; null in time, else what was believed at the end. */
    public static Beliefs await(EventLog log, long timeoutMs, Predicate<Beliefs> so) throws InterruptedException {
        long until = System.nanoTime() + timeoutMs * 1_000_000;
        while (true) {
            int mark = log.mark();
            Beliefs now = after(log.all());
            long left = (until - System.nanoTime()) / 1_000_000;
            if (so.test(now)) {
                return null;
            }
            if (left <= 0 || log.await(mark, left, each -> true) == null) {
                return now;
            }
        }
    }

    @Override
    public String toString() {
        return of.toString();
    }
}
