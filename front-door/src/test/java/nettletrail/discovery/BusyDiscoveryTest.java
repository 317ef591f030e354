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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Discovery that is too small for all front doors at once, and says so. */
class BusyDiscoveryTest {
    private static final int PATIENCE_MS = 10_000;
    private static final int LONG_MS = 1_500;

    /** What a front door hears of it. */
    private static final class Heard implements Endpoint.Listener {
        final LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();

        @Override
        public void endpointsUpdated(boolean whole, List<Endpoint> entries) {
            told.add("list");
        }

        @Override
        public void discoveryFailed() {
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
            DiscoveryClient discovery = new DiscoveryClient(loop, (InetSocketAddress) agent.getLocalSocketAddress(), 41, 7, heard);
            loop.execute(discovery::poll);
            try (Watch watch = new Watch(agent)) {
                String asks = "GET /api/targets?index=41&wait=" + DiscoveryTiming.WAIT_MS + " HTTP/1.1";
                assertEquals(asks, watch.read());
                long since = System.nanoTime();
                for (int times = 0; times < 5; times++) {
                    watch.answer("503 Service Unavailable", "");
                    assertEquals(asks, watch.read(), "on the same connection, for the news only");
                }
                // At least half of 60 + 120 + 240 + 480 + 960 ms. Less would be called again every so often.
                assertTrue(System.nanoTime() - since >= TimeUnit.MILLISECONDS.toNanos(930));
                watch.answer("200 OK", "{\"index\":42,\"snapshot\":false,\"endpoints\":[]}");
                assertEquals("GET /api/targets?index=42&wait=" + DiscoveryTiming.WAIT_MS + " HTTP/1.1", watch.read());
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
            DiscoveryClient discovery = new DiscoveryClient(loop, (InetSocketAddress) agent.getLocalSocketAddress(), -1, 7, heard);
            loop.execute(discovery::poll);
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
                    int pause = growing ? DiscoveryTiming.busyPauseMs(faults[door]++, 0, random) : 50;
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

    /** The pause counts from the call: turned away after it has stood in line, it has paused there. */
    @Test
    void timeInLineIsTimePaused() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            EventLoop loop = group.next();
            DiscoveryClient discovery = new DiscoveryClient(loop, (InetSocketAddress) agent.getLocalSocketAddress(), 41, 7, new Heard());
            loop.execute(discovery::poll);
            try (Watch watch = new Watch(agent)) {
                watch.read();
                for (int times = 0; times < 4; times++) {
                    watch.answer("503 Service Unavailable", "");
                    watch.read();
                }
                Thread.sleep(1_000); // it stands in line, for longer than the fifth pause is
                long since = System.nanoTime();
                watch.answer("503 Service Unavailable", "");
                watch.read();
                assertTrue(System.nanoTime() - since < TimeUnit.MILLISECONDS.toNanos(240), "half of the fifth pause is 480 ms");
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /** The connection ends in the pause: the pause goes on as it was, and the next call is on a new one. */
    @Test
    void anEndOfTheConnectionInThePauseAddsNoPause() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            EventLoop loop = group.next();
            Heard heard = new Heard();
            DiscoveryClient discovery = new DiscoveryClient(loop, (InetSocketAddress) agent.getLocalSocketAddress(), 41, 7, heard);
            loop.execute(discovery::poll);
            try (Watch watch = new Watch(agent)) {
                watch.read();
                watch.answer("503 Service Unavailable", "");
                assertEquals("failed", heard.told.poll(PATIENCE_MS, TimeUnit.MILLISECONDS));
            }
            try (Watch again = new Watch(agent)) {
                assertEquals("GET /api/targets?index=41&wait=" + DiscoveryTiming.WAIT_MS + " HTTP/1.1", again.read());
                assertEquals(null, heard.told.poll(), "one fault, not two");
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /** However often it was turned away before, and for however long it stood in line each time. */
    @Test
    void fromOneCallToTheNextTheSumIsKept() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            for (int faults = 0; faults < 40; faults++) {
                for (int stood = 0; stood <= 2_000; stood += 250) {
                    int next = stood + DiscoveryTiming.busyPauseMs(faults, stood, random);
                    assertTrue(next <= DiscoveryTiming.BUSY_MS, "seed " + seed);
                    assertTrue(next >= Math.min(DiscoveryTiming.BUSY_MS, DiscoveryTiming.FIRST_PAUSE_MS << Math.min(faults, 16)) / 2);
                }
            }
        }
    }

    /**
     * In virtual time: discovery turns all away for a minute, at a price for each, while a change waits; then it serves from a line
     * of two seconds. All have the change in the sum, and until then it was at work on turning away for a part of its time only.
     */
    @ParameterizedTest
    @CsvSource({"100, 10, 16", "480, 3, 4"})
    void aFleetThatIsTurnedAwayIsToldInTimeAndKeepsNobodyBusy(int doors, int listMs, int turnedAwayMs) {
        int busyUntil = 60_000;
        for (int seed = 0; seed < 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int[] calls = new int[doors];
            int[] faults = new int[doors];
            int left = doors;
            int turnedAway = 0;
            int last = 0;
            double lineMs = 0;
            for (int now = 0; left > 0; now++) {
                lineMs = Math.max(0, lineMs - 1);
                for (int door = 0; door < doors; door++) {
                    if (calls[door] != now) {
                        continue;
                    }
                    if (now < busyUntil || lineMs + listMs > 2_000) {
                        turnedAway += now >= 10_000 && now < busyUntil ? 1 : 0;
                        lineMs += now < busyUntil ? 0 : turnedAwayMs;
                        calls[door] = now + DiscoveryTiming.busyPauseMs(faults[door]++, 0, random);
                    } else {
                        lineMs += listMs;
                        left--;
                        calls[door] = -1;
                        last = Math.max(last, now + (int) Math.ceil(lineMs));
                    }
                }
            }
            double busy = turnedAway * (double) turnedAwayMs / (busyUntil - 10_000);
            assertTrue(last - busyUntil <= DiscoveryTiming.TOLD_MS - DiscoveryTiming.LATE_MS, "seed " + seed + ": " + (last - busyUntil));
            assertTrue(busy < 0.9, "seed " + seed + ": " + busy);
        }
    }
}
