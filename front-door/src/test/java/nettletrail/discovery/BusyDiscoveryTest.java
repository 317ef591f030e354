package nettletrail.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import nettletrail.core.Endpoint;
import org.junit.jupiter.api.Test;

/** Discovery that is too small for all front doors at once, and says so. */
class BusyDiscoveryTest {
    private static final int PATIENCE_MS = 10_000;
    private static final int LONG_MS = 1_500;

    /** What a front door hears of it. */
    private static final class Heard implements Endpoint.Listener {
        final LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();

        @Override
        public void listed(boolean whole, List<Endpoint> entries) {
            told.add("list");
        }

        @Override
        public void listFailed() {
            told.add("failed");
        }
    }

    /** Turned away, it comes on the same connection, asks for the same news, and later each time. */
    @Test
    void callsAgainLaterEachTimeAndForNoMoreThanBefore() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            EventLoop loop = group.next();
            Heard heard = new Heard();
            Discovery discovery = new Discovery(loop, (InetSocketAddress) agent.getLocalSocketAddress(), 41, 7, heard);
            loop.execute(discovery::follow);
            try (Watch watch = new Watch(agent)) {
                String asks = "GET /api/targets?index=41&wait=3000 HTTP/1.1";
                assertEquals(asks, watch.read());
                long since = System.nanoTime();
                for (int times = 0; times < 5; times++) {
                    watch.answer("503 Service Unavailable", "");
                    assertEquals(asks, watch.read(), "on the same connection, for the news only");
                }
                // At least half of 60 + 120 + 240 + 480 + 960 ms. Less would be called again every so often.
                assertTrue(System.nanoTime() - since >= TimeUnit.MILLISECONDS.toNanos(930));
                watch.answer("200 OK", "{\"index\":42,\"snapshot\":false,\"endpoints\":[]}");
                assertEquals("GET /api/targets?index=42&wait=3000 HTTP/1.1", watch.read());
                watch.answer("404 Not Found", "");
            }
            try (Watch watch = new Watch(agent)) {
                assertEquals("GET /api/targets HTTP/1.1", watch.read(), "a version no longer known is not asked for");
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /** A call that stands in line there for 1.5 s is waited for: to give it up would only make the line longer. */
    @Test
    void waitsForAnAnswerThatStandsInLine() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            EventLoop loop = group.next();
            Heard heard = new Heard();
            Discovery discovery = new Discovery(loop, (InetSocketAddress) agent.getLocalSocketAddress(), -1, 7, heard);
            loop.execute(discovery::follow);
            try (Watch watch = new Watch(agent)) {
                assertEquals("GET /api/targets HTTP/1.1", watch.read());
                Thread.sleep(LONG_MS);
                watch.answer("200 OK", "{\"index\":1,\"snapshot\":true,\"endpoints\":[]}");
                assertEquals("list", heard.told.poll(PATIENCE_MS, TimeUnit.MILLISECONDS));
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /**
     * In virtual time: 40 front doors call at one moment for lists of which discovery makes ten a second, each turned
     * away while two seconds' work waits there; a call turned away costs a fifth of a list. With the real pauses all have
     * theirs within seconds; called every 50 ms, turning away would take all that discovery can do.
     */
    @Test
    void aFleetThatComesBackAtOnceIsServed() {
        long seed = 20261201;
        assertTrue(servedWithin(seed, true) <= 15_000, "seed " + seed);
        assertTrue(servedWithin(seed, false) > 60_000, "seed " + seed + ": the model must show the harm");
    }

    /** ms until the last has its list; 120,000 at most. */
    private static int servedWithin(long seed, boolean growing) {
        int doors = 40;
        double listMs = 100;
        SplittableRandom random = new SplittableRandom(seed);
        List<Integer> calls = new ArrayList<>();
        int[] faults = new int[doors];
        for (int door = 0; door < doors; door++) {
            calls.add(door % 10);
        }
        double backlogMs = 0;
        int left = doors;
        for (int now = 0; now < 120_000; now++) {
            backlogMs = Math.max(0, backlogMs - 1);
            for (int door = 0; door < doors; door++) {
                if (calls.get(door) != now) {
                    continue;
                }
                if (backlogMs + listMs > 2_000) {
                    backlogMs += listMs / 5;
                    int pause = growing ? Discovery.pauseMs(faults[door]++, 4_000, random) : 50;
                    calls.set(door, now + Math.max(1, pause));
                } else {
                    backlogMs += listMs;
                    left--;
                    calls.set(door, -1);
                }
            }
            if (left == 0) {
                return now;
            }
        }
        return 120_000;
    }
}
