package nettletrail.tokens;

import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSHeader;
import com.nimbusds.jose.JWSSigner;
import com.nimbusds.jose.crypto.ECDSASigner;
import com.nimbusds.jose.crypto.RSASSASigner;
import com.nimbusds.jose.jwk.Curve;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.jwk.JWK;
import com.nimbusds.jose.jwk.RSAKey;
import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.SignedJWT;
import java.io.IOException;
import java.text.ParseException;
import java.util.Arrays;
import java.util.Date;
import java.util.UUID;
import nettletrail.core.SecretFile;

/**
 * How this front door proves who it is with a key of its own (private_key_jwt; RFC 7523 sections 2.2 and 3): a JWT signed
 * for each call, good for a minute. The key is a private JWK in a file for this user only, read anew for each: a key that was
 * changed is used at once.
 */
final class ClientAssertion {
    /** Value of {@code client_assertion_type}. */
    static final String TYPE = "urn:ietf:params:oauth:client-assertion-type:jwt-bearer";
    private static final long GOOD_MS = 60_000;

    private ClientAssertion() { }

    /**
     * @param audience the authority, as its metadata names it
     * @param nowMs ms since 1970
     * @throws IOException if the file holds no key that can be used; the message names the file and nothing that is in it
     */
    static String make(String keyFile, String clientId, String audience, long nowMs) throws IOException {
        char[] text = SecretFile.read(keyFile);
        try {
            JWK key = JWK.parse(new String(text));
            JWSSigner signer;
            JWSAlgorithm algorithm;
            if (key instanceof RSAKey rsa && rsa.isPrivate()) {
                signer = new RSASSASigner(rsa);
                algorithm = JWSAlgorithm.PS256;
            } else if (key instanceof ECKey ec && ec.isPrivate() && ec.getCurve().equals(Curve.P_256)) {
                signer = new ECDSASigner(ec);
                algorithm = JWSAlgorithm.ES256;
            } else {
                throw new IOException(keyFile + " holds no private RSA or P-256 key; name a private JWK");
            }
            SignedJWT made = new SignedJWT(new JWSHeader.Builder(algorithm).keyID(key.getKeyID()).build(),
                    new JWTClaimsSet.Builder().issuer(clientId).subject(clientId).audience(audience)
                            .jwtID(UUID.randomUUID().toString()).issueTime(new Date(nowMs))
                            .expirationTime(new Date(nowMs + GOOD_MS)).build());
            made.sign(signer);
            return made.serialize();
        } catch (ParseException e) {
            throw new IOException(keyFile + " holds no JWK (RFC 7517); name a private JWK"); // without the cause: it may quote
        } catch (JOSEException e) {
            throw new IOException(keyFile + " holds a key that can't sign", e);
        } finally {
            Arrays.fill(text, '\0');
        }
    }
}
