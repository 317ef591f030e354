package nettletrail.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;
import nettletrail.core.Authorizer;
import nettletrail.core.FrontDoorExtensions;
import nettletrail.core.Frontend;
import nettletrail.core.InboundRequest;
import nettletrail.core.SettingsSection;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;
import nettletrail.door.FrontDoor;
import nettletrail.door.FrontDoorConfig;
import nettletrail.extproc.ExtProcServer;
import nettletrail.extproc.ExtProcSettings;
import nettletrail.introspection.StandInIntrospection;
import nettletrail.introspection.StandInIntrospection.Fault;
import nettletrail.site.Ledger;
import nettletrail.site.SiteSettings;
import nettletrail.site.StandInAgent;
import nettletrail.site.StandInBackend;
import nettletrail.tokens.TokensAdmission;
import nettletrail.tokens.TokensSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** A front door on sockets whose requests need tokens, the servers that it asks about them, and a backend with a ledger. */
abstract class TokensAtADoor {
    static final String CUSTOMER = "00000000000000aa";
    private static final String SECRET = "s3cret-never-shown";

    @TempDir
    private Path folder;
    final NioEventLoopGroup group = new NioEventLoopGroup(2);
    final Ledger ledger = new Ledger();
    /** For the section; what a test needs otherwise it sets when it is made. */
    Map<String, String> stale = Map.of();
    int freshS = 60;
    int mostWaiting = 4_096;
    int mostAsking = 1_024;
    int mostPartPct = 100;
    int sockets = 1_024;
    private final AtomicInteger number = new AtomicInteger();
    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
    private final PrintStream errBefore = System.err;
    final List<StandInIntrospection> servers = new ArrayList<>();
    StandInAgent agent;
    StandInBackend backend;
    FrontDoor door;
    final AtomicInteger asks = new AtomicInteger();
    volatile IntConsumer beforeAsk = count -> { };
    TokensAdmission admission;
    ExtProcServer proxied;

    record Reply(int status, String text, long tookMs) {
        boolean has(String part) {
            return text.contains(part);
        }
    }

    @BeforeEach
    void make() throws Exception {
        System.setErr(new PrintStream(printed, true, StandardCharsets.UTF_8));
        agent = new StandInAgent(group);
        backend = new StandInBackend("s-0", group, ledger, StandInBackend.Manner.good(1), 0);
        agent.set(backend.name(), backend.address(), "SERVING", 0);
        Path secret = folder.resolve("secret");
        Files.writeString(secret, SECRET + "\n");
        Files.setPosixFilePermissions(secret, PosixFilePermissions.fromString("rw-------"));
        for (int i = 0; i < 2; i++) {
            servers.add(new StandInIntrospection(group, "gw", SECRET, i));
        }
        start("/introspect", "", "");
    }

    void start(String path, String metadataPath, String issuer) throws Exception {
        Path secret = folder.resolve("secret");
        TokensSettings tokens = new TokensSettings(servers.stream().map(StandInIntrospection::address).toList(), path, metadataPath,
                "gw", secret.toString(), TokensSettings.ClientAuth.BASIC, "", false, false, "", null, "gw", issuer, "", "customer", Map.of("order-submit", "orders:write"), stale, freshS, 5,
                300, 100, 100, 300, 30, 2_500, 1_000, 2_000, 64, 8_192, mostWaiting, mostAsking, mostPartPct);
        Path file = folder.resolve("n0.json");
        Files.writeString(file, "{\"name\":\"n0\",\"discovery\":\"\",\"seed\":\"1\",\"limits\":{\"sockets\":" + sockets + "},"
                + "\"known\":" + agent.list(-1) + ",\"settings\":" + SiteSettings.usual(1).json() + "}");
        door =
                FrontDoor.start(FrontDoorConfig.read(Map.of("EDGE_NAME", "n0", "EDGE_LISTEN", "127.0.0.1:0",
                        "EDGE_DISCOVERY",
                "127.0.0.1:" + agent.address().getPort(), "EDGE_CONFIG", file.toString())), FrontDoor.GATEWAY_FACTORY,
                new FrontDoorExtensions(List.of(this::asks), FrontDoorExtensions.NONE.limiter(),
                        (name, loop, clock, reader, settings) -> {
                    admission = (TokensAdmission) TokensAdmission.maker(tokens).create(name, loop, clock, reader,
                            settings);
                    return watched(admission);
                }));
    }

    /** The front that other proxies ask, over HTTP only. */
    Frontend asks(EventLoopGroup loops, GatewaySettingsReader reader, Gateway.Settings settings) {
        SettingsSection.Values values = ExtProcSettings.section()
                .read(Map.of("enabled", true, "listen", "", "http_listen", "127.0.0.1:0"),
                fault -> {
                    throw new IllegalStateException(fault.toString());
                });
        proxied = (ExtProcServer) ExtProcServer.factory(ExtProcSettings.of(values)).create(loops, reader, settings);
        return proxied;
    }

    /** The same, and the test hears of each ask before it is made. */
    private Authorizer watched(Authorizer real) {
        return new Authorizer() {
            @Override
            public Decision authorize(long id, InboundRequest arrival, long leftNs, AuthorizationCallback waiting) {
                beforeAsk.accept(asks.incrementAndGet());
                return real.authorize(id, arrival, leftNs, waiting);
            }

            @Override
            public void requestEnded(long id, InboundRequest arrival) {
                real.requestEnded(id, arrival);
            }

            @Override
            public void setRevocationListener(RevocationListener withdrawn) {
                real.setRevocationListener(withdrawn);
            }

            @Override
            public void close() {
                real.close();
            }
        };
    }

    @AfterEach
    void end() {
        System.setErr(errBefore);
        door.stop();
        backend.close();
        servers.forEach(StandInIntrospection::close);
        agent.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        String all = printed.toString(StandardCharsets.UTF_8);
        assertFalse(all.contains(SECRET) || all.contains("tok-") || all.contains("tok_"), all);
    }

    void grant(String token, String scope) {
        servers.forEach(each -> each.grant(token, Map.of("scope", scope, "customer", CUSTOMER)));
    }

    void all(Fault fault) {
        servers.forEach(each -> each.fault(fault));
    }

    String nextId() {
        return String.format("%016x", number.incrementAndGet());
    }

    Reply ask(String authorization) throws IOException {
        return ask(nextId(), authorization, CUSTOMER, true, 3_000);
    }

    /** As a client writes it. */
    static String request(String id, String authorization, String customer, boolean submit, int remainingMs, boolean keep) {
        return (submit ? "POST" : "GET") + " /api HTTP/1.1\r\nHost: gw\r\nX-Txn: " + id + "\r\nX-Lane: "
                + (submit ? "order-submit" : "order-status") + "\r\nX-Plan: carrier\r\nX-Customer: " + customer
                + "\r\nX-Remaining-Ms: " + remainingMs + "\r\nX-Quota: units=1,spread=1,first=0\r\n"
                + (keep ? "" : "Connection: close\r\n")
                + (authorization == null ? "" : "Authorization: " + authorization + "\r\n")
                + (submit ? "Content-Length: 2\r\n\r\n{}" : "\r\n");
    }

    Reply ask(String id, String authorization, String customer, boolean submit, int remainingMs) throws IOException {
        long start = System.nanoTime();
        try (Socket socket = new Socket(door.address().getAddress(), door.address().getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(request(id, authorization, customer, submit, remainingMs, false)
                    .getBytes(StandardCharsets.ISO_8859_1));
            String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(text.startsWith("HTTP/1.1 "), "one answer: '" + text + "'");
            assertEquals(0, text.indexOf("HTTP/1.1 "));
            assertEquals(-1, text.indexOf("HTTP/1.1 ", 1), "and one only");
            return new Reply(Integer.parseInt(text.substring(9, 12)), text, (System.nanoTime() - start) / 1_000_000);
        }
    }
}
