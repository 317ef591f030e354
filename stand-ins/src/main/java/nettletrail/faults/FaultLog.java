package nettletrail.faults;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Each fault that was done, in order of time: the last ones kept, and all told to a listener as JSON lines. Any thread. */
public final class FaultLog {
    private static final int MOST_KEPT = 100_000;

    /**
     * A fault that was done.
     *
     * @param atMs Unix time
     * @param connection its number on its relay, from 1
     * @param offset bytes that had passed in that direction
     * @param what in words
     */
    public record Event(long atMs, String relay, long connection, Toxic.Stream stream, String toxic, Toxic.Kind kind,
            long offset, String what) {
        /** One line. */
        public String json() {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("at_ms", atMs);
            fields.put("proxy", relay);
            fields.put("connection", connection);
            fields.put("stream", stream.name().toLowerCase(java.util.Locale.ROOT));
            fields.put("toxic", toxic);
            fields.put("type", kind.text());
            fields.put("byte", offset);
            fields.put("what", what);
            try {
                return JSON.std.asString(fields);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Consumer<String> lines;

    /** @param lines hears each event as a line of JSON */
    public FaultLog(Consumer<String> lines) {
        this.lines = lines;
    }

    /** One that keeps and tells nobody. */
    public FaultLog() {
        this(line -> { });
    }

    synchronized void add(Event event) {
        if (events.size() == MOST_KEPT) {
            events.pollFirst();
        }
        events.addLast(event);
        lines.accept(event.json());
    }

    /** Those kept. */
    public synchronized List<Event> events() {
        return List.copyOf(events);
    }

    /** How many of a kind are kept. */
    public synchronized long count(Toxic.Kind kind) {
        return events.stream().filter(event -> event.kind() == kind).count();
    }
}
