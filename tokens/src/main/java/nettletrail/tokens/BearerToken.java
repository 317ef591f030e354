package nettletrail.tokens;

import java.util.List;
import java.util.Locale;

/**
 * The credentials of a request as RFC 6750 section 2.1 has them: {@code Authorization: Bearer b64token}. The other two ways
 * of that RFC (in a form, in the query) are not taken: they put tokens into logs (section 5.3).
 */
public sealed interface BearerToken {
    /** No more characters than this make a token. */
    int MOST = 4_096;
    /** The scheme's name and the space behind it. */
    String SCHEME = "bearer ";

    /** No credentials at all, or such of another scheme. */
    record Absent() implements BearerToken { }

    /** @param why the rule that is broken; repeats nothing that the client sent */
    record Malformed(String why) implements BearerToken { }

    /** @param text as the client sent it */
    record Present(String text) implements BearerToken {
        @Override
        public String toString() {
            return "Present[a token]";
        }
    }

    /** @param fields all values of the request's {@code Authorization} */
    static BearerToken read(List<String> fields) {
        if (fields.isEmpty()) {
            return new Absent();
        }
        if (fields.size() > 1) {
            return new Malformed("Authorization is there twice: send it once");
        }
        String field = fields.get(0).strip();
        if (field.length() < SCHEME.length() || !field.substring(0, SCHEME.length()).toLowerCase(Locale.ROOT).equals(SCHEME)) {
            return field.equalsIgnoreCase("bearer") ? new Malformed("Bearer has no token behind it") : new Absent();
        }
        String token = field.substring(SCHEME.length()).strip();
        if (token.length() > MOST) {
            return new Malformed("the token has more than " + MOST + " characters");
        }
        return isB64Token(token) ? new Present(token)
                : new Malformed("the token must be letters, digits and -._~+/ with = at its end (RFC 6750 section 2.1)");
    }

    private static boolean isB64Token(String text) {
        int end = text.length();
        while (end > 0 && text.charAt(end - 1) == '=') {
            end--;
        }
        for (int i = 0; i < end; i++) {
            char each = text.charAt(i);
            if (!(each >= 'a' && each <= 'z' || each >= 'A' && each <= 'Z' || each >= '0' && each <= '9'
                    || "-._~+/".indexOf(each) >= 0)) {
                return false;
            }
        }
        return end > 0;
    }
}
