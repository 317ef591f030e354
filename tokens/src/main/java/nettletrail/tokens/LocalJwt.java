package nettletrail.tokens;

import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.SignedJWT;
import java.text.ParseException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Access tokens that are JWTs of a known issuer (RFC 9068), checked here instead of asked about. What this saves in calls it
 * costs in revocation: such a token is good until its end, or until its revocation is pushed.
 *
 * @param issuer whose tokens these are; others are asked about
 * @param customerClaim name of the claim that names the customer; "" for none
 */
public record LocalJwt(TrustedKeys keys, String issuer, String customerClaim) {
    private static final String TYPE = "at+jwt";

    /** What the token says, as if a server had said it; empty if it is none of the issuer's, and must be asked about. */
    public Optional<Introspected> read(String token) {
        try {
            if (!issuer.equals(SignedJWT.parse(token).getJWTClaimsSet().getIssuer())) {
                return Optional.empty();
            }
        } catch (ParseException | RuntimeException e) {
            return Optional.empty(); // an opaque one, which may have dots too
        }
        try {
            JWTClaimsSet claims = keys.verified(token, TYPE);
            if (claims.getExpirationTime() == null) {
                return Optional.of(new Introspected.Inactive()); // RFC 9068 section 2.2: it must have one
            }
            String scope = claims.getStringClaim("scope");
            Set<String> scopes = new HashSet<>(scope == null ? List.of() : List.of(scope.split(" ")));
            scopes.remove("");
            return Optional.of(new Introspected.Active(new Grant(scopes, text(claims, "client_id"), text(claims, "sub"), issuer,
                    new HashSet<>(claims.getAudience()), customerClaim.isEmpty() ? "" : text(claims, customerClaim),
                    claims.getExpirationTime().getTime() / 1_000, claims.getNotBeforeTime() == null ? Long.MIN_VALUE
                            : claims.getNotBeforeTime().getTime() / 1_000)));
        } catch (TrustedKeys.Untrusted | ParseException e) {
            return Optional.of(new Introspected.Inactive());
        }
    }

    private static String text(JWTClaimsSet claims, String name) throws ParseException {
        String text = claims.getStringClaim(name);
        return text == null ? "" : text;
    }
}
