package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import nettletrail.core.Endpoint;
import nettletrail.decision.Gateway;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A request whose client left while it waited reaches no backend, though the loop was at something else for half a
 * second and has not read that the client left: in each case the loop is held at the instant, the client goes, and what
 * would send the request is the first thing that the loop does. Backends count what comes.
 */
@Timeout(60)
class ClientDisconnectTest {
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

    private static void disconnect(TestPeer client, boolean reset) throws IOException {
        if (reset) {
            client.reset();
        } else {
            client.close();
        }
    }

    private void assertNoConnection() throws IOException {
        backend.setSoTimeout(100);
        assertThrows(SocketTimeoutException.class, backend::accept);
    }

    private void pauseLoop(String txn) throws Exception {
        rig.client().write(PausingGateway.pausingRequest(txn));
        module.awaitPaused();
    }

    /** What was asked to be sent never left, and the request is over: what it drew is given back by that. */
    private void assertNeverSent() throws InterruptedException {
        Gateway.AttemptReport told = PausingGateway.next(module.answers);
        assertEquals(Gateway.Outcome.NEVER_SENT, told.outcome());
        assertTrue(told.requestEnded());
    }

    /** However late the loop is: also where it is not, but has the event that sends before the one that tells. */
    @ParameterizedTest
    @CsvSource({"false, 500", "true, 500", "false, 60", "true, 60", "false, 0", "true, 0"})
    void disconnectWhileTheGatewayHoldsTheRequest(boolean reset, int lateMs) throws Exception {
        module.lateMs = lateMs;
        FrontDoor door = start();
        module.onArrival = request -> { };
        TestPeer client = rig.client().write(FrontDoorFixture.request("buy", "a", 30_000, "x"));
        Gateway.Request kept = PausingGateway.next(module.arrivals);
        module.afterPause = () -> module.send(kept);
        pauseLoop("b");
        disconnect(client, reset);
        module.resume();
        assertNeverSent();
        assertNoConnection();
        assertEquals(0, door.activeRequestCount());
    }

    /** The whole of it lies unread, and behind it that the client has gone. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void disconnectBeforeTheRequestIsRead(boolean reset) throws Exception {
        FrontDoor door = start();
        TestPeer client = rig.client();
        assertEquals(404, client.write("GET /x HTTP/1.1\r\nHost: gw\r\n\r\n").read().status());
        TestPeer other = rig.client().write(PausingGateway.pausingRequest("b"));
        module.awaitPaused();
        client.write(FrontDoorFixture.request("buy", "a", 30_000, "x"));
        disconnect(client, reset);
        module.resume();
        assertEquals(502, other.read().status());
        assertNoConnection();
        assertTrue(module.arrivals.isEmpty(), "nobody asks for it");
        assertEquals(0, door.activeRequestCount());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void disconnectWhileTheBackendConnectionIsBeingOpened(boolean reset) throws Exception {
        rig.connectTimeoutMs(15_000);
        ServerSocket full = rig.backend(1);
        FrontDoor door = rig.start(module.factory(), FrontDoorFixture.entry("s-1", full.getLocalPort(), "SERVING"));
        // With its backlog taken, a further connection to it does not come up before the kernel asks again.
        try (Socket first = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket second = new Socket(full.getInetAddress(), full.getLocalPort())) {
            assertTrue(first.isConnected() && second.isConnected());
            TestPeer client = rig.client().write(FrontDoorFixture.request("buy", "a", 30_000, "x"));
            PausingGateway.next(module.arrivals);
            pauseLoop("b");
            TestPeer.accept(full).close();
            TestPeer.accept(full).close();
            try (TestPeer up = TestPeer.accept(full)) { // it is up, and the loop does not know
                disconnect(client, reset);
                module.resume();
                assertNeverSent();
                assertEquals(0, door.activeRequestCount());
                rig.client().write(FrontDoorFixture.request("look", "c", 30_000, ""));
                assertEquals(FrontDoorFixture.txn("c"), up.read().header("X-Txn"),
                        "the first that comes on it is another's");
            }
        }
    }

    /** Its rest ends when the next request looks for a connection, in the same turn. */
    @Test
    void disconnectWhileWaitingForACoolingConnection() throws Exception {
        start();
        TestPeer client = rig.client().write(FrontDoorFixture.request("look", "a", 30_000, ""));
        long first = PausingGateway.next(module.arrivals).id();
        module.onArrival = request -> { };
        try (TestPeer server = TestPeer.accept(backend)) {
            server.read();
            TestPeer leaving = rig.client().write(FrontDoorFixture.request("buy", "b", 30_000, "x"));
            Gateway.Request kept = PausingGateway.next(module.arrivals);
            TestPeer staying = rig.client().write(FrontDoorFixture.request("look", "c", 30_000, ""));
            Gateway.Request other = PausingGateway.next(module.arrivals);
            module.onAnswer = told -> {
                if (told.requestId() == first) {
                    module.send(kept); // waits for the connection that rests
                    module.pause();
                    module.send(other); // and by this its rest is over
                }
            };
            server.answer("200 OK", "", "one");
            assertEquals("one", client.read().body());
            module.awaitPaused();
            leaving.close();
            module.resume();
            assertEquals(FrontDoorFixture.txn("c"), server.read().header("X-Txn"), "who left got the connection");
            server.answer("200 OK", "", "two");
            assertEquals("two", staying.read().body());
        }
        assertNoConnection();
    }

    /** Turned away by a backend, and asked for again. */
    @ParameterizedTest
    @ValueSource(ints = {500, 60, 0})
    void disconnectBetweenTwoAttempts(int lateMs) throws Exception {
        module.lateMs = lateMs;
        FrontDoor door = start();
        TestPeer client = rig.client().write(FrontDoorFixture.request("look", "a", 30_000, ""));
        Gateway.Request request = PausingGateway.next(module.arrivals);
        module.onAnswer = told -> {
            if (told.outcome() == Gateway.Outcome.FULL) {
                module.pause();
                module.send(request);
            }
        };
        try (TestPeer server = TestPeer.accept(backend)) {
            server.read();
            server.answer("503 Full", "X-Turned-Away: 1\r\n", "");
            module.awaitPaused();
            client.close();
            module.resume();
            assertEquals(Gateway.Outcome.FULL, PausingGateway.next(module.answers).outcome());
            assertNeverSent();
            assertEquals(0, door.activeRequestCount());
            rig.client().write(FrontDoorFixture.request("look", "c", 30_000, ""));
            assertEquals(FrontDoorFixture.txn("c"), server.read().header("X-Txn"), "the next that comes is another's");
        }
        assertNoConnection();
    }

    /**
     * A connection that is refused proves that nothing ran: the next attempt goes elsewhere, if there still is
     * somebody.
     */
    @ParameterizedTest
    @ValueSource(ints = {500, 60, 0})
    void disconnectAfterAFailedConnect(int lateMs) throws Exception {
        module.lateMs = lateMs;
        FrontDoor door = start();
        int nobody;
        try (ServerSocket gone = new ServerSocket(0, 1, backend.getInetAddress())) {
            nobody = gone.getLocalPort();
        }
        module.onArrival = request -> { };
        rig.watch.answer("200 OK", "", FrontDoorFixture.list(8, true, FrontDoorFixture.entry("s-2", nobody, "SERVING"),
                FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING")));
        rig.watch.read();
        TestPeer client = rig.client().write(FrontDoorFixture.request("buy", "a", 30_000, "x"));
        Gateway.Request request = PausingGateway.next(module.arrivals);
        module.onAnswer = told -> {
            if (told.outcome() == Gateway.Outcome.CONNECT_FAILED) {
                module.pause();
                module.actions.send(request.id(), Endpoint.idOf("s-1"), 0);
            }
        };
        door.loop().execute(() -> module.actions.send(request.id(), Endpoint.idOf("s-2"), 0));
        module.awaitPaused();
        client.close();
        module.resume();
        assertEquals(Gateway.Outcome.CONNECT_FAILED, PausingGateway.next(module.answers).outcome());
        assertNeverSent();
        assertNoConnection();
        assertEquals(0, door.activeRequestCount());
    }

    /** All places are taken, so that nobody is taken in: who then comes, asks and leaves lies in the kernel's queue. */
    @Test
    void disconnectBeforeTheConnectionIsAccepted() throws Exception {
        rig.sockets(68); // ten for clients
        FrontDoor door = start();
        module.onArrival = request -> { };
        List<TestPeer> open = new ArrayList<>();
        for (int i = 0; i < 11; i++) {
            open.add(rig.client().write(FrontDoorFixture.request("buy", Integer.toHexString(i + 16), 30_000, "x")));
            PausingGateway.next(module.arrivals);
        }
        module.onArrival = module::send;
        rig.client().write(FrontDoorFixture.request("buy", "a", 30_000, "x")).close();
        TestPeer next = rig.client().write("GET /x HTTP/1.1\r\nHost: gw\r\n\r\n");
        open.get(0).close();
        open.get(1).close();
        open.get(2).close();
        assertEquals(404, next.read().status());
        assertTrue(module.arrivals.isEmpty(), "nobody asks for it");
        assertNoConnection();
        assertEquals(8, door.activeRequestCount());
    }

    @Test
    void disconnectBehindAnOpenRequestOnTheSameConnection() throws Exception {
        FrontDoor door = start();
        TestPeer client = rig.client().write(FrontDoorFixture.request("look", "a", 30_000, "")
                + FrontDoorFixture.request("buy", "b", 30_000, "x"));
        try (TestPeer server = TestPeer.accept(backend)) {
            server.read();
            pauseLoop("c");
            server.answer("200 OK", "", "one"); // which brings the second up
            client.close();
            module.resume();
            rig.client().write(FrontDoorFixture.request("look", "d", 30_000, ""));
            assertEquals(FrontDoorFixture.txn("d"), server.read().header("X-Txn"), "the next that comes is another's");
            server.answer("200 OK", "", "");
        }
        assertNoConnection();
        assertEquals(0, door.activeRequestCount());
    }

    /** It sent more than is read as requests: what follows is thrown away, but that it leaves is seen. */
    @Test
    void disconnectIsDetectedOnAConnectionWhoseInputIsDiscarded() throws Exception {
        FrontDoor door = start();
        module.onArrival = request -> { };
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < 5_000; i++) {
            many.append(FrontDoorFixture.request("buy", Integer.toHexString(i + 16), 30_000, "x"));
        }
        TestPeer client = rig.client().write(many.toString());
        Gateway.Request kept = PausingGateway.next(module.arrivals);
        rig.allRead(client);
        module.afterPause = () -> module.send(kept);
        pauseLoop("b");
        client.close();
        module.resume();
        assertNeverSent();
        assertTrue(module.arrivals.isEmpty());
        assertNoConnection();
        assertEquals(0, door.activeRequestCount());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void burstOfDisconnectsSendsNothingAlsoDuringADrain(boolean draining) throws Exception {
        int clients = 300;
        rig.sockets(4096);
        FrontDoor door = start();
        module.onArrival = request -> { };
        List<TestPeer> burst = new ArrayList<>();
        List<Gateway.Request> kept = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            burst.add(rig.client().write(FrontDoorFixture.request("buy", Integer.toHexString(i + 16), 30_000, "x")));
            kept.add(PausingGateway.next(module.arrivals));
        }
        module.afterPause = () -> kept.forEach(module::send);
        Thread drain = new Thread(door::drain);
        if (draining) {
            drain.start();
            while (!door.draining()) {
                Thread.onSpinWait();
            }
        }
        pauseLoop("b");
        for (TestPeer each : burst) {
            each.close();
        }
        module.resume();
        for (int i = 0; i < clients; i++) {
            assertNeverSent();
        }
        assertNoConnection();
        assertEquals(0, door.activeRequestCount());
        drain.join();
    }
}
