package nettletrail.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import nettletrail.core.BackendAttempt;
import nettletrail.core.BackendReport;
import nettletrail.core.Endpoint;
import nettletrail.core.InboundRequest;
import nettletrail.core.RequestClient;
import nettletrail.decision.Gateway;
import nettletrail.decision.Gateway.Outcome;
import nettletrail.decision.GatewaySettingsReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * An answer that comes while the request is still being written: the backend reads none of it and its window is shut, so
 * that the last byte can't have gone out. It is another's late second answer, or made up; whatever it looks like, the
 * request has not run.
 */
@Timeout(30)
class AnswerBeforeRequestTest {
    private static final int SMALL = 4 << 10;

    private static final class Sent extends BackendAttempt {
        final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        private final InboundRequest arrival;

        Sent(InboundRequest arrival) {
            super(Endpoint.idOf("s-1"));
            this.arrival = arrival;
        }

        @Override
        public InboundRequest request() {
            return arrival;
        }

        @Override
        public RequestClient client() {
            throw new AssertionError("no carrier speaks to the client");
        }

        @Override
        public long remainingMs() {
            return 30_000;
        }

        @Override
        public long remainingNanos() {
            return TimeUnit.SECONDS.toNanos(30);
        }

        @Override
        public void sendStarted() { }

        @Override
        public void ended(Outcome how, BackendReport report, ByteBuf body, String contentType) {
            assertTrue(outcome.complete(how), "told twice");
        }

        @Override
        public void endedWithRequest(Outcome how, BackendReport report) {
            throw new AssertionError();
        }
    }

    private static Outcome outcome(String answer, int bodyBytes, boolean read) throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        ByteBuf body = Unpooled.wrappedBuffer(new byte[bodyBytes]);
        try (ServerSocket backend = new ServerSocket()) {
            backend.setReceiveBufferSize(SMALL);
            backend.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            BackendPool pool = new BackendPool(group.next(), new BackendReport.Reader(new GatewaySettingsReader("")),
                    new Bootstrap()
                    .group(group.next()).channel(NioSocketChannel.class).option(ChannelOption.SO_SNDBUF, SMALL),
                    Long.MAX_VALUE, 8);
            Sent sent = new Sent(new InboundRequest(HttpMethod.POST, "/api", "0".repeat(16), 0, 0, 1, 1, 1, 30_000,
                    body,
                    Long.MAX_VALUE, null));
            group.next().submit(() -> {
                pool.endpointsUpdated(true,
                        List.of(new Endpoint(Endpoint.idOf("s-1"), "s-1", backend.getLocalSocketAddress(), "a", "m1", 0,
                        Gateway.DiscoveryState.READY, 1, 0)));
                pool.start(sent);
            }).sync();
            try (Socket server = backend.accept()) {
                if (read) {
                    server.getInputStream().readNBytes(bodyBytes); // and a head of more than that
                }
                server.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                return sent.outcome.get(20, TimeUnit.SECONDS);
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
            body.release();
        }
    }

    @ParameterizedTest
    @CsvSource({"200 OK,CONNECT_FAILED", "500 Oh,CONNECT_FAILED", "503 Full,CONNECT_FAILED", "no HTTP,CONNECT_FAILED"})
    void isNoAnswerAndTheRequestHasNotRun(String status, Outcome expected) throws Exception {
        String answer = status.equals("no HTTP") ? "\u0001\u0002 ?\r\n\r\n" : "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok";
        assertEquals(expected, outcome(answer, 8 << 20, false));
    }

    @Test
    void toBeTurnedAwayNeedsNoWholeRequest() throws Exception {
        assertEquals(Outcome.FULL, outcome("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", 8 << 20, false));
    }

    @Test
    void ofAWholeRequestItIsTheAnswer() throws Exception {
        assertEquals(Outcome.OK, outcome("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 16, true));
    }
}
