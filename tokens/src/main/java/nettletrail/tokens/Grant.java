package nettletrail.tokens;

import java.util.Set;

/**
 * What an introspection server says of an active token (RFC 7662 section 2.2). Texts that it doesn't tell are "", sets empty.
 *
 * @param customer what the claim that names the customer says
 * @param expiresAtS seconds since 1970; {@link Long#MAX_VALUE} if not told
 * @param notBeforeS the same; {@link Long#MIN_VALUE} if not told
 */
public record Grant(Set<String> scopes, String clientId, String subject, String issuer, Set<String> audience, String customer,
        long expiresAtS, long notBeforeS) {
    private static final int OVERHEAD_BYTES = 400;

    public Grant {
        scopes = Set.copyOf(scopes);
        audience = Set.copyOf(audience);
    }

    /** About how many bytes it takes in memory. */
    public int bytes() {
        int characters = clientId.length() + subject.length() + issuer.length() + customer.length();
        for (String each : scopes) {
            characters += each.length() + Long.BYTES * 6;
        }
        for (String each : audience) {
            characters += each.length() + Long.BYTES * 6;
        }
        return OVERHEAD_BYTES + characters;
    }
}
