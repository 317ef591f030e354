package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import nettletrail.core.Endpoint;
import nettletrail.decision.Gateway;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The instants at which something ends and something is still owed: a drain, an eviction, a list that changes, a
 * connection that closes. The loop is held at the instant; what crosses it happens meanwhile, and lies unread.
 */
@Timeout(60)
class DrainAndEvictionTest {
    private static final String ODD = "GET /x HTTP/1.1\r\nHost: gw\r\n\r\n";
    @TempDir
    private Path folder;
    private FrontDoorFixture rig;
    private final PausingGateway module = new PausingGateway();
    private ServerSocket backend;

    @BeforeEach
    void setUp() throws IOException {
        rig = new FrontDoorFixture(folder);
        backend = rig.backend();
    }

    @AfterEach
    void tearDown() throws Exception {
        module.resume();
        rig.close();
    }

    private FrontDoor start() throws Exception {
        return rig.start(module.factory(), FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"));
    }

    private TestPeer pauseLoop(String txn) throws Exception {
        TestPeer client = rig.client().write(PausingGateway.pausingRequest(txn));
        module.awaitPaused();
        return client;
    }

    private static Thread drain(FrontDoor door) {
        Thread drain = new Thread(door::drain);
        drain.start();
        while (!door.draining()) {
            Thread.onSpinWait();
        }
        return drain;
    }

    // ---- Drains -----------------------------------------------------------------------------------------

    /** The kernel has accepted them, more than the loop takes in one turn, when the listener's time is over. */
    @Test
    void connectionsInTheAcceptQueueAreServedWhenListeningStops() throws Exception {
        FrontDoor door = start();
        Thread drain = drain(door);
        TestPeer held = pauseLoop("b"); // longer than connections are taken after SIGTERM
        List<TestPeer> queue = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            queue.add(rig.client().write(ODD));
        }
        module.resume();
        for (TestPeer each : queue) {
            assertEquals(404, each.read().status());
        }
        assertEquals(502, held.read().status());
        drain.join();
    }

    /** What it wrote lies unread when the drain closes what looks idle: after the reads of that turn, before the next. */
    @Test
    void drainAnswersAnUnreadRequestOnAnIdleConnection() throws Exception {
        FrontDoor door = start();
        TestPeer idle = rig.client();
        assertEquals(404, idle.write(ODD).read().status());
        TestPeer half = rig.client().write(ODD.substring(0, 10));
        TestPeer silent = rig.client();
        CountDownLatch there = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        var closing = door.loop().submit(() -> {
            there.countDown();
            written.await();
            door.closeIdle(0); // as a drain does every 10 ms when listening is over
            return null;
        });
        there.await();
        idle.write(ODD);
        half.write(ODD.substring(10));
        written.countDown();
        assertEquals(404, idle.read().status());
        assertEquals(404, half.read().status());
        closing.sync();
        assertTrue(silent.ended(), "on which nothing is owed");
    }

    /** Its request is on its way when the listener closes: it connected in the last moment. */
    @Test
    void drainKeepsAConnectionOpenedJustBeforeListeningStops() throws Exception {
        FrontDoor door = start();
        CountDownLatch there = new CountDownLatch(1);
        CountDownLatch connected = new CountDownLatch(1);
        var closing = door.loop().submit(() -> {
            there.countDown();
            connected.await();
            door.stopListening();
            door.closeIdle(FrontDoor.RECENT_CONNECTION_NANOS); // as a drain does in one turn
            return null;
        });
        there.await();
        TestPeer last = rig.client();
        connected.countDown();
        closing.sync();
        assertEquals(404, last.write(ODD).read().status());
    }

    /** A process told to end while it started never listens: who then connected would be reset. */
    @Test
    void drainBeforeOpenPreventsListening() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            FrontDoor door = rig.prepare(taken.getLocalPort());
            door.drain();
            door.open(); // to listen there would throw: the port is another's
            assertTrue(!door.listens());
        }
    }

    /** SIGTERM in the dry run: it ends by itself, and well in time. */
    @Test
    void drainDuringWarmUpCompletes() throws Exception {
        FrontDoor door = rig.deadlineMs(1_000).prepare(0);
        CountDownLatch over = door.warmUp();
        door.drain();
        over.await();
        door.open();
        assertTrue(!door.listens());
        door.drain(); // told twice: nothing is left to do
    }

    /** SIGKILL's clock runs from SIGTERM, whether or not the loop has heard of it. */
    @Test
    void drainOnALateLoopStillAnswersInTime() throws Exception {
        rig.deadlineMs(400);
        FrontDoor door = start();
        TestPeer client = rig.client().write(FrontDoorFixture.request("look", "a", 30_000, ""));
        rig.keep(TestPeer.accept(backend)).read();
        pauseLoop("b");
        Thread drain = new Thread(door::drain);
        drain.start();
        module.resume();
        drain.join();
        assertEquals(0, door.activeRequestCount(), "answered when the drain was over");
        assertEquals(502, client.read().status(), "as the module decides");
    }

    /** A client that sends on behind its open request: at the drain's end all that was taken is answered, and nothing sent. */
    @Test
    void drainAnswersPipelinedRequestsBehindAnOpenOne() throws Exception {
        rig.deadlineMs(300);
        FrontDoor door = start();
        TestPeer client = rig.client();
        for (String txn : List.of("a", "b", "c")) {
            client.write(FrontDoorFixture.request("buy", txn, 30_000, "x"));
        }
        TestPeer server = rig.keep(TestPeer.accept(backend));
        server.read();
        door.drain();
        assertEquals(502, client.read().status(), "as the module decides");
        assertEquals(429, client.read().status());
        TestPeer.Message last = client.read();
        assertEquals(429, last.status());
        assertEquals("close", last.header("Connection"));
        assertEquals(0, door.activeRequestCount());
        assertTrue(server.ended());
    }

    // ---- Evictions --------------------------------------------------------------------------------------

    /** A crowd comes before it, so that its turn to be read is after theirs to be taken: each makes room by who looks idle. */
    @Test
    void evictionAnswersAnUnreadRequest() throws Exception {
        rig.sockets(80);
        start();
        TestPeer idle = rig.client(); // has said nothing yet: the first that has to go
        assertEquals(404, rig.client().write(ODD).read().status()); // by then the first is taken, too
        pauseLoop("b");
        for (int i = 0; i < 30; i++) {
            rig.client();
        }
        idle.write(ODD);
        module.resume();
        assertEquals(404, idle.read().status());
    }

    // ---- Lists and backends' connections ----------------------------------------------------------------

    /** Two backends, and a connection to the first that stands free. */
    private TestPeer idleBackendConnection(ServerSocket second) throws Exception {
        rig.start(module.factory(), FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"),
                FrontDoorFixture.entry("s-2", second.getLocalPort(), "SERVING"));
        TestPeer client = rig.client().write(FrontDoorFixture.request("look", "1", 30_000, ""));
        TestPeer server = rig.keep(TestPeer.accept(backend));
        server.read();
        server.answer("200 OK", "", "one");
        assertEquals("one", client.read().body());
        // Whoever looks for a connection anywhere ends the rests that are over.
        module.onArrival = request -> module.actions.send(request.id(), Endpoint.idOf("s-2"), 0);
        TimeUnit.MILLISECONDS.sleep(20); // at least so long; more does no harm
        client.write(FrontDoorFixture.request("look", "2", 30_000, ""));
        try (TestPeer other = TestPeer.accept(second)) {
            other.read();
            other.answer("200 OK", "", "two");
            assertEquals("two", client.read().body());
        }
        for (int i = 0; i < 2; i++) {
            PausingGateway.next(module.answers);
            PausingGateway.next(module.arrivals);
        }
        module.onArrival = request -> { };
        return server;
    }

    /** The list that closes the backend was written before the send, and lies unread on a loop that is late. */
    @Test
    void unreadEndpointUpdateIsAppliedBeforeASend() throws Exception {
        TestPeer server = idleBackendConnection(rig.backend());
        rig.client().write(FrontDoorFixture.request("buy", "a", 30_000, "x"));
        Gateway.Request kept = PausingGateway.next(module.arrivals);
        module.afterPause = () -> module.actions.send(kept.id(), Endpoint.idOf("s-1"), 0);
        pauseLoop("b");
        rig.watch.answer("200 OK", "",
                FrontDoorFixture.list(8, false, FrontDoorFixture.entry("s-1", backend.getLocalPort(), "DRAINING")));
        module.resume();
        assertEquals(Gateway.Outcome.NEVER_SENT, PausingGateway.next(module.answers).outcome());
        assertTrue(server.ended(), "nothing came");
    }

    /** Closed by the backend in the turn in which it is chosen: a request written to it would be lost, and may have run. */
    @Test
    void backendConnectionWithAnUnreadCloseIsNotUsed() throws Exception {
        TestPeer server = idleBackendConnection(rig.backend());
        TestPeer client = rig.client().write(FrontDoorFixture.request("buy", "c", 30_000, "x"));
        Gateway.Request kept = PausingGateway.next(module.arrivals);
        module.afterPause = () -> module.actions.send(kept.id(), Endpoint.idOf("s-1"), 0);
        pauseLoop("d");
        server.shut();
        module.resume();
        try (TestPeer fresh = TestPeer.accept(backend)) {
            assertEquals(FrontDoorFixture.txn("c"), fresh.read().header("X-Txn"));
            fresh.answer("200 OK", "", "three");
            assertEquals("three", client.read().body());
        }
    }

    // ---- Ids --------------------------------------------------------------------------------------------

    /** A second copy would run beside the first, however long that is open. */
    @Test
    void requestIdStaysUsedWhileItsFirstRequestIsOpen() throws Exception {
        rig.deadlineMs(200);
        start();
        TestPeer client = rig.client().write(FrontDoorFixture.request("buy", "a", 30_000, "x"));
        try (TestPeer server = TestPeer.accept(backend)) {
            server.read();
            for (int i = 0; i < 3; i++) {
                TimeUnit.MILLISECONDS.sleep(250); // longer than the settings' longest deadline
                assertEquals(400, rig.client().write(FrontDoorFixture.request("buy", "a", 30_000, "x")).read()
                        .status());
            }
            server.answer("200 OK", "", "sold");
            assertEquals("sold", client.read().body());
        }
    }
}
