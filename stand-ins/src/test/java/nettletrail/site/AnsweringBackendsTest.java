package nettletrail.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Backends at addresses of their own, on plain sockets. */
class AnsweringBackendsTest {
    private static final long SLOW_NS = 60_000_000;
    private static final List<String> HOSTS = List.of("127.16.0.1", "127.16.0.2", "127.17.0.1");

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final AnsweringBackends backends = new AnsweringBackends(group.next(), HOSTS,
            id -> id.equals("slow") ? SLOW_NS : 0);

    @AfterEach
    void end() {
        backends.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Socket connect(String host) throws IOException {
        Socket socket = new Socket(host, backends.port());
        socket.setSoTimeout(20_000);
        return socket;
    }

    /** The answer's head and body; its length is known. */
    private static String ask(Socket socket, String id) throws IOException {
        socket.getOutputStream().write(("GET /api HTTP/1.1\r\nHost: service.internal\r\n" + (id.isEmpty() ? "" : "X-Txn: " + id
                + "\r\n") + "\r\n").getBytes(StandardCharsets.US_ASCII));
        StringBuilder text = new StringBuilder();
        String end = "served " + (id.isEmpty() ? "null" : id);
        while (text.indexOf(end) < 0) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, () -> "ended: " + text);
            text.append((char) next);
        }
        return text.toString();
    }

    @Test
    void eachAnswersAtItsAddressInTheTimeThatTheIdTells() throws IOException {
        for (String host : HOSTS) {
            try (Socket socket = connect(host)) {
                assertTrue(ask(socket, "quick").startsWith("HTTP/1.1 200 "));
                long from = System.nanoTime();
                ask(socket, "slow");
                assertTrue(System.nanoTime() - from >= SLOW_NS, "before its time");
                assertTrue(ask(socket, "").startsWith("HTTP/1.1 404 "), "without an id");
            }
        }
        assertEquals(3, backends.accepted());
        assertEquals(9, backends.requests());
    }

    @Test
    void oneThatDiesBreaksItsConnectionsAndIsThereAgain() throws IOException {
        try (Socket dead = connect(HOSTS.get(0)); Socket other = connect(HOSTS.get(1))) {
            ask(dead, "quick");
            ask(other, "quick");
            backends.down(HOSTS.get(0));
            assertEquals(-1, dead.getInputStream().read());
            assertThrows(ConnectException.class, () -> connect(HOSTS.get(0)));
            ask(other, "quick");
            assertTrue(backends.up(HOSTS.get(0)));
            try (Socket again = connect(HOSTS.get(0))) {
                ask(again, "quick");
            }
        }
    }
}
