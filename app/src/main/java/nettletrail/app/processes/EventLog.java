package nettletrail.app.processes;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * What all processes of a rig said, in the order in which it was read: structured events of their own, each with the process,
 * its how-many-eth start and its own sequence, and what the rig did to them. Clocks of different processes are not compared.
 * Any thread.
 */
public final class EventLog {
    /**
     * One event.
     *
     * @param process its number; -1 for the rig itself
     * @param start how many times the process was started before
     * @param readNs when this log read it, {@link System#nanoTime}
     * @param sequence the process's own count
     */
    public record Event(int process, int start, long sequence, long readNs, String kind, Map<String, String> fields) {
        public Event {
            fields = Map.copyOf(fields);
        }

        /** A field's text, "" if there is none. */
        public String field(String name) {
            return fields.getOrDefault(name, "");
        }

        @Override
        public String toString() {
            return (process < 0 ? "rig" : "n" + process + "." + start + "#" + sequence) + " " + kind + " " + fields;
        }
    }

    private final long startedAt = System.nanoTime();
    private final List<Event> events = new ArrayList<>();
    private final List<String> lines = new ArrayList<>();

    /** A line that a process wrote; those that are no event are kept as they are. */
    public void line(int process, int start, String line) {
        if (!line.startsWith("{")) {
            synchronized (this) {
                lines.add("n" + process + "." + start + ": " + line);
            }
            return;
        }
        try {
            Map<String, Object> json = JSON.std.mapFrom(line);
            Map<String, String> fields = new LinkedHashMap<>();
            if (json.get("kvpList") instanceof List<?> pairs) {
                for (Object pair : pairs) {
                    if (pair instanceof Map<?, ?> map) {
                        map.forEach((key, value) -> fields.put(String.valueOf(key), String.valueOf(value)));
                    }
                }
            }
            add(new Event(process, start, json.get("sequenceNumber") instanceof Number n ? n.longValue() : -1,
                    System.nanoTime(), String.valueOf(json.get("message")), fields));
        } catch (IOException e) {
            // The last line of a process that was killed in the middle of it.
            synchronized (this) {
                lines.add("n" + process + "." + start + ": (cut off) " + line);
            }
        }
    }

    /** What the rig did. */
    public void did(String kind, Map<String, String> fields) {
        add(new Event(-1, 0, 0, System.nanoTime(), kind, fields));
    }

    private synchronized void add(Event event) {
        events.add(event);
        notifyAll();
    }

    /** All so far. */
    public synchronized List<Event> all() {
        return List.copyOf(events);
    }

    /** A place in the log, for {@link #since}. */
    public synchronized int mark() {
        return events.size();
    }

    /** All behind a place. */
    public synchronized List<Event> since(int mark) {
        return List.copyOf(events.subList(mark, events.size()));
    }

    /** Waits for an event behind the place; null if it never came. */
    public synchronized Event await(int mark, long timeoutMs, Predicate<Event> which) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        int next = mark;
        while (true) {
            for (; next < events.size(); next++) {
                if (which.test(events.get(next))) {
                    return events.get(next);
                }
            }
            long left = until - System.nanoTime();
            if (left <= 0) {
                return null;
            }
            TimeUnit.NANOSECONDS.timedWait(this, left);
        }
    }

    /** All of it, for whoever must find out what went wrong. */
    public synchronized String text() {
        StringBuilder text = new StringBuilder();
        for (Event each : events) {
            text.append(String.format(java.util.Locale.ROOT, "%9.3f ", (each.readNs() - startedAt) / 1e9)).append(each)
                    .append('\n');
        }
        lines.forEach(each -> text.append(each).append('\n'));
        return text.toString();
    }
}
