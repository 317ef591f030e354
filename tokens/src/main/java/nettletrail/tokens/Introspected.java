package nettletrail.tokens;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** An introspection server's answer (RFC 7662 section 2.2), read strictly: what is not clearly active is not. */
public sealed interface Introspected {
    /** No larger answer is read, bytes. */
    int MOST_BYTES = 64 << 10;

    /** The token is good as far as the server goes; times, audience and scope are the decider's to check. */
    record Active(Grant grant) implements Introspected { }

    /** The token is not, or the server does not tell us of it. */
    record Inactive() implements Introspected { }

    /** @param why what is wrong with it, for operators; repeats nothing of the answer */
    record Unusable(String why) implements Introspected { }

    /**
     * @param contentType of the answer, or null
     * @param customerClaim name of the member that names the customer; "" for none
     */
    static Introspected read(String contentType, byte[] body, String customerClaim) {
        if (body.length > MOST_BYTES) {
            return new Unusable("the answer has more than " + MOST_BYTES + " bytes");
        }
        if (contentType == null || !contentType.split(";", 2)[0].strip().equalsIgnoreCase("application/json")) {
            return new Unusable("the answer is not application/json");
        }
        Object parsed;
        try {
            parsed = JSON.std.anyFrom(body);
        } catch (IOException | RuntimeException e) {
            return new Unusable("the answer is no JSON");
        }
        if (!(parsed instanceof Map<?, ?> members)) {
            return new Unusable("the answer is no object");
        }
        if (!(members.get("active") instanceof Boolean active)) {
            return new Unusable("the answer has no 'active' that is true or false");
        }
        if (!active) {
            return new Inactive();
        }
        try {
            return new Active(new Grant(scopes(text(members, "scope")), text(members, "client_id"), text(members, "sub"),
                    text(members, "iss"), audience(members.get("aud")),
                    customerClaim.isEmpty() ? "" : text(members, customerClaim), seconds(members, "exp", Long.MAX_VALUE),
                    seconds(members, "nbf", Long.MIN_VALUE)));
        } catch (IllegalArgumentException e) {
            return new Unusable(e.getMessage());
        }
    }

    private static String text(Map<?, ?> members, String name) {
        Object value = members.get(name);
        if (value != null && !(value instanceof String)) {
            throw new IllegalArgumentException("the answer's '" + name + "' is no text");
        }
        return value == null ? "" : (String) value;
    }

    private static Set<String> scopes(String text) {
        Set<String> scopes = new HashSet<>(List.of(text.split(" ")));
        scopes.remove("");
        return scopes;
    }

    private static Set<String> audience(Object value) {
        List<Object> values = new ArrayList<>();
        if (value instanceof List<?> list) {
            values.addAll(list);
        } else if (value != null) {
            values.add(value);
        }
        Set<String> audience = new HashSet<>();
        for (Object each : values) {
            if (!(each instanceof String text)) {
                throw new IllegalArgumentException("the answer's 'aud' is neither a text nor a list of texts");
            }
            audience.add(text);
        }
        return audience;
    }

    /** Whole seconds since 1970; a fraction is cut off (RFC 7519 section 2 allows one). */
    private static long seconds(Map<?, ?> members, String name, long absent) {
        Object value = members.get(name);
        if (value == null) {
            return absent;
        }
        if (!(value instanceof Number number) || Double.isNaN(number.doubleValue()) || Math.abs(number.doubleValue()) > 1e15) {
            throw new IllegalArgumentException("the answer's '" + name + "' is no time in seconds");
        }
        return number.longValue();
    }
}
