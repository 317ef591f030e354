package nettletrail.faults;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One fault: what it does, to which direction, and to which connections. Checked when made.
 *
 * @param name unique on its relay
 * @param toxicity share of the connections that it matches which get it, 0 to 1, drawn from the relay's seed
 * @param attributes by name; whole numbers as {@link Long}, texts as {@link String}
 */
public record Toxic(String name, Kind kind, Stream stream, double toxicity, When when, Map<String, Object> attributes) {
    /** The direction: upstream is from client to server, as the public fault relays have it. */
    public enum Stream { UPSTREAM, DOWNSTREAM }

    /** What it does. */
    public enum Kind {
        /** Each piece comes later: {@code latency} ms, and up to {@code jitter} ms more. */
        LATENCY(Set.of("latency"), Set.of("jitter")),
        /** {@code rate} KB a second. */
        BANDWIDTH(Set.of("rate"), Set.of()),
        /** {@code bytes} at a time, one such piece every {@code every_ms}. */
        SLOW_LORIS(Set.of("every_ms"), Set.of("bytes")),
        /** Pieces of {@code average_size} bytes, {@code size_variation} more or less, {@code delay} us apart. */
        SLICER(Set.of("average_size"), Set.of("size_variation", "delay")),
        /** After {@code bytes}, nothing more passes; the connection stays open. */
        STALL(Set.of("bytes"), Set.of()),
        /** Nothing passes; after {@code timeout} ms the connection ends (0: never). */
        TIMEOUT(Set.of("timeout"), Set.of()),
        /** Both connections end {@code how} (fin, rst) {@code at} a byte or a place of the {@code message}th message. */
        CUT(Set.of("at"), Set.of("how", "message")),
        /** The receiver sees the end of this direction {@code at} a byte or place; the other direction goes on. */
        HALF_CLOSE(Set.of("at"), Set.of("message")),
        /** Accepted and never connected on; what comes is not read. */
        BLACK_HOLE(Set.of(), Set.of()),
        /** Reset as soon as it is accepted; where it matches every connection, the listener is closed instead. */
        REFUSE(Set.of(), Set.of()),
        /**
         * {@code mode} random: {@code bytes} bytes from {@code from} on get other values. The other modes keep it valid
         * HTTP/1.1: status ({@code status}), length ({@code by}), body (other bytes, as many), second-answer, chunked.
         * {@code message}: just that one; without it all.
         */
        GARBLE(Set.of("mode"), Set.of("bytes", "from", "status", "by", "message")),
        /** A piece passes twice, with {@code share} percent. */
        DUPLICATE(Set.of(), Set.of("share")),
        /** A piece passes behind the next one, with {@code share} percent. */
        REORDER(Set.of(), Set.of("share"));

        private final Set<String> needed;
        private final Set<String> allowed;

        Kind(Set<String> needed, Set<String> allowed) {
            this.needed = needed;
            this.allowed = allowed;
        }

        /** As it is written. */
        public String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Places of a message that {@code at} may name, by stream. */
    public enum Place {
        /** Before its first byte. */
        BEFORE_HEAD,
        /** In the middle of its head. */
        INSIDE_HEAD,
        /** After the last byte of a request; upstream only. */
        AFTER_REQUEST,
        /** In the middle of an answer's body; downstream only. */
        INSIDE_ANSWER,
        /** After the last byte of an answer; downstream only. */
        AFTER_ANSWER;

        /** As it is written. */
        public String text() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    private static final List<String> MODES = List.of("random", "status", "length", "body", "second-answer", "chunked");
    private static final List<String> ENDS = List.of("fin", "rst");

    /**
     * To which connections it applies; all that are named must match.
     *
     * @param first number of the first connection, from 1
     * @param last number of the last one
     * @param address of the client, as a prefix of its text; "" for any
     * @param afterMs since the relay's start, when the connection came
     * @param untilMs the same, not included
     */
    public record When(long first, long last, String address, long afterMs, long untilMs) {
        /** Always. */
        public static final When ALWAYS = new When(1, Long.MAX_VALUE, "", 0, Long.MAX_VALUE);

        public When {
            if (first < 1 || last < first || afterMs < 0 || untilMs <= afterMs) {
                throw new IllegalArgumentException("when: connections must be from 1 and in order, until_ms over after_ms");
            }
        }

        /** Connections of these numbers. */
        public static When connections(long first, long last) {
            return new When(first, last, "", 0, Long.MAX_VALUE);
        }
    }

    public Toxic {
        if (name == null || !name.matches("[A-Za-z0-9_.-]{1,64}")) {
            throw new IllegalArgumentException("name: must be 1 to 64 letters, digits, '_', '.' or '-'");
        }
        if (!(toxicity >= 0 && toxicity <= 1)) {
            throw new IllegalArgumentException("toxicity: must be from 0 to 1");
        }
        attributes = Map.copyOf(attributes);
        for (String needed : kind.needed) {
            if (!attributes.containsKey(needed)) {
                throw new IllegalArgumentException("attributes." + needed + ": is missing for " + kind.text());
            }
        }
        for (Map.Entry<String, Object> each : attributes.entrySet()) {
            if (!kind.needed.contains(each.getKey()) && !kind.allowed.contains(each.getKey())) {
                throw new IllegalArgumentException("attributes." + each.getKey() + ": is none of " + kind.text());
            }
            if (each.getValue() instanceof Long number && number < 0 && !each.getKey().equals("by")) {
                throw new IllegalArgumentException("attributes." + each.getKey() + ": must be 0 or more");
            }
        }
        check(kind, stream, attributes);
    }

    private static void check(Kind kind, Stream stream, Map<String, Object> attributes) {
        if (attributes.get("at") instanceof String text) {
            Place place = place(text);
            boolean fits = switch (place) {
                case BEFORE_HEAD, INSIDE_HEAD -> true;
                case AFTER_REQUEST -> stream == Stream.UPSTREAM;
                case INSIDE_ANSWER, AFTER_ANSWER -> stream == Stream.DOWNSTREAM;
            };
            if (!fits) {
                throw new IllegalArgumentException("attributes.at: " + text + " is no place of "
                        + stream.name().toLowerCase(Locale.ROOT));
            }
        }
        if (attributes.containsKey("how") && !ENDS.contains(String.valueOf(attributes.get("how")))) {
            throw new IllegalArgumentException("attributes.how: must be one of " + String.join(", ", ENDS));
        }
        if (kind == Kind.GARBLE && !MODES.contains(String.valueOf(attributes.get("mode")))) {
            throw new IllegalArgumentException("attributes.mode: must be one of " + String.join(", ", MODES));
        }
        if (kind == Kind.BANDWIDTH && attributes.get("rate").equals(0L)) {
            throw new IllegalArgumentException("attributes.rate: must be 1 or more; stall lets nothing pass");
        }
    }

    /** One for all connections; attributes as name, value, name, value. */
    public static Toxic of(String name, Kind kind, Stream stream, Object... attributes) {
        return new Toxic(name, kind, stream, 1, When.ALWAYS, pairs(attributes));
    }

    /** The same for some of them. */
    public Toxic when(When other) {
        return new Toxic(name, kind, stream, toxicity, other, attributes);
    }

    /** The same for a share of them. */
    public Toxic toxicity(double share) {
        return new Toxic(name, kind, stream, share, when, attributes);
    }

    private static Map<String, Object> pairs(Object... attributes) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < attributes.length; i += 2) {
            Object value = attributes[i + 1];
            map.put((String) attributes[i], value instanceof Integer number ? Long.valueOf(number) : value);
        }
        return map;
    }

    static Place place(String text) {
        for (Place place : Place.values()) {
            if (place.text().equals(text)) {
                return place;
            }
        }
        throw new IllegalArgumentException("attributes.at: must be a byte's number or one of "
                + Arrays.stream(Place.values()).map(Place::text).collect(Collectors.joining(", ")));
    }

    long number(String attribute, long absent) {
        return attributes.get(attribute) instanceof Long number ? number : absent;
    }

    /** The attribute's text; "" if there is none. */
    public String text(String attribute) {
        return text(attribute, "");
    }

    String text(String attribute, String absent) {
        return attributes.get(attribute) instanceof String text ? text : absent;
    }

    /** Reads one from JSON's form; the message of what is thrown names the key. */
    static Toxic of(Map<?, ?> json) {
        for (Object key : json.keySet()) {
            if (!Set.of("name", "type", "stream", "toxicity", "attributes", "when").contains(key)) {
                throw new IllegalArgumentException(key + ": is no key of a toxic");
            }
        }
        Kind kind = null;
        for (Kind each : Kind.values()) {
            kind = each.text().equals(json.get("type")) ? each : kind;
        }
        if (kind == null) {
            throw new IllegalArgumentException("type: must be one of "
                    + Arrays.stream(Kind.values()).map(Kind::text).collect(Collectors.joining(", ")));
        }
        Object told = json.get("stream");
        if (told != null && !told.equals("upstream") && !told.equals("downstream")) {
            throw new IllegalArgumentException("stream: must be upstream or downstream");
        }
        Stream stream = "upstream".equals(told) ? Stream.UPSTREAM : Stream.DOWNSTREAM;
        Object name = json.get("name");
        Object toxicity = json.get("toxicity");
        if (toxicity != null && !(toxicity instanceof Number)) {
            throw new IllegalArgumentException("toxicity: must be a number from 0 to 1");
        }
        Map<String, Object> attributes = new LinkedHashMap<>();
        object(json.get("attributes"), "attributes").forEach((key, value) -> attributes.put(String.valueOf(key),
                value instanceof Number number ? (Object) number.longValue() : String.valueOf(value)));
        return new Toxic(name == null ? kind.text() + "_" + stream.name().toLowerCase(Locale.ROOT)
                : String.valueOf(name), kind, stream, toxicity instanceof Number number ? number.doubleValue() : 1,
                when(object(json.get("when"), "when")), attributes);
    }

    private static When when(Map<?, ?> json) {
        long first = 1;
        long last = Long.MAX_VALUE;
        if (json.get("connections") instanceof String range) {
            String[] ends = range.split("-", 2);
            try {
                first = Long.parseLong(ends[0]);
                last = ends.length == 1 ? first : ends[1].isEmpty() ? Long.MAX_VALUE : Long.parseLong(ends[1]);
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException("when.connections: must be \"N\", \"N-M\" or \"N-\"");
            }
        }
        return new When(first, last, json.get("address") instanceof String text ? text : "",
                json.get("after_ms") instanceof Number n ? n.longValue() : 0,
                json.get("until_ms") instanceof Number n ? n.longValue() : Long.MAX_VALUE);
    }

    private static Map<?, ?> object(Object value, String key) {
        if (value == null) {
            return Map.of();
        }
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new IllegalArgumentException(key + ": must be an object");
    }

    /** In JSON's form. */
    Map<String, Object> json() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("name", name);
        json.put("type", kind.text());
        json.put("stream", stream.name().toLowerCase(Locale.ROOT));
        json.put("toxicity", toxicity);
        json.put("attributes", attributes);
        if (!when.equals(When.ALWAYS)) {
            Map<String, Object> rule = new LinkedHashMap<>();
            rule.put("connections", when.first() + "-" + (when.last() == Long.MAX_VALUE ? "" : when.last()));
            rule.put("address", when.address());
            rule.put("after_ms", when.afterMs());
            if (when.untilMs() != Long.MAX_VALUE) {
                rule.put("until_ms", when.untilMs());
            }
            json.put("when", rule);
        }
        return json;
    }
}
