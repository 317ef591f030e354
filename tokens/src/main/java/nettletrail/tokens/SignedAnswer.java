package nettletrail.tokens;

import com.nimbusds.jose.util.JSONObjectUtils;
import com.nimbusds.jwt.JWTClaimsSet;
import java.nio.charset.StandardCharsets;
import java.text.ParseException;
import java.util.Map;

/**
 * An introspection answer that is a signed JWT (RFC 9701 section 5): made by the issuer, for this front door, not long ago.
 *
 * @param issuer that must have made it; "" for any whose key it is
 * @param clientId for whom it must be; "" for no check
 * @param skewS by which its time of making may lie ahead
 * @param mostAgeS older ones are none: an answer said again later would make a revoked token good
 */
public record SignedAnswer(TrustedKeys keys, String issuer, String clientId, long skewS, long mostAgeS) {
    /** What such an answer says it is. */
    public static final String CONTENT_TYPE = "application/token-introspection+jwt";
    private static final String TYPE = "token-introspection+jwt";
    private static final String CLAIM = "token_introspection";

    /**
     * The answer inside.
     *
     * @param nowMs ms since 1970
     */
    public Introspected read(String contentType, byte[] body, String customerClaim, long nowMs) {
        if (body.length > Introspected.MOST_BYTES) {
            return new Introspected.Unusable("the answer has more than " + Introspected.MOST_BYTES + " bytes");
        }
        if (contentType == null || !contentType.split(";", 2)[0].strip().equalsIgnoreCase(CONTENT_TYPE)) {
            return new Introspected.Unusable("the answer is not " + CONTENT_TYPE);
        }
        try {
            JWTClaimsSet claims = keys.verified(new String(body, StandardCharsets.US_ASCII).strip(), TYPE);
            if (!issuer.isEmpty() && !issuer.equals(claims.getIssuer())) {
                return new Introspected.Unusable("the signed answer is of another issuer");
            }
            if (!clientId.isEmpty() && !claims.getAudience().contains(clientId)) {
                return new Introspected.Unusable("the signed answer is for another client");
            }
            if (claims.getIssueTime() == null || claims.getIssueTime().getTime() > nowMs + skewS * 1_000
                    || claims.getIssueTime().getTime() < nowMs - (mostAgeS + skewS) * 1_000) {
                return new Introspected.Unusable("the signed answer was not made just now");
            }
            Map<String, Object> inner = claims.getJSONObjectClaim(CLAIM);
            if (inner == null) {
                return new Introspected.Unusable("the signed answer has no " + CLAIM);
            }
            return Introspected.read("application/json", JSONObjectUtils.toJSONString(inner)
                    .getBytes(StandardCharsets.UTF_8), customerClaim);
        } catch (TrustedKeys.Untrusted e) {
            return new Introspected.Unusable("the signed answer: " + e.getMessage());
        } catch (ParseException e) {
            return new Introspected.Unusable("the signed answer has claims of the wrong kind");
        }
    }
}
