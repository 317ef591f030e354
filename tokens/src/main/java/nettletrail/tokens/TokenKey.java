package nettletrail.tokens;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * What a token is known by: 128 bits of its HMAC-SHA-256 under a key that this process drew at its start. A token can't be
 * had back from it, nor can a guess be tried on it in a dump that lacks the key. Two tokens share one with a chance of 2^-128.
 */
public record TokenKey(long high, long low) {

    /** Makes keys; one for a process. One thread at a time. */
    public static final class Maker {
        private static final String HMAC = "HmacSHA256";
        private static final int KEY_BYTES = 32;
        private final Mac mac;

        public Maker() {
            byte[] key = new byte[KEY_BYTES];
            new SecureRandom().nextBytes(key);
            try {
                mac = Mac.getInstance(HMAC);
                mac.init(new SecretKeySpec(key, HMAC));
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException("this JVM has no " + HMAC, e); // each must have it
            } finally {
                Arrays.fill(key, (byte) 0);
            }
        }

        public TokenKey of(String token) {
            ByteBuffer digest = ByteBuffer.wrap(mac.doFinal(token.getBytes(StandardCharsets.US_ASCII)));
            return new TokenKey(digest.getLong(), digest.getLong());
        }
    }

    /** Nothing of it: a line in a log shall not tie requests to a token. */
    @Override
    public String toString() {
        return "token";
    }
}
