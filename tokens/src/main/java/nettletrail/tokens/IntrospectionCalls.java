package nettletrail.tokens;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.CharBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import nettletrail.core.BackendAttempt;
import nettletrail.core.BackendReport;
import nettletrail.core.Dispatcher;
import nettletrail.core.Endpoint;
import nettletrail.core.EventLoopClock;
import nettletrail.core.InboundRequest;
import nettletrail.core.Log;
import nettletrail.core.RequestClient;
import nettletrail.core.RequestLimiter;
import nettletrail.core.SecretFile;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewayDecider;
import nettletrail.decision.GatewaySettingsReader;
import nettletrail.upstream.BackendPool;
import nettletrail.upstream.HeadBytes;

/**
 * Calls to introspection servers (RFC 7662 section 2.1), carried by the same core as orders: a call is a request of a class
 * of its own, drawn from its customer's quota in a plan of its own, queued by the lowest counter, sent to the server that the
 * module chooses, repeated elsewhere if it fails. On the event loop.
 */
final class IntrospectionCalls {
    private static final int EXPECTED_HEAD = 512;
    private static final int METADATA_S = 600;
    private static final int SERVER_SOCKETS = 64;
    private static final byte[] POST = HeadBytes.constant("POST ");
    private static final byte[] GET = HeadBytes.constant("GET ");
    private static final byte[] ACCEPT = HeadBytes.constant("\r\naccept: ");
    private static final byte[] HOST = HeadBytes.constant(" HTTP/1.1\r\nhost: ");
    private static final byte[] FORM = HeadBytes.constant("\r\ncontent-type: application/x-www-form-urlencoded\r\naccept: ");
    private static final byte[] LENGTH = HeadBytes.constant("\r\ncontent-length: ");
    private static final byte[] PLAIN = HeadBytes.constant("application/json");
    private static final byte[] SIGNED = HeadBytes.constant(SignedAnswer.CONTENT_TYPE);
    private static final byte[] BASIC = HeadBytes.constant("\r\nauthorization: Basic ");
    private static final byte[] END = HeadBytes.constant("\r\n\r\n");
    /**
     * The module takes answers later than 0.15 of the aim (and twice the best) for a jam, and sends fewer. A server that is
     * slow, as at month end, is not one that is full: some 0.3 of the time of a call shall not count as a jam. The module
     * begins by taking a fifth of the aim for the usual latency, and refuses what has less than twice that left: with an aim
     * of 2.5 times the call's time it would refuse every call.
     */
    private static final long AIM_NS_PER_MS = 2_000_000L;
    /**
     * The module begins with so many requests out at a server and adds one for each round of answers: too slow for servers
     * that turn late. So each is listed as often as it takes to reach {@code most_out} at once.
     */
    private static final int PLACES = 12;
    private static final long CONNECT_TIMEOUT_NS = 500_000_000L;
    private static final long IDLE_NS = 20_000_000_000L;

    private final TokensSettings settings;
    private final Dispatcher dispatcher;
    private final BackendPool pool;
    private final String host;
    /** Of the endpoint. */
    private String path;
    /** How answers are read that are signed, or null. */
    private final SignedAnswer signed;
    private long number;
    private String said = "";

    /** @param authority its keys, or null where answers need not be signed */
    IntrospectionCalls(TokensSettings settings, EventLoop loop, EventLoopClock clock, String name,
            TrustedKeys authority) {
        this.settings = settings;
        signed = settings.signedAnswers() ? new SignedAnswer(authority, settings.issuer(), settings.clientId(), settings.skewS(),
                settings.freshS()) : null;
        host = settings.servers().get(0).getAddress().getHostAddress() + ":" + settings.servers().get(0).getPort();
        GatewaySettingsReader reader = new GatewaySettingsReader(String.join("\n", "Balancers=1",
                "Ceilings.MaxAttempts=2",
                "Services.count=1", "Services.0.Name=introspection", "Services.0.Aim=" + settings.callMs() * AIM_NS_PER_MS,
                "Services.0.Deadline=" + settings.callMs() * 1_000_000L, "Services.0.Effect=free", "TiersOfService.count=1",
                "TiersOfService.0.Name=introspection", "TiersOfService.0.PerSecond=" + settings.callsPerS(),
                "TiersOfService.0.Burst=" + settings.callsAtOnce()));
        pool = new BackendPool(loop, new BackendReport.Reader(reader), this::head, CONNECT_TIMEOUT_NS, IDLE_NS,
                Math.min(SERVER_SOCKETS, settings.mostOut()));
        dispatcher = new Dispatcher(loop, clock, RequestLimiter.NONE, List.of(pool), reader,
                reader.settings(name.hashCode()),
                GatewayDecider::new);
        List<Endpoint> servers = new ArrayList<>();
        int lanes = Math.max(1, (settings.mostOut() + PLACES - 1) / PLACES / settings.servers().size());
        for (int i = 0; i < settings.servers().size() * lanes; i++) {
            String server = "introspection-" + i;
            servers.add(new Endpoint(Endpoint.idOf(server), server,
                    settings.servers().get(i % settings.servers().size()), "", "", 0,
                    Gateway.DiscoveryState.READY, 1, 0));
        }
        path = settings.path();
        loop.execute(() -> dispatcher.endpointsUpdated(true, servers));
        if (!settings.metadataPath().isEmpty()) {
            loop.scheduleWithFixedDelay(this::findEndpoint, 0, METADATA_S, TimeUnit.SECONDS);
        }
    }

    /** What the authority's metadata say (RFC 8414 section 3): the path that it names is taken if it is one of our servers'. */
    private void findEndpoint() {
        dispatcher.accept(new InboundRequest(HttpMethod.GET, settings.metadataPath(), nextId(), 0, 0, 0, 1, 1,
                settings.callMs(),
                Unpooled.EMPTY_BUFFER, Long.MAX_VALUE), new RequestClient() {
                    @Override
                    public void served(ByteBuf answer, String contentType) {
                        try {
                            path = Metadata.introspectionPath(ByteBufUtil.getBytes(answer), settings.issuer(), settings.servers());
                        } catch (IllegalArgumentException e) {
                            complain("metadata: " + e.getMessage() + "; going on with " + path);
                        }
                    }

                    @Override
                    public void rejected(long retryAfterNs) { }

                    @Override
                    public void failed(int status) {
                        complain("no server tells its metadata at " + settings.metadataPath() + "; going on with " + path);
                    }
                }, pool);
    }

    private String nextId() {
        return String.format("%016x", ++number);
    }

    /**
     * Asks about a token.
     *
     * @param customer whose request it is for, and who pays for the call
     * @param answered told once, perhaps before this returns
     */
    void ask(String token, long customer, Consumer<Introspected> answered) {
        if (dispatcher.activeRequestCount() >= settings.mostAsking()) {
            answered.accept(new Introspected.Unusable("too many calls"));
            return;
        }
        String form;
        try {
            form = form(token);
        } catch (IOException e) {
            complain(e.getMessage());
            answered.accept(new Introspected.Unusable("no credentials of our own"));
            return;
        }
        ByteBuf body = Unpooled.copiedBuffer(form, StandardCharsets.US_ASCII);
        dispatcher.accept(new InboundRequest(HttpMethod.POST, path, nextId(), 0, 0, customer, 1, 1,
                settings.callMs(), body, Long.MAX_VALUE), new RequestClient() {
                    @Override
                    public void served(ByteBuf answer, String contentType) {
                        byte[] bytes = ByteBufUtil.getBytes(answer);
                        Introspected read = signed == null
                                ? Introspected.read(contentType, bytes, settings.customerClaim())
                                : signed.read(contentType, bytes, settings.customerClaim(), System.currentTimeMillis());
                        if (read instanceof Introspected.Unusable unusable) {
                            complain(unusable.why());
                        }
                        answered.accept(read);
                    }

                    @Override
                    public void rejected(long retryAfterNs) {
                        answered.accept(new Introspected.Unusable("refused"));
                    }

                    @Override
                    public void failed(int status) {
                        complain("no server answers with 200 in time; are they up, and our credentials right?");
                        answered.accept(new Introspected.Unusable("failed"));
                    }
                }, pool);
    }

    private String form(String token) throws IOException {
        String form = "token=" + encoded(token) + "&token_type_hint=access_token";
        if (settings.auth() == TokensSettings.ClientAuth.PRIVATE_KEY_JWT) {
            return form + "&client_id=" + encoded(settings.clientId()) + "&client_assertion_type="
                    + encoded(ClientAssertion.TYPE) + "&client_assertion=" + ClientAssertion.make(settings.secretFile(),
                            settings.clientId(), settings.assertionAudience(), System.currentTimeMillis());
        }
        if (settings.auth() != TokensSettings.ClientAuth.POST) {
            return form;
        }
        char[] secret = SecretFile.read(settings.secretFile());
        return form + "&client_id=" + encoded(settings.clientId()) + "&client_secret=" + encoded(new String(secret));
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private HeadBytes head(BackendAttempt attempt) {
        if (attempt.request().method() == HttpMethod.GET) {
            return new HeadBytes(EXPECTED_HEAD).add(GET).add(attempt.request().uri()).add(HOST).add(host).add(ACCEPT)
                    .add(PLAIN)
                    .add(END);
        }
        HeadBytes head = new HeadBytes(EXPECTED_HEAD).add(POST).add(attempt.request().uri()).add(HOST).add(host)
                .add(FORM)
                .add(signed == null ? PLAIN : SIGNED).add(LENGTH).add(attempt.request().body().readableBytes());
        if (settings.auth() == TokensSettings.ClientAuth.BASIC) {
            try {
                // Read anew for each call: a secret that was changed is used at once, and none lies in memory for long.
                CharBuffer secret = CharBuffer.wrap(SecretFile.read(settings.secretFile()));
                String both = encoded(settings.clientId()) + ":" + encoded(secret.toString());
                head.add(BASIC).add(Base64.getEncoder().encodeToString(both.getBytes(StandardCharsets.US_ASCII)));
            } catch (IOException e) {
                complain(e.getMessage());
            }
        }
        return head.add(END);
    }

    /** One line for each kind of fault, not for each call. */
    private void complain(String what) {
        if (!what.equals(said)) {
            said = what;
            Log.line("tokens: introspection: " + what);
        }
    }
}
