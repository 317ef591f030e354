package nettletrail.tokens;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What clients send and what introspection servers answer, read. */
class ReadingTest {
    private static Introspected read(String json) {
        return Introspected.read("application/json", json.getBytes(StandardCharsets.UTF_8), "customer");
    }

    private static void unusable(String why, Introspected read) {
        String told = assertInstanceOf(Introspected.Unusable.class, read).why();
        assertTrue(told.contains(why), told);
    }

    @Test
    void anActiveAnswerIsReadWhole() {
        Grant grant = assertInstanceOf(Introspected.Active.class, read("{\"active\":true,\"scope\":\"a  b\",\"client_id\":\"x\","
                + "\"sub\":\"s\",\"iss\":\"i\",\"aud\":[\"g\",\"h\"],\"exp\":1800000000.9,\"nbf\":1,\"customer\":\"00aa\","
                + "\"further\":{\"x\":[1]}}")).grant();
        assertEquals(new Grant(Set.of("a", "b"), "x", "s", "i", Set.of("g", "h"), "00aa", 1_800_000_000L, 1), grant);
        assertEquals(Set.of("g"), ((Introspected.Active) read("{\"active\":true,\"aud\":\"g\"}")).grant().audience());
        assertInstanceOf(Introspected.Inactive.class, read("{\"active\":false,\"scope\":7}"));
    }

    /** Hard case 4. */
    @Test
    void whatIsNotClearlyActiveIsNot() {
        unusable("no object", read("[{\"active\":true}]"));
        unusable("'active'", read("{\"active\":\"true\"}"));
        unusable("'active'", read("{}"));
        unusable("no JSON", read("<html>active</html>"));
        unusable("no JSON", read("{\"active\":true"));
        unusable("'exp'", read("{\"active\":true,\"exp\":\"tomorrow\"}"));
        unusable("'exp'", read("{\"active\":true,\"exp\":1e300}"));
        unusable("'aud'", read("{\"active\":true,\"aud\":[1]}"));
        unusable("'scope'", read("{\"active\":true,\"scope\":[\"order\"]}"));
        unusable("bytes", read("{\"active\":true,\"x\":\"" + "y".repeat(1 << 20) + "\"}"));
        unusable("application/json", Introspected.read("text/html", "{\"active\":true}".getBytes(StandardCharsets.UTF_8), ""));
        unusable("application/json", Introspected.read(null, new byte[0], ""));
    }

    @Test
    void deepNestingIsNoReasonToFall() {
        unusable("no JSON", read("{\"active\":true,\"x\":" + "[".repeat(30_000)));
    }

    @Test
    void credentialsAreReadAsTheRfcHasThem() {
        assertEquals(new BearerToken.Present("mF_9.B5f-4.1JqM=="), BearerToken.read(List.of("Bearer mF_9.B5f-4.1JqM==")));
        assertEquals(new BearerToken.Present("a"), BearerToken.read(List.of("bEARER   a ")));
        assertInstanceOf(BearerToken.Absent.class, BearerToken.read(List.of()));
        assertInstanceOf(BearerToken.Absent.class, BearerToken.read(List.of("Basic YTpi")));
        for (String bad : List.of("Bearer", "Bearer ", "Bearer a b", "Bearer ====", "Bearer \u00e9", "Bearer " + "a".repeat(5_000),
                "Bearer a\"")) {
            BearerToken.Malformed read = assertInstanceOf(BearerToken.Malformed.class, BearerToken.read(List.of(bad)), bad);
            assertFalse(read.why().contains("aaaa"));
        }
        assertInstanceOf(BearerToken.Malformed.class, BearerToken.read(List.of("Bearer a", "Bearer b")));
    }

    @Test
    void nothingThatIsPrintedHoldsATokenAndKeysDifferByProcess() {
        TokenKey.Maker maker = new TokenKey.Maker();
        assertEquals(maker.of("secret-token"), maker.of("secret-token"));
        assertNotEquals(maker.of("secret-token"), maker.of("secret-tokem"));
        assertNotEquals(maker.of("secret-token"), new TokenKey.Maker().of("secret-token"), "another process has other keys");
        assertEquals("token", maker.of("secret-token").toString());
        assertFalse(new BearerToken.Present("secret-token").toString().contains("secret"));
    }

    @Test
    void metadataAreFollowedToOurServersOnly() {
        java.net.InetSocketAddress ours = nettletrail.core.Endpoint.parseAddress("127.0.0.1:8090");
        java.util.function.Function<String, String> path = json -> Metadata.introspectionPath(
                json.getBytes(StandardCharsets.UTF_8), "as", List.of(ours));
        assertEquals("/a?b=c", path.apply("{\"issuer\":\"as\",\"introspection_endpoint\":\"http://127.0.0.1:8090/a?b=c\"}"));
        for (String bad : List.of("[]", "{", "{\"issuer\":\"x\",\"introspection_endpoint\":\"http://127.0.0.1:8090/a\"}",
                "{\"issuer\":\"as\"}", "{\"issuer\":\"as\",\"introspection_endpoint\":\"http://127.0.0.2:8090/a\"}",
                "{\"issuer\":\"as\",\"introspection_endpoint\":\"not a URL\"}",
                "{\"issuer\":\"as\",\"introspection_endpoint\":\"https://127.0.0.1:8090/a\"}")) {
            org.junit.jupiter.api.Assertions.assertThrows(IllegalArgumentException.class, () -> path.apply(bad), bad);
        }
    }

    @Test
    void challengesAreTheRfcs() {
        assertEquals("Bearer realm=\"gw\"", Verdict.Why.NO_TOKEN.challenge("gw", ""));
        assertEquals("Bearer realm=\"gw\", error=\"insufficient_scope\", error_description=\"the token's scope does not cover "
                + "this class of requests\", scope=\"order\"", Verdict.Why.SCOPE.challenge("gw", "order"));
        assertEquals("", Verdict.Why.NO_TIME.challenge("gw", ""));
    }
}
