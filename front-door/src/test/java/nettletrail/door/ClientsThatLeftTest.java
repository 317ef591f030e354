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
 * A request whose client left while it waited reaches no backend, though the loop was at something else for half a second
 * and has not read that the client left: in each case the loop is held at the instant, the client goes, and what would
 * send the request is the first thing that the loop does. Backends count what comes.
 */
@Timeout(60)
class ClientsThatLeftTest {
    @TempDir
    private Path folder;
    private Rig rig;
    private final HeldModule module = new HeldModule();
    private ServerSocket backend;

    @BeforeEach
    void make() throws IOException {
        rig = new Rig(folder);
        backend = rig.backend();
    }

    @AfterEach
    void end() throws Exception {
        module.release();
        rig.close();
    }

    private FrontDoor start() throws Exception {
        return rig.start(module.module(), Rig.entry("s-1", backend.getLocalPort(), "SERVING"));
    }

    private static void leave(Peer client, boolean reset) throws IOException {
        if (reset) {
            client.reset();
        } else {
            client.close();
        }
    }

    private void nothingComes() throws IOException {
        backend.setSoTimeout(100);
        assertThrows(SocketTimeoutException.class, backend::accept);
    }

    private void holdLoop(String txn) throws Exception {
        rig.client().write(HeldModule.holding(txn));
        module.awaitHeld();
    }

    /** What was asked to be sent never left, and the request is over: what it drew is given back by that. */
    private void neverSent() throws InterruptedException {
        Gateway.AttemptReport told = HeldModule.next(module.answers);
        assertEquals(Gateway.Outcome.NEVER_SENT, told.outcome());
        assertTrue(told.requestEnded());
    }

    /** However late the loop is: also where it is not, but has the event that sends before the one that tells. */
    @ParameterizedTest
    @CsvSource({"false, 500", "true, 500", "false, 60", "true, 60", "false, 0", "true, 0"})
    void whileTheModuleHeldIt(boolean reset, int lateMs) throws Exception {
        module.lateMs = lateMs;
        FrontDoor door = start();
        module.arrival = request -> { };
        Peer client = rig.client().write(Rig.request("buy", "a", 30_000, "x"));
        Gateway.Request kept = HeldModule.next(module.arrivals);
        module.afterHold = () -> module.send(kept);
        holdLoop("b");
        leave(client, reset);
        module.release();
        neverSent();
        nothingComes();
        assertEquals(0, door.activeRequestCount());
    }

    /** The whole of it lies unread, and behind it that the client has gone. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void beforeItWasRead(boolean reset) throws Exception {
        FrontDoor door = start();
        Peer client = rig.client();
        assertEquals(404, client.write("GET /x HTTP/1.1\r\nHost: gw\r\n\r\n").read().status());
        Peer other = rig.client().write(HeldModule.holding("b"));
        module.awaitHeld();
        client.write(Rig.request("buy", "a", 30_000, "x"));
        leave(client, reset);
        module.release();
        assertEquals(502, other.read().status());
        nothingComes();
        assertTrue(module.arrivals.isEmpty(), "nobody asks for it");
        assertEquals(0, door.activeRequestCount());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whileItsConnectionCameUp(boolean reset) throws Exception {
        rig.connectTimeoutMs(15_000);
        ServerSocket full = rig.backend(1);
        FrontDoor door = rig.start(module.module(), Rig.entry("s-1", full.getLocalPort(), "SERVING"));
        // With its backlog taken, a further connection to it does not come up before the kernel asks again.
        try (Socket first = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket second = new Socket(full.getInetAddress(), full.getLocalPort())) {
            assertTrue(first.isConnected() && second.isConnected());
            Peer client = rig.client().write(Rig.request("buy", "a", 30_000, "x"));
            HeldModule.next(module.arrivals);
            holdLoop("b");
            Peer.accept(full).close();
            Peer.accept(full).close();
            try (Peer up = Peer.accept(full)) { // it is up, and the loop does not know
                leave(client, reset);
                module.release();
                neverSent();
                assertEquals(0, door.activeRequestCount());
                rig.client().write(Rig.request("look", "c", 30_000, ""));
                assertEquals(Rig.txn("c"), up.read().header("X-Txn"), "the first that comes on it is another's");
            }
        }
    }

    /** Its rest ends when the next request looks for a connection, in the same turn. */
    @Test
    void whileItWaitedForARestingConnection() throws Exception {
        start();
        Peer client = rig.client().write(Rig.request("look", "a", 30_000, ""));
        long first = HeldModule.next(module.arrivals).id();
        module.arrival = request -> { };
        try (Peer server = Peer.accept(backend)) {
            server.read();
            Peer leaving = rig.client().write(Rig.request("buy", "b", 30_000, "x"));
            Gateway.Request kept = HeldModule.next(module.arrivals);
            Peer staying = rig.client().write(Rig.request("look", "c", 30_000, ""));
            Gateway.Request other = HeldModule.next(module.arrivals);
            module.answer = told -> {
                if (told.requestId() == first) {
                    module.send(kept); // waits for the connection that rests
                    module.hold();
                    module.send(other); // and by this its rest is over
                }
            };
            server.answer("200 OK", "", "one");
            assertEquals("one", client.read().body());
            module.awaitHeld();
            leaving.close();
            module.release();
            assertEquals(Rig.txn("c"), server.read().header("X-Txn"), "who left got the connection");
            server.answer("200 OK", "", "two");
            assertEquals("two", staying.read().body());
        }
        nothingComes();
    }

    /** Turned away by a backend, and asked for again. */
    @ParameterizedTest
    @ValueSource(ints = {500, 60, 0})
    void betweenTwoAttempts(int lateMs) throws Exception {
        module.lateMs = lateMs;
        FrontDoor door = start();
        Peer client = rig.client().write(Rig.request("look", "a", 30_000, ""));
        Gateway.Request request = HeldModule.next(module.arrivals);
        module.answer = told -> {
            if (told.outcome() == Gateway.Outcome.FULL) {
                module.hold();
                module.send(request);
            }
        };
        try (Peer server = Peer.accept(backend)) {
            server.read();
            server.answer("503 Full", "X-Turned-Away: 1\r\n", "");
            module.awaitHeld();
            client.close();
            module.release();
            assertEquals(Gateway.Outcome.FULL, HeldModule.next(module.answers).outcome());
            neverSent();
            assertEquals(0, door.activeRequestCount());
            rig.client().write(Rig.request("look", "c", 30_000, ""));
            assertEquals(Rig.txn("c"), server.read().header("X-Txn"), "the next that comes is another's");
        }
        nothingComes();
    }

    /** A connection that is refused proves that nothing ran: the next attempt goes elsewhere, if there still is somebody. */
    @ParameterizedTest
    @ValueSource(ints = {500, 60, 0})
    void afterAConnectionThatFailed(int lateMs) throws Exception {
        module.lateMs = lateMs;
        FrontDoor door = start();
        int nobody;
        try (ServerSocket gone = new ServerSocket(0, 1, backend.getInetAddress())) {
            nobody = gone.getLocalPort();
        }
        module.arrival = request -> { };
        rig.watch.answer("200 OK", "", Rig.list(8, true, Rig.entry("s-2", nobody, "SERVING"),
                Rig.entry("s-1", backend.getLocalPort(), "SERVING")));
        rig.watch.read();
        Peer client = rig.client().write(Rig.request("buy", "a", 30_000, "x"));
        Gateway.Request request = HeldModule.next(module.arrivals);
        module.answer = told -> {
            if (told.outcome() == Gateway.Outcome.CONNECT_FAILED) {
                module.hold();
                module.actions.send(request.id(), Endpoint.idOf("s-1"), 0);
            }
        };
        door.loop().execute(() -> module.actions.send(request.id(), Endpoint.idOf("s-2"), 0));
        module.awaitHeld();
        client.close();
        module.release();
        assertEquals(Gateway.Outcome.CONNECT_FAILED, HeldModule.next(module.answers).outcome());
        neverSent();
        nothingComes();
        assertEquals(0, door.activeRequestCount());
    }

    /** All places are taken, so that nobody is taken in: who then comes, asks and leaves lies in the kernel's queue. */
    @Test
    void beforeItsConnectionWasTakenIn() throws Exception {
        rig.sockets(68); // ten for clients
        FrontDoor door = start();
        module.arrival = request -> { };
        List<Peer> open = new ArrayList<>();
        for (int i = 0; i < 11; i++) {
            open.add(rig.client().write(Rig.request("buy", Integer.toHexString(i + 16), 30_000, "x")));
            HeldModule.next(module.arrivals);
        }
        module.arrival = module::send;
        rig.client().write(Rig.request("buy", "a", 30_000, "x")).close();
        Peer next = rig.client().write("GET /x HTTP/1.1\r\nHost: gw\r\n\r\n");
        open.get(0).close();
        open.get(1).close();
        open.get(2).close();
        assertEquals(404, next.read().status());
        assertTrue(module.arrivals.isEmpty(), "nobody asks for it");
        nothingComes();
        assertEquals(8, door.activeRequestCount());
    }

    @Test
    void behindAnOpenRequestOnTheSameConnection() throws Exception {
        FrontDoor door = start();
        Peer client = rig.client().write(Rig.request("look", "a", 30_000, "") + Rig.request("buy", "b", 30_000, "x"));
        try (Peer server = Peer.accept(backend)) {
            server.read();
            holdLoop("c");
            server.answer("200 OK", "", "one"); // which brings the second up
            client.close();
            module.release();
            rig.client().write(Rig.request("look", "d", 30_000, ""));
            assertEquals(Rig.txn("d"), server.read().header("X-Txn"), "the next that comes is another's");
            server.answer("200 OK", "", "");
        }
        nothingComes();
        assertEquals(0, door.activeRequestCount());
    }

    /** It sent more than is read as requests: what follows is thrown away, but that it leaves is seen. */
    @Test
    void onAConnectionThatIsNoLongerReadAsRequests() throws Exception {
        FrontDoor door = start();
        module.arrival = request -> { };
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < 5_000; i++) {
            many.append(Rig.request("buy", Integer.toHexString(i + 16), 30_000, "x"));
        }
        Peer client = rig.client().write(many.toString());
        Gateway.Request kept = HeldModule.next(module.arrivals);
        rig.allRead(client);
        module.afterHold = () -> module.send(kept);
        holdLoop("b");
        client.close();
        module.release();
        neverSent();
        assertTrue(module.arrivals.isEmpty());
        nothingComes();
        assertEquals(0, door.activeRequestCount());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void inABurstAlsoDuringADrain(boolean draining) throws Exception {
        int clients = 300;
        rig.sockets(4096);
        FrontDoor door = start();
        module.arrival = request -> { };
        List<Peer> burst = new ArrayList<>();
        List<Gateway.Request> kept = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            burst.add(rig.client().write(Rig.request("buy", Integer.toHexString(i + 16), 30_000, "x")));
            kept.add(HeldModule.next(module.arrivals));
        }
        module.afterHold = () -> kept.forEach(module::send);
        Thread drain = new Thread(door::drain);
        if (draining) {
            drain.start();
            while (!door.draining()) {
                Thread.onSpinWait();
            }
        }
        holdLoop("b");
        for (Peer each : burst) {
            each.close();
        }
        module.release();
        for (int i = 0; i < clients; i++) {
            neverSent();
        }
        nothingComes();
        assertEquals(0, door.activeRequestCount());
        drain.join();
    }
}
