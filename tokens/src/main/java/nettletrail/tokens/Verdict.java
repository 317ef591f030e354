package nettletrail.tokens;

/** What is said of a request's token. In each but {@link Pass} and {@link Wait} nothing of the request is sent on. */
public sealed interface Verdict {
    /** It may go; {@code stale} if an answer that is no longer fresh stood in for the server's. */
    record Pass(Grant grant, boolean stale) implements Verdict { }

    /** It is asked about; a verdict of another kind follows for this request, once. */
    record Wait() implements Verdict { }

    /**
     * It may not.
     *
     * @param scope that would have been needed, "" unless {@link Why#SCOPE}
     */
    record Denied(Why why, String scope) implements Verdict { }

    /** It is not known in time whether it may: trying again is harmless, and may help after so many ns. */
    record Unknown(Why why, long retryAfterNs) implements Verdict { }

    /** Reasons, with the answer's status and the error code of RFC 6750 section 3.1. */
    enum Why {
        /** No credentials: section 3 wants no error code then. */
        NO_TOKEN(401, "", "a bearer token is needed"),
        MALFORMED(400, "invalid_request", "the credentials can't be read"),
        INACTIVE(401, "invalid_token", "the token is not active"),
        EXPIRED(401, "invalid_token", "the token has expired"),
        NOT_YET(401, "invalid_token", "the token is not valid yet"),
        REVOKED(401, "invalid_token", "the token was revoked"),
        ISSUER(401, "invalid_token", "the token is of another issuer"),
        AUDIENCE(401, "invalid_token", "the token is for another audience"),
        SCOPE(403, "insufficient_scope", "the token's scope does not cover this class of requests"),
        CUSTOMER(403, "insufficient_scope", "the token is another customer's"),
        /** All introspection servers fail, or what they answer can't be used. */
        UNAVAILABLE(503, "", "the token can't be checked now"),
        /** Too many tokens are asked about, or wait. */
        BUSY(503, "", "too many tokens wait to be checked"),
        /** What is left of the request's time is needed for the request itself. */
        NO_TIME(503, "", "the token could not be checked in this request's time");

        private final int status;
        private final String code;
        private final String text;

        Why(int status, String code, String text) {
            this.status = status;
            this.code = code;
            this.text = text;
        }

        public int status() {
            return status;
        }

        /** The value of {@code error}, "" for none. */
        public String code() {
            return code;
        }

        public String text() {
            return text;
        }

        /**
         * The value of {@code WWW-Authenticate} (RFC 6750 section 3), "" where the answer has none.
         *
         * @param realm of printable characters without quotes and backslashes
         */
        public String challenge(String realm, String scope) {
            if (status != 401 && code.isEmpty()) {
                return "";
            }
            return "Bearer realm=\"" + realm + "\"" + (code.isEmpty() ? "" : ", error=\"" + code + "\", error_description=\""
                    + text + "\"") + (scope.isEmpty() ? "" : ", scope=\"" + scope + "\"");
        }
    }
}
