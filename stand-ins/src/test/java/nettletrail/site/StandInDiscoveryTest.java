package nettletrail.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Discovery for many, at the level of its protocol: on plain sockets, byte by byte. */
class StandInDiscoveryTest {
    private static final int LONG_MS = 20_000;
    private static final String ROW_A = "{\"name\":\"s-a\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"type\":\"m1\","
            + "\"group\":1,\"status\":\"SERVING\",\"weight\":1.0,\"since_ms\":0}";
    private static final String ROW_B = ROW_A.replace("s-a", "s-b").replace(":1\"", ":2\"");

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final StandInDiscovery discovery = new StandInDiscovery(group.next(), List.of(entry("s-a", 1, "SERVING", 0),
            entry("s-b", 2, "SERVING", 0)));

    private static StandInDiscovery.Entry entry(String name, int port, String status, long since) {
        return new StandInDiscovery.Entry(name, "127.0.0.1:" + port, "a", "m1", 1, status, since);
    }

    @AfterEach
    void end() {
        discovery.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** One connection, whose bytes are counted. */
    private final class Caller implements AutoCloseable {
        private final Socket socket;
        private long wrote;
        private long read;

        Caller() throws IOException {
            socket = new Socket("127.0.0.1", discovery.address().getPort());
            socket.setSoTimeout(LONG_MS);
        }

        void call(String query) throws IOException {
            byte[] request = ("GET /api/targets" + query + " HTTP/1.1\r\nHost: discovery\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
            wrote += request.length;
            socket.getOutputStream().write(request);
        }

        String answer() throws IOException {
            InputStream from = socket.getInputStream();
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
                int next = from.read();
                assertTrue(next >= 0, () -> "ended within a head: " + head);
                head.write(next);
            }
            String text = head.toString(StandardCharsets.US_ASCII);
            assertTrue(text.startsWith("HTTP/1.1 200 "), text);
            int length = Integer.parseInt(text.replaceAll("(?is).*content-length: (\\d+).*", "$1"));
            byte[] body = from.readNBytes(length);
            read += head.size() + body.length;
            return new String(body, StandardCharsets.UTF_8);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private void awaitWatches(int count) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONG_MS);
        while (discovery.counts().watches() != count) {
            assertTrue(System.nanoTime() < until, () -> "watches: " + discovery.counts());
            Thread.onSpinWait();
        }
    }

    @Test
    void theWholeListAndThenWhatIsNewer() throws IOException {
        try (Caller caller = new Caller()) {
            caller.call("");
            assertEquals("{\"index\":1,\"snapshot\":true,\"endpoints\":[" + ROW_A + "," + ROW_B + "]}", caller.answer());
            caller.call("?index=1&wait=20000");
            awaitWatches(1);
            discovery.change(List.of(entry("s-b", 2, "DRAINING", 0)));
            assertEquals("{\"index\":2,\"snapshot\":false,\"endpoints\":[" + ROW_B.replace("SERVING", "DRAINING") + "]}",
                    caller.answer());
            caller.call("?index=2&wait=1");
            assertEquals("{\"index\":2,\"snapshot\":false,\"endpoints\":[]}", caller.answer());
        }
    }

    @Test
    void whoIsBehindIsToldEachEntryOnceAsItIsNow() throws IOException {
        discovery.change(List.of(entry("s-a", 1, "DRAINING", 0)));
        discovery.change(List.of(entry("s-b", 2, "DELETED", 0)));
        discovery.change(List.of(entry("s-a", 1, "SERVING", 7)));
        try (Caller caller = new Caller()) {
            caller.call("?index=1&wait=20000");
            assertEquals("{\"index\":4,\"snapshot\":false,\"endpoints\":[" + ROW_A.replace("since_ms\":0", "since_ms\":7") + ","
                    + ROW_B.replace("SERVING", "DELETED") + "]}", caller.answer());
            caller.call("");
            assertEquals("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + ROW_A.replace("since_ms\":0", "since_ms\":7")
                    + "]}", caller.answer(), "one that is gone is on no whole list");
        }
    }

    @Test
    void aVersionThatNeverWasIsToldTheWholeList() throws IOException {
        try (Caller caller = new Caller()) {
            caller.call("?index=99&wait=20000");
            assertTrue(caller.answer().startsWith("{\"index\":1,\"snapshot\":true,"));
            assertEquals(1, discovery.counts().wholeLists());
        }
    }

    @Test
    void whileItIsDownItSaysNothingAndNewCallsAreToldAfterwards() throws IOException {
        try (Caller before = new Caller(); Caller during = new Caller(); Caller after = new Caller()) {
            before.call("?index=1&wait=20000");
            awaitWatches(1);
            discovery.down(true);
            awaitWatches(0);
            during.call("");
            while (discovery.counts().calls() < 2) {
                Thread.onSpinWait();
            }
            discovery.change(List.of(entry("s-a", 1, "DRAINING", 0)));
            discovery.down(false);
            assertEquals(2, discovery.counts().index(), "asked on the loop: it answers again from here on");
            after.call("?index=1&wait=20000");
            assertTrue(after.answer().startsWith("{\"index\":2,\"snapshot\":false,"));
            for (Caller silent : List.of(before, during)) {
                silent.socket.setSoTimeout(50);
                assertThrows(SocketTimeoutException.class, silent::answer);
            }
        }
    }

    @Test
    void countsWhatPassesOnTheWire() throws IOException {
        try (Caller one = new Caller(); Caller other = new Caller()) {
            one.call("");
            one.answer();
            one.call("?index=1&wait=20000");
            other.call("?index=1&wait=20000");
            awaitWatches(2);
            discovery.change(List.of(entry("s-a", 1, "DRAINING", 0)));
            one.answer();
            other.answer();
            StandInDiscovery.Counts counts = discovery.counts();
            assertEquals(one.wrote + other.wrote, counts.bytesIn());
            assertEquals(one.read + other.read, counts.bytesOut());
            assertEquals(3, counts.calls());
        }
    }
}
