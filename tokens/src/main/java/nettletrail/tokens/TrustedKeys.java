package nettletrail.tokens;

import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.JOSEObjectType;
import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.KeySourceException;
import com.nimbusds.jose.jwk.JWK;
import com.nimbusds.jose.jwk.JWKSelector;
import com.nimbusds.jose.jwk.JWKSet;
import com.nimbusds.jose.jwk.source.JWKSource;
import com.nimbusds.jose.proc.BadJOSEException;
import com.nimbusds.jose.proc.DefaultJOSEObjectTypeVerifier;
import com.nimbusds.jose.proc.JWSVerificationKeySelector;
import com.nimbusds.jose.proc.SecurityContext;
import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.proc.DefaultJWTProcessor;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.text.ParseException;
import java.util.List;
import java.util.Set;

/**
 * Public keys of an authority (a JWK set, RFC 7517, in a file) and what is signed with them. Keys that rotate are found: the
 * file is read again when its time has changed. Only signatures with keys of two halves are taken, so that whoever can read
 * the file can sign nothing. One thread.
 */
public final class TrustedKeys implements JWKSource<SecurityContext> {
    private static final long MOST_BYTES = 256 << 10;
    private static final Set<JWSAlgorithm> ALGORITHMS = Set.of(JWSAlgorithm.RS256, JWSAlgorithm.RS384, JWSAlgorithm.RS512,
            JWSAlgorithm.PS256, JWSAlgorithm.PS384, JWSAlgorithm.PS512, JWSAlgorithm.ES256, JWSAlgorithm.ES384, JWSAlgorithm.ES512);

    /** What was given is not signed by the authority, or not what it should be. The message repeats nothing of it. */
    public static final class Untrusted extends Exception {
        private static final long serialVersionUID = 1L;

        Untrusted(String message, Throwable cause) {
            super(message, cause, false, false);
        }
    }

    private final Path file;
    private JWKSet keys = new JWKSet();
    private FileTime read;
    private long size = -1;

    /** @throws IOException if the file holds no keys that can be used; the message names it and says why */
    public TrustedKeys(Path file) throws IOException {
        this.file = file;
        refresh();
    }

    private void refresh() throws IOException {
        FileTime changed;
        long bytes;
        try {
            changed = Files.getLastModifiedTime(file);
            bytes = Files.size(file);
        } catch (IOException e) {
            throw new IOException(file + " can't be read (" + e.getClass().getSimpleName() + "); name a file of public keys", e);
        }
        if (changed.equals(read) && bytes == size) {
            return;
        }
        if (bytes > MOST_BYTES) {
            throw new IOException(file + " has more than " + MOST_BYTES + " bytes; name a JWK set");
        }
        try {
            JWKSet loaded = JWKSet.parse(Files.readString(file)).toPublicJWKSet();
            if (loaded.isEmpty()) {
                throw new IOException(file + " holds no public keys; name a JWK set of RSA or EC keys");
            }
            keys = loaded;
            read = changed;
            size = bytes;
        } catch (ParseException e) {
            throw new IOException(file + " holds no JWK set (RFC 7517)", e);
        }
    }

    @Override
    public List<JWK> get(JWKSelector selector, SecurityContext context) throws KeySourceException {
        try {
            refresh();
        } catch (IOException e) {
            if (keys.isEmpty()) {
                throw new KeySourceException(e.getMessage(), e);
            }
            // Half written or gone for a moment: those read before still hold.
        }
        return selector.select(keys);
    }

    /**
     * The claims of a JWT of this type that one of the keys has signed; their times and names are the caller's to check.
     *
     * @param type as its head must name it, as "secevent+jwt"
     */
    public JWTClaimsSet verified(String text, String type) throws Untrusted {
        DefaultJWTProcessor<SecurityContext> processor = new DefaultJWTProcessor<>();
        processor.setJWSTypeVerifier(new DefaultJOSEObjectTypeVerifier<>(new JOSEObjectType(type)));
        processor.setJWSKeySelector(new JWSVerificationKeySelector<>(ALGORITHMS, this));
        processor.setJWTClaimsSetVerifier((claims, context) -> { });
        try {
            return processor.process(text, null);
        } catch (ParseException e) {
            throw new Untrusted("it is no signed JWT", e);
        } catch (BadJOSEException e) {
            throw new Untrusted("it is no JWT of type " + type + " signed with a key in " + file.getFileName(), e);
        } catch (JOSEException e) {
            throw new Untrusted("its signature can't be checked", e);
        }
    }
}
