package nettletrail.tokens;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.List;
import java.util.Map;
import nettletrail.core.Endpoint;

/** An authority's metadata (RFC 8414 section 2), as far as they tell where to ask about tokens. */
final class Metadata {
    private Metadata() { }

    /**
     * Path and query of the introspection endpoint.
     *
     * @param issuer that the metadata must be of: with another's, an attacker could have us ask elsewhere (section 3.3)
     * @param servers that we ask; an endpoint elsewhere is not followed
     * @throws IllegalArgumentException if there is none that can be used; the message says why
     */
    static String introspectionPath(byte[] body, String issuer, List<InetSocketAddress> servers) {
        Object parsed;
        try {
            parsed = body.length > Introspected.MOST_BYTES ? null : JSON.std.anyFrom(body);
        } catch (IOException | RuntimeException e) {
            throw new IllegalArgumentException("they are no JSON", e);
        }
        if (!(parsed instanceof Map<?, ?> members)) {
            throw new IllegalArgumentException("they are no object of " + Introspected.MOST_BYTES + " bytes at most");
        }
        if (!issuer.equals(members.get("issuer"))) {
            throw new IllegalArgumentException("they are of another issuer");
        }
        if (!(members.get("introspection_endpoint") instanceof String endpoint)) {
            throw new IllegalArgumentException("they have no introspection_endpoint");
        }
        try {
            URI uri = new URI(endpoint);
            InetSocketAddress address = uri.getAuthority() == null ? null : Endpoint.parseAddress(uri.getAuthority());
            if (address == null || !servers.contains(address) || !"http".equals(uri.getScheme())) {
                throw new IllegalArgumentException("their introspection_endpoint is not at one of our servers, over http");
            }
            String path = uri.getRawPath() == null || uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
            return uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
        } catch (URISyntaxException e) {
            throw new IllegalArgumentException("their introspection_endpoint is no URL", e);
        }
    }
}
