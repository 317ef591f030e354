package nettletrail.tokens;

import com.nimbusds.jwt.JWTClaimsSet;
import java.text.ParseException;
import java.util.Map;

/**
 * A token told revoked by its authority: a security event token (RFC 8417) that is pushed to us (RFC 8935), with the event
 * {@value #EVENT} of the OAuth event types of the OpenID foundation.
 *
 * @param jti that no other event of the issuer has
 * @param issuedAtMs ms since 1970
 * @param token the token itself: a digest of it says nothing to us, who keep another
 */
public record RevocationEvent(String jti, long issuedAtMs, String token) {
    /** The event's name. */
    public static final String EVENT = "https://schemas.openid.net/secevent/oauth/event-type/token-revoked";
    private static final String TYPE = "secevent+jwt";

    /** Why an event isn't taken: the code of RFC 8935 section 2.4, and a line. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;
        private final String code;

        Refused(String code, String message) {
            super(message, null, false, false);
            this.code = code;
        }

        public String code() {
            return code;
        }
    }

    @Override
    public String toString() {
        return "RevocationEvent[" + jti + "]";
    }

    /** Reads one that the authority signed. */
    public static RevocationEvent read(String text, TrustedKeys keys, String issuer, String audience) throws Refused {
        JWTClaimsSet claims;
        try {
            claims = keys.verified(text, TYPE);
        } catch (TrustedKeys.Untrusted e) {
            throw new Refused("authentication_failed", e.getMessage());
        }
        if (!issuer.isEmpty() && !issuer.equals(claims.getIssuer())) {
            throw new Refused("invalid_issuer", "it is of another issuer");
        }
        if (!audience.isEmpty() && !claims.getAudience().contains(audience)) {
            throw new Refused("invalid_audience", "it is for another audience");
        }
        try {
            Map<String, Object> events = claims.getJSONObjectClaim("events");
            if (events == null || !(events.get(EVENT) instanceof Map<?, ?> event)) {
                throw new Refused("invalid_request", "it has no event " + EVENT);
            }
            if (claims.getJWTID() == null || claims.getJWTID().length() > 256 || claims.getIssueTime() == null) {
                throw new Refused("invalid_request", "it must have jti (of 256 characters at most) and iat");
            }
            Object how = event.get("token_identifier_alg");
            if (!(event.get("token") instanceof String token) || token.isEmpty() || token.length() > BearerToken.MOST
                    || !"plain".equals(how)) {
                throw new Refused("invalid_request", "the event must have token, and token_identifier_alg plain");
            }
            return new RevocationEvent(claims.getJWTID(), claims.getIssueTime().getTime(), token);
        } catch (ParseException e) {
            throw new Refused("invalid_request", "its events are no object");
        }
    }
}
