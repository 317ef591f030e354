package nettletrail.tokens;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.nimbusds.jose.JOSEObjectType;
import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSHeader;
import com.nimbusds.jose.JWSSigner;
import com.nimbusds.jose.crypto.ECDSASigner;
import com.nimbusds.jose.crypto.ECDSAVerifier;
import com.nimbusds.jose.crypto.MACSigner;
import com.nimbusds.jose.jwk.Curve;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.jwk.JWKSet;
import com.nimbusds.jose.jwk.gen.ECKeyGenerator;
import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.SignedJWT;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Date;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What an authority signs, and what this front door signs. */
@Timeout(60)
class SignedTest {
    private static final long NOW = 1_800_000_000_000L;
    private static final String ANSWER = "token-introspection+jwt";
    private static final String EVENT = "secevent+jwt";

    @TempDir
    private Path folder;
    private Path file;
    private ECKey key;
    private TrustedKeys keys;

    @BeforeEach
    void make() throws Exception {
        key = new ECKeyGenerator(Curve.P_256).keyID("one").generate();
        file = folder.resolve("keys.json");
        Files.writeString(file, new JWKSet(key).toString(true));
        keys = new TrustedKeys(file);
    }

    private static String signed(ECKey by, String type, JWTClaimsSet claims) throws Exception {
        return signed(new ECDSASigner(by), new JWSHeader.Builder(JWSAlgorithm.ES256).keyID(by.getKeyID())
                .type(new JOSEObjectType(type)).build(), claims);
    }

    private static String signed(JWSSigner signer, JWSHeader head, JWTClaimsSet claims) throws Exception {
        SignedJWT made = new SignedJWT(head, claims);
        made.sign(signer);
        return made.serialize();
    }

    private static JWTClaimsSet.Builder answer() {
        return new JWTClaimsSet.Builder().issuer("as").audience("gw").issueTime(new Date(NOW))
                .claim("token_introspection", Map.of("active", true, "scope", "order", "customer", "c", "exp", 1_900_000_000L));
    }

    private Introspected read(String text) {
        return new SignedAnswer(keys, "as", "gw", 30, 30).read(SignedAnswer.CONTENT_TYPE, text.getBytes(StandardCharsets.US_ASCII),
                "customer", NOW);
    }

    private void unusable(String text) {
        assertInstanceOf(Introspected.Unusable.class, read(text));
    }

    @Test
    void aSignedAnswerIsReadAsTheOneInsideIt() throws Exception {
        Grant grant = assertInstanceOf(Introspected.Active.class, read(signed(key, ANSWER, answer().build()))).grant();
        assertEquals("c", grant.customer());
        assertEquals(1_900_000_000L, grant.expiresAtS());
    }

    @Test
    void whatTheAuthorityHasNotSignedForUsJustNowIsNoAnswer() throws Exception {
        ECKey other = new ECKeyGenerator(Curve.P_256).keyID("one").generate();
        unusable(signed(other, ANSWER, answer().build()));
        unusable(signed(key, "JWT", answer().build()));
        unusable(signed(key, ANSWER, answer().issuer("another").build()));
        unusable(signed(key, ANSWER, answer().audience("another").build()));
        unusable(signed(key, ANSWER, answer().issueTime(new Date(NOW - 61_000)).build()));
        unusable(signed(key, ANSWER, answer().issueTime(new Date(NOW + 31_000)).build()));
        unusable(signed(key, ANSWER, answer().claim("token_introspection", "active").build()));
        unusable(signed(key, ANSWER, answer().claim("token_introspection", Map.of("active", "true")).build()));
        String good = signed(key, ANSWER, answer().build());
        unusable(good.substring(0, good.lastIndexOf('.') + 1));
        unusable("eyJhbGciOiJub25lIiwidHlwIjoidG9rZW4taW50cm9zcGVjdGlvbitqd3QifQ." + good.split("\\.")[1] + ".");
        // Signed with the public key as if it were a shared secret.
        unusable(signed(new MACSigner(key.toPublicJWK().toJSONString().getBytes(StandardCharsets.UTF_8)),
                new JWSHeader.Builder(JWSAlgorithm.HS256).keyID("one").type(new JOSEObjectType(ANSWER)).build(), answer().build()));
        unusable("{\"active\":true}");
        assertInstanceOf(Introspected.Unusable.class, new SignedAnswer(keys, "as", "gw", 30, 30).read("application/json",
                "{\"active\":true}".getBytes(StandardCharsets.US_ASCII), "", NOW), "unsigned where signed is asked for");
    }

    @Test
    void keysThatRotateAreFoundAndAHalfWrittenFileLosesNone() throws Exception {
        ECKey next = new ECKeyGenerator(Curve.P_256).keyID("two").generate();
        unusable(signed(next, ANSWER, answer().build()));
        Files.writeString(file, new JWKSet(List.of(key, next)).toString(true));
        Files.setLastModifiedTime(file, FileTime.fromMillis(NOW));
        assertInstanceOf(Introspected.Active.class, read(signed(next, ANSWER, answer().build())));
        Files.writeString(file, "{\"keys\":[");
        assertInstanceOf(Introspected.Active.class, read(signed(key, ANSWER, answer().build())));
        assertTrue(assertThrows(IOException.class, () -> new TrustedKeys(file)).getMessage().contains("no JWK set"));
        Files.writeString(file, "{\"keys\":[]}");
        assertThrows(IOException.class, () -> new TrustedKeys(file));
    }

    private static JWTClaimsSet.Builder access() {
        return new JWTClaimsSet.Builder().issuer("as").audience("gw").subject("s").claim("scope", "a b").claim("customer", "c")
                .expirationTime(new Date(NOW + 60_000));
    }

    @Test
    void theIssuersOwnJwtsAreCheckedHereAndOthersAskedAbout() throws Exception {
        LocalJwt local = new LocalJwt(keys, "as", "customer");
        Grant grant = assertInstanceOf(Introspected.Active.class, local.read(signed(key, "at+jwt", access().build())).orElseThrow())
                .grant();
        assertEquals(new Grant(java.util.Set.of("a", "b"), "", "s", "as", java.util.Set.of("gw"), "c", NOW / 1_000 + 60,
                Long.MIN_VALUE), grant);
        assertTrue(local.read("opaque").isEmpty());
        assertTrue(local.read("a.b.c").isEmpty());
        assertTrue(local.read(signed(key, "at+jwt", access().issuer("another").build())).isEmpty());
        ECKey other = new ECKeyGenerator(Curve.P_256).keyID("one").generate();
        for (String bad : List.of(signed(other, "at+jwt", access().build()), signed(key, "JWT", access().build()),
                signed(key, "at+jwt", access().expirationTime(null).build()),
                signed(key, "at+jwt", access().claim("scope", 7).build()))) {
            assertInstanceOf(Introspected.Inactive.class, local.read(bad).orElseThrow());
        }
    }

    private static JWTClaimsSet.Builder event(Object token) {
        return new JWTClaimsSet.Builder().issuer("as").audience("gw").issueTime(new Date(NOW)).jwtID("j1").claim("events",
                Map.of(RevocationEvent.EVENT, Map.of("token_identifier_alg", "plain", "token", token)));
    }

    @Test
    void eventsAreReadAndOthersRefusedWithTheRfcsCodes() throws Exception {
        assertEquals("tok-1", RevocationEvent.read(signed(key, EVENT, event("tok-1").build()), keys, "as", "gw").token());
        Map<String, String> bad = Map.of(signed(key, ANSWER, event("t").build()), "authentication_failed",
                signed(new ECKeyGenerator(Curve.P_256).keyID("one").generate(), EVENT, event("t").build()), "authentication_failed",
                signed(key, EVENT, event("t").issuer("x").build()), "invalid_issuer",
                signed(key, EVENT, event("t").audience("x").build()), "invalid_audience",
                signed(key, EVENT, event(7).build()), "invalid_request",
                signed(key, EVENT, event("t").claim("events", List.of()).build()), "invalid_request",
                signed(key, EVENT, event("t").jwtID(null).build()), "invalid_request");
        bad.forEach((text, code) -> assertEquals(code, assertThrows(RevocationEvent.Refused.class,
                () -> RevocationEvent.read(text, keys, "as", "gw")).code()));
    }

    @Test
    void revocationsArePushedOverHttp() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        EventLoop loop = group.next();
        BlockingQueue<String> revoked = new LinkedBlockingQueue<>();
        try (Revocations revocations = new Revocations(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), keys, "as",
                "gw", revoked::add)) {
            String event = signed(key, EVENT, event("tok-1").build());
            assertTrue(post(revocations, "application/secevent+jwt", event).startsWith("HTTP/1.1 202 "));
            assertEquals("tok-1", revoked.poll(10, TimeUnit.SECONDS));
            String wrong = post(revocations, "application/secevent+jwt", event.substring(1));
            assertTrue(wrong.startsWith("HTTP/1.1 400 ") && wrong.contains("\"err\":\"authentication_failed\""), wrong);
            assertFalse(wrong.contains("tok-1"));
            assertTrue(post(revocations, "application/json", event).startsWith("HTTP/1.1 400 "));
            assertTrue(post(revocations, "application/secevent+jwt", "x".repeat(20_000)).startsWith("HTTP/1.1 413 "));
            assertTrue(revoked.isEmpty());
            assertThrows(IllegalArgumentException.class, () -> new Revocations(loop, revocations.address(), keys, "", "",
                    revoked::add));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static String post(Revocations to, String type, String body) throws IOException {
        try (Socket socket = new Socket(to.address().getAddress(), to.address().getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(("POST " + Revocations.PATH + " HTTP/1.1\r\nHost: x\r\nContent-Type: " + type
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
            byte[] answer = new byte[4_096];
            int read = socket.getInputStream().read(answer);
            return new String(answer, 0, Math.max(0, read), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void theClientsAssertionIsSignedForOneMinuteWithTheKeyInTheFile() throws Exception {
        Path secret = folder.resolve("client.jwk");
        Files.writeString(secret, key.toJSONString());
        Files.setPosixFilePermissions(secret, PosixFilePermissions.fromString("rw-------"));
        SignedJWT made = SignedJWT.parse(ClientAssertion.make(secret.toString(), "gw", "https://as", NOW));
        assertTrue(made.verify(new ECDSAVerifier(key.toPublicJWK())));
        JWTClaimsSet claims = made.getJWTClaimsSet();
        assertEquals(List.of("gw", "gw", "https://as"), List.of(claims.getIssuer(), claims.getSubject(), claims.getAudience().get(0)));
        assertEquals(NOW + 60_000, claims.getExpirationTime().getTime());
        Files.writeString(secret, key.toPublicJWK().toJSONString());
        assertThrows(IOException.class, () -> ClientAssertion.make(secret.toString(), "gw", "https://as", NOW));
        Files.writeString(secret, "{\"kty\":\"EC\",\"d\":\"never-shown\"}");
        assertFalse(assertThrows(IOException.class, () -> ClientAssertion.make(secret.toString(), "gw", "https://as", NOW))
                .getMessage().contains("never-shown"));
        Files.setPosixFilePermissions(secret, PosixFilePermissions.fromString("rw-r--r--"));
        assertTrue(assertThrows(IOException.class, () -> ClientAssertion.make(secret.toString(), "gw", "https://as", NOW))
                .getMessage().contains("chmod 600"));
    }
}
