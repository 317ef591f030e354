package nettletrail.site;

import java.util.ArrayList;
import java.util.List;

/**
 * What happened at a site, as its parts noted it; the {@link Auditor} reads it. Times are {@link System#nanoTime}. Any
 * thread.
 */
public final class Events {
    /** One thing that happened. */
    public sealed interface Event { }

    /** A client wrote a request's last byte; it waits until the deadline. */
    public record Sent(String id, String lane, String plan, String customer, double units, int door, long atNs,
            long deadlineNs) implements Event { }

    /** The client read an answer's last byte. */
    public record Answered(String id, int status, String body, long atNs) implements Event { }

    /** The client's connection ended with no whole answer to this request. */
    public record Lost(String id, String why, long atNs) implements Event { }

    /** The client left of its own accord, before its deadline. */
    public record Left(String id, long atNs) implements Event { }

    /** A request came whole to a backend and was begun; the body is what the backend answers, or would. */
    public record Ran(String id, String node, long firstByteNs, long atNs, String body) implements Event { }

    /** A backend turned a request away unseen. */
    public record TurnedAway(String id, String node, long atNs) implements Event { }

    /** The last front door was told of this state of a backend. */
    public record Told(String node, String status, long atNs) implements Event { }

    /** A backend fell over, being offered more than it could do while it was cold. */
    public record FellOver(String node, long atNs) implements Event { }

    private final List<Event> events = new ArrayList<>();

    /** Notes it. */
    public synchronized void add(Event event) {
        events.add(event);
    }

    /** All so far, as they were noted. */
    public synchronized List<Event> all() {
        return List.copyOf(events);
    }
}
