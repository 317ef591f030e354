package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import nettletrail.decision.Gateway;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that fill all places that a front door with few descriptors has, and what must find one all the same. */
@Timeout(60)
class DescriptorLimitTest {
    private static final String ODD = "GET /x HTTP/1.1\r\nHost: gw\r\n\r\n";
    private static final int SOCKETS = 128;
    /** Forty of them are clients'. */
    private static final int CROWD = 200;
    private static final int LARGE = 500_000;

    @TempDir
    private Path folder;
    private FrontDoorFixture rig;
    private final PausingGateway module = new PausingGateway();
    private ServerSocket backend;
    private FrontDoor door;
    /** Of the last request, for its id. */
    private int number = 4_096;

    @BeforeEach
    void setUp() throws Exception {
        rig = new FrontDoorFixture(folder);
        backend = rig.backend();
        rig.sockets(SOCKETS);
        door = rig.start(module.factory(), FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"));
    }

    @AfterEach
    void tearDown() throws Exception {
        module.resume();
        rig.close();
    }

    /** Each says this and nothing more; some are shut at once to make room for others. */
    private void connectMany(String says) throws IOException {
        for (int i = 0; i < CROWD; i++) {
            TestPeer one = rig.client();
            try {
                one.write(says);
            } catch (IOException e) {
                continue; // it had to make room already
            }
        }
    }

    /** Discovery's connection is gone, and nobody answers there. */
    private void stopDiscovery() throws IOException {
        rig.watch.close();
    }

    /** It answers again: the first call that is still open is given this list. */
    private void restartDiscovery(String list) throws IOException {
        while (true) {
            TestPeer call = rig.keep(TestPeer.accept(rig.discovery));
            try {
                call.read();
                call.answer("200 OK", "", list);
                call.read();
                return;
            } catch (IOException e) {
                call.close(); // given up meanwhile
            }
        }
    }

    private void assertServedBy(ServerSocket listening, TestPeer client, String txn) throws Exception {
        client.write(FrontDoorFixture.request("look", txn, 30_000, ""));
        try (TestPeer server = TestPeer.accept(listening)) {
            assertEquals(FrontDoorFixture.txn(txn), server.read().header("X-Txn"));
            server.answer("200 OK", "", "seen");
            assertEquals("seen", client.read().body());
        }
    }

    private int clients() throws Exception {
        return door.loop().submit(door::clients).get();
    }

    /** Silent, asked once, half a head, half a body: the list is taken in when discovery is back, and a new client served by it. */
    @ParameterizedTest
    @ValueSource(strings = {"", ODD, "GET /api HTTP/1.1\r\nX-Txn", "POST /api HTTP/1.1\r\nHost: gw\r\nContent-Length: 9000\r\n\r\nhalf"})
    void newClientIsServedWhenManyConnectDuringADiscoveryOutage(String says) throws Exception {
        stopDiscovery();
        connectMany(says);
        ServerSocket other = rig.backend();
        restartDiscovery(FrontDoorFixture.list(9, true, FrontDoorFixture.entry("s-2", other.getLocalPort(),
                "SERVING")));
        connectMany(says);
        assertServedBy(other, rig.client(), "a");
        assertTrue(clients() <= (SOCKETS - 48) / 2 + 16, "what is taken in one turn at most beyond the clients' part");
    }

    /** The same when SIGTERM has come: who then connects is served, and the drain ends. */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /api HTTP/1.1\r\nX-Txn"})
    void newClientIsServedWhenManyConnectDuringADrain(String says) throws Exception {
        stopDiscovery();
        connectMany(says);
        Thread drain = new Thread(door::drain);
        drain.start();
        while (!door.draining()) {
            Thread.onSpinWait();
        }
        connectMany(says);
        assertServedBy(backend, rig.client(), "a");
        drain.join();
        assertEquals(0, door.activeRequestCount());
    }

    /** Closed ones give their descriptors back only after the loop's turn: the end of listening takes in so many a turn, and all of them. */
    @Test
    void stopListeningAcceptsABoundedNumberPerTurn() throws Exception {
        int queued = 150;
        CountDownLatch there = new CountDownLatch(1);
        CountDownLatch waiting = new CountDownLatch(1);
        var more = door.loop().submit(() -> {
            there.countDown();
            waiting.await();
            int before = descriptors();
            door.stopListening();
            return descriptors() - before;
        });
        there.await();
        List<TestPeer> queue = new ArrayList<>();
        for (int i = 0; i < queued; i++) {
            queue.add(rig.client().write(ODD));
        }
        waiting.countDown();
        assertTrue(more.get() <= SOCKETS / 4 + 16, "beyond a turn's part: " + more.get());
        for (TestPeer each : queue) {
            assertEquals(404, each.read().status());
        }
        while (door.listens()) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private static int descriptors() {
        return new File("/proc/self/fd").list().length;
    }

    /** All connections to backends break, and all are opened anew, with the clients' places full. */
    @Test
    void backendConnectionsAreReopenedAfterAllBreak() throws Exception {
        int both = 20;
        List<TestPeer> clients = new ArrayList<>();
        List<TestPeer> servers = new ArrayList<>();
        for (int i = 0; i < both; i++) {
            clients.add(rig.client().write(FrontDoorFixture.request("look", Integer.toHexString(i + 16), 30_000, "")));
            servers.add(rig.keep(TestPeer.accept(backend)));
            servers.get(i).read();
        }
        connectMany("");
        module.onAnswer = told -> { };
        for (TestPeer each : servers) {
            each.reset();
        }
        for (TestPeer each : clients) {
            assertEquals(502, each.read().status()); // the module fails what is reset
        }
        for (int i = 0; i < both; i++) {
            clients.get(i).write(FrontDoorFixture.request("look", Integer.toHexString(i + 256), 30_000, ""));
        }
        for (int i = 0; i < both; i++) {
            TestPeer server = rig.keep(TestPeer.accept(backend));
            server.read();
            server.answer("200 OK", "", "seen");
        }
        for (TestPeer each : clients) {
            assertEquals("seen", each.read().body());
        }
    }

    /**
     * All that it may hold break in one turn of the loop, and all are asked for again in the same: the broken ones' descriptors come
     * back only after it, so that the new ones wait for these and take nobody else's.
     */
    @Test
    void newConnectionsWaitForTheDescriptorsOfBrokenOnes() throws Exception {
        int most = 8;
        AtomicInteger before = new AtomicInteger();
        AtomicInteger more = new AtomicInteger();
        PausingGateway again = new PausingGateway() {
            @Override
            public void onAttemptEnd(long now, AttemptReport told) {
                if (told.outcome() == Gateway.Outcome.RESET) {
                    actions.send(told.requestId(), backend, 0);
                    more.set(Math.max(more.get(), descriptors() - before.get()));
                }
                answers.add(told);
            }
        };
        FrontDoorFixture small = new FrontDoorFixture(folder).sockets(64); // eight for backends
        try {
            small.start(again.factory(), FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"));
            List<TestPeer> clients = new ArrayList<>();
            List<TestPeer> servers = new ArrayList<>();
            for (int i = 0; i < most; i++) {
                TestPeer client = small.client();
                clients.add(client.write(FrontDoorFixture.request("look", Integer.toHexString(i + 16), 30_000, "")));
                servers.add(TestPeer.accept(backend));
                servers.get(i).read();
            }
            again.afterPause = () -> before.set(descriptors());
            small.client().write(PausingGateway.pausingRequest("b"));
            again.awaitPaused();
            for (TestPeer each : servers) {
                each.reset();
            }
            again.resume();
            for (int i = 0; i < most; i++) {
                assertEquals(Gateway.Outcome.RESET, PausingGateway.next(again.answers).outcome());
            }
            for (int i = 0; i < most; i++) {
                TestPeer server = small.keep(TestPeer.accept(backend));
                server.read();
                server.answer("200 OK", "", "seen");
            }
            for (TestPeer each : clients) {
                assertEquals("seen", each.read().body());
            }
            assertTrue(more.get() <= 2, "more than before: " + more.get());
        } finally {
            again.resume();
            small.close();
        }
    }

    // ---- Answers that are not read ----------------------------------------------------------------------

    /** A client with a small window, which reads only when it is told to. */
    private TestPeer smallWindowClient() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4_096);
        InetSocketAddress to = door.address();
        socket.connect(new InetSocketAddress(to.getAddress(), to.getPort()));
        return rig.keep(new TestPeer(socket));
    }

    /** Large answers to it, one after the other, until its connection takes no more; how many were given. */
    private int fillSendBuffer(TestPeer client, TestPeer server, int most) throws Exception {
        int given = 0;
        while (given < most) {
            client.write(FrontDoorFixture.request("look", Integer.toHexString(++number), 30_000, ""));
            if (module.arrivals.poll(500, TimeUnit.MILLISECONDS) == null) {
                return given;
            }
            server.read();
            server.answer("200 OK", "", "x".repeat(LARGE));
            PausingGateway.next(module.answers);
            given++;
            TimeUnit.MILLISECONDS.sleep(20); // at least so long: its connection has rested then
        }
        return given;
    }

    /** The last of its answers is partly with the kernel: what makes room, and a drain, leave it whole. */
    @Test
    void responseBeingWrittenIsNotCutOff() throws Exception {
        assertServedBy(backend, rig.client(), "a");
        PausingGateway.next(module.arrivals);
        PausingGateway.next(module.answers);
        TestPeer first = smallWindowClient();
        first.write(FrontDoorFixture.request("look", "b", 30_000, ""));
        PausingGateway.next(module.arrivals);
        TestPeer server = rig.keep(TestPeer.accept(backend));
        server.read();
        server.answer("200 OK", "", "x".repeat(LARGE));
        PausingGateway.next(module.answers);
        TimeUnit.MILLISECONDS.sleep(20);
        int enough = 1 + fillSendBuffer(first, server, 40);
        first.close();
        TestPeer second = smallWindowClient();
        int took = fillSendBuffer(second, server, enough);
        for (int again = 0; again < 5 && took < enough; again++) {
            second.close(); // the kernel took less this time, and one request waits: that one could not be closed as idle
            enough = took;
            second = smallWindowClient();
            took = fillSendBuffer(second, server, enough);
        }
        assertEquals(enough, took, "as many as the other took");
        door.loop().submit(() -> door.closeIdle(0)).sync();
        for (int i = 0; i < enough; i++) {
            assertEquals(LARGE, second.read().body().length(), "answer " + i + " of " + enough);
        }
    }

    /** One that never reads is ended, and its place is another's. */
    @Test
    void clientThatNeverReadsIsDisconnected() throws Exception {
        TestPeer first = smallWindowClient();
        first.write(FrontDoorFixture.request("look", "b", 30_000, ""));
        PausingGateway.next(module.arrivals);
        TestPeer server = rig.keep(TestPeer.accept(backend));
        server.read();
        server.answer("200 OK", "", "x".repeat(LARGE));
        PausingGateway.next(module.answers);
        TimeUnit.MILLISECONDS.sleep(20);
        fillSendBuffer(first, server, 40);
        long since = System.nanoTime();
        while (clients() > 0) {
            TimeUnit.MILLISECONDS.sleep(10);
            assertTrue(System.nanoTime() - since < TimeUnit.SECONDS.toNanos(8), "it holds on");
        }
    }
}
