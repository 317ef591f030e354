package nettletrail.tokens;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.nimbusds.jose.jwk.Curve;
import com.nimbusds.jose.jwk.gen.ECKeyGenerator;
import com.nimbusds.jwt.SignedJWT;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import nettletrail.core.EventLoopClock;
import nettletrail.core.SettingsSection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What introspection servers read of a front door, what refused clients read, and the keys of the section. */
@Timeout(60)
class TokensFormTest {
    @TempDir
    private Path folder;
    private final List<String> lines = new ArrayList<>();

    /** Compares with the approved text; what was found is left in the build's folder. */
    private void verify(String name) throws Exception {
        String found = String.join("\n", lines) + "\n";
        Files.createDirectories(Path.of("target", "outer-forms"));
        Files.writeString(Path.of("target", "outer-forms", name), found);
        Path approved = Path.of("src", "test", "resources", "outer-forms", name);
        assertEquals(Files.exists(approved) ? Files.readString(approved) : "", found, name);
    }

    private String secret(String text) throws Exception {
        Path file = Files.writeString(folder.resolve("secret"), text + "\n");
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
        return file.toString();
    }

    /** One call as its server reads it. */
    private void ask(String what, Object... more) throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(10_000);
            Map<String, Object> given = new HashMap<>(Map.of("servers", "127.0.0.1:" + server.getLocalPort()));
            for (int i = 0; i < more.length; i += 2) {
                given.put((String) more[i], more[i + 1]);
            }
            TokensSettings settings = TokensSettings.of(TokensSettings.section().read(given,
                    fault -> lines.add("" + fault)));
            EventLoop loop = group.next();
            loop.submit(() -> {
                IntrospectionCalls calls = new IntrospectionCalls(settings, loop, new EventLoopClock(), "n0", null);
                if (settings.metadataPath().isEmpty()) {
                    loop.execute(() -> calls.ask("a token+/=", 7, answer -> { }));
                }
            }).sync();
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(10_000);
                lines.add("== " + what);
                lines.addAll(masked(read(socket.getInputStream())).replace(":" + server.getLocalPort(), ":PORT").lines()
                        .toList());
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private static String read(InputStream in) throws Exception {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        Matcher length = Pattern.compile("(?i)content-length: (\\d+)").matcher(head);
        byte[] body = in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        return head + new String(body, StandardCharsets.US_ASCII).replace("&", "\n&");
    }

    /** An assertion is signed anew each time: in its place its header's and its claims' names. */
    private static String masked(String call) throws Exception {
        Matcher assertion = Pattern.compile("(&client_assertion=)(\\S+)").matcher(call);
        if (!assertion.find()) {
            return call;
        }
        SignedJWT jwt = SignedJWT.parse(assertion.group(2));
        return assertion.replaceAll("$1" + new TreeSet<>(jwt.getHeader().toJSONObject().keySet()) + " "
                + jwt.getHeader().getAlgorithm() + " " + new TreeSet<>(jwt.getJWTClaimsSet().getClaims().keySet()) + " "
                + jwt.getJWTClaimsSet().getIssuer() + " " + jwt.getJWTClaimsSet().getSubject() + " "
                + jwt.getJWTClaimsSet().getAudience()).replaceAll("(content-length: )\\d+", "$1N");
    }

    @Test
    void callsHaveTheirForm() throws Exception {
        ask("no client");
        ask("basic", "client_id", "g w", "client_secret_file", secret("s/1"));
        ask("post", "client_id", "g w", "client_secret_file", secret("s/1"), "client_auth", "post", "path", "/other");
        String key = new ECKeyGenerator(Curve.P_256).keyID("k1").generate().toJSONString();
        ask("private_key_jwt", "client_id", "gw", "client_secret_file", secret(key), "client_auth", "private_key_jwt",
                "assertion_audience", "https://authority");
        ask("metadata", "metadata_path", "/.well-known/oauth-authorization-server", "issuer", "https://authority");
        verify("tokens-calls.txt");
    }

    /** In the order in which they are told; the description is prose. */
    @Test
    void refusalsHaveTheirStatusAndChallenge() throws Exception {
        for (Verdict.Why each : Verdict.Why.values()) {
            lines.add(each.status() + " " + each.challenge("gw", each.status() == 403 ? "orders" : "")
                    .replaceAll("(error_description=\")[^\"]+", "$1..."));
        }
        verify("tokens-challenges.txt");
    }

    @Test
    void sectionHasItsKeys() throws Exception {
        SettingsSection section = TokensSettings.section();
        section.keys().forEach(each -> lines.add(section.name() + "." + each.name() + " = " + each.defaultValue() + ", kind "
                + each.kind().ordinal() + " from " + each.min() + " to " + each.max()));
        TokensSettings.of(section.read(Map.of(), fault -> lines.add("fault " + fault.key())));
        verify("tokens-settings.txt");
    }
}
