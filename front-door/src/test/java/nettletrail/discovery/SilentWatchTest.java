package nettletrail.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import nettletrail.core.Endpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a watch that has fallen silent misses, and what comes in another order than it was sent, over sockets. */
@Timeout(60)
class SilentWatchTest {
    private static final int PATIENCE_MS = 10_000;
    /** What a silent watch misses counts as told so long after it fell silent. */
    private static final int TOLD_MS = 6_000;
    /** Of that, for a loop that is late and the call that brings the news. */
    private static final int SPARE_MS = 700;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private ServerSocket agent;

    @BeforeEach
    void make() throws IOException {
        agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void end() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        agent.close();
    }

    private Discovery follow(long index) {
        EventLoop loop = group.next();
        Discovery discovery = new Discovery(loop, (InetSocketAddress) agent.getLocalSocketAddress(), index, 7,
                new Endpoint.Listener() {
                    @Override
                    public void listed(boolean whole, List<Endpoint> entries) {
                        told.add((whole ? "whole " : "changes ") + entries.stream().map(Endpoint::name).toList());
                    }

                    @Override
                    public void listFailed() { }
                });
        loop.execute(discovery::follow);
        return discovery;
    }

    private String told() throws InterruptedException {
        return told.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    private static String list(long index, boolean whole, String name) {
        return "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":[{\"name\":\"" + name
                + "\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"status\":\"SERVING\"}]}";
    }

    /** Both the watch and the first call after it are swallowed: the news still come before they count as told. */
    @Test
    void whatItMissesIsHeardBeforeItCountsAsTold() {
        for (int seed = 0; seed < 100; seed++) {
            int pause = Discovery.pauseMs(0, 500, new SplittableRandom(seed));
            assertTrue(Discovery.WAIT_MS + Discovery.ANSWER_MS + pause <= TOLD_MS - SPARE_MS, "seed " + seed);
        }
    }

    /** A call that waits for news can't be told from a silent one before its wait is over. */
    @Test
    void theFirstCallAfterABreakWaitsForNothing() throws Exception {
        follow(41);
        try (Watch watch = new Watch(agent)) {
            assertEquals("GET /api/targets?index=41&wait=3000 HTTP/1.1", watch.read());
        }
        try (Watch swallowed = new Watch(agent)) {
            assertEquals("GET /api/targets?index=41&wait=1 HTTP/1.1", swallowed.read());
            // It says nothing; given up well before a call that waits would be.
            long since = System.nanoTime();
            try (Watch again = new Watch(agent)) {
                assertTrue(System.nanoTime() - since < TimeUnit.MILLISECONDS.toNanos(Discovery.WAIT_MS));
                assertEquals("GET /api/targets?index=41&wait=1 HTTP/1.1", again.read());
                again.answer(list(42, false, "s-1"));
                assertEquals("changes [s-1]", told());
                assertEquals("GET /api/targets?index=42&wait=3000 HTTP/1.1", again.read());
            }
        }
    }

    /** An older version's changes would undo newer ones; the whole list does not. */
    @Test
    void changesOfAnOlderVersionAreNotTakenIn() throws Exception {
        follow(41);
        try (Watch watch = new Watch(agent)) {
            watch.read();
            watch.answer(list(43, false, "new"));
            assertEquals("changes [new]", told());
            watch.read();
            watch.answer(list(42, false, "old"));
            assertEquals("GET /api/targets HTTP/1.1", watch.read());
            watch.answer(list(44, true, "all"));
            assertEquals("whole [all]", told());
        }
    }

    @Test
    void anIndentedListIsAList() throws Exception {
        follow(-1);
        try (Watch watch = new Watch(agent)) {
            watch.read();
            watch.answer(list(5, true, "s-1").replace("{", "{\n    ").replace(",", ",\n\t ").replace(":", " : ").replace("127.0.0.1 : 1",
                    "127.0.0.1:1"));
            assertEquals("whole [s-1]", told());
            assertEquals("GET /api/targets?index=5&wait=3000 HTTP/1.1", watch.read());
        }
    }

    /** While the old agent's call is silent, and after many faults there: the new one is called as if it were the first. */
    @Test
    void aMoveWhileACallIsSilentStartsAfresh() throws Exception {
        Discovery discovery = follow(41);
        try (Watch silent = new Watch(agent); ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            silent.read();
            for (int i = 0; i < 4; i++) {
                silent.answer("503 Service Unavailable", "");
                silent.read();
            }
            group.next().execute(() -> discovery.move((InetSocketAddress) other.getLocalSocketAddress()));
            try (Watch moved = new Watch(other)) {
                assertEquals("ended", silent.read());
                assertEquals("GET /api/targets HTTP/1.1", moved.read());
                moved.answer("503 Service Unavailable", "");
                long since = System.nanoTime();
                moved.read();
                // The old agent's faults would make it half a second at least; its own first makes it 60 ms at most.
                assertTrue(System.nanoTime() - since < TimeUnit.MILLISECONDS.toNanos(480));
                moved.answer(list(2, true, "s-2"));
                assertEquals("whole [s-2]", told());
                assertEquals("GET /api/targets?index=2&wait=3000 HTTP/1.1", moved.read());
            }
        }
    }
}
