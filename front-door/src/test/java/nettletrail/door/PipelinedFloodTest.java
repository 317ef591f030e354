package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import nettletrail.decision.Gateway;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients that send far more behind an open request than is kept: what has been read as a request gets its answer, in turn,
 * whatever is kept of it is bounded, and that such a client leaves is seen.
 */
@Timeout(60)
class PipelinedFloodTest {
    /** Behind the open one; the rest is refused without a word to the module. */
    private static final int KEPT = 64;
    private static final int OWED = 4_096;
    @TempDir
    private Path folder;
    private FrontDoorFixture rig;
    private final PausingGateway module = new PausingGateway();
    private ServerSocket backend;
    private FrontDoor door;
    private TestPeer client;
    private Gateway.Request open;

    @BeforeEach
    void setUp() throws Exception {
        rig = new FrontDoorFixture(folder);
        backend = rig.backend();
        door = rig.start(module.factory(), FrontDoorFixture.entry("s-1", backend.getLocalPort(), "SERVING"));
        module.onArrival = request -> { };
        client = rig.client().write(FrontDoorFixture.request("look", "a", 30_000, ""));
        open = PausingGateway.next(module.arrivals);
        module.onArrival = request -> module.actions.reject(request.id(), 0);
    }

    @AfterEach
    void tearDown() throws Exception {
        module.resume();
        rig.close();
    }

    private static String flood(int requests, String body) {
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            many.append(FrontDoorFixture.request("buy", Integer.toHexString(i + 16), 30_000, body));
        }
        return many.toString();
    }

    private void answerOpen() throws IOException {
        door.loop().execute(() -> module.send(open));
        try (TestPeer server = TestPeer.accept(backend)) {
            assertEquals(FrontDoorFixture.txn("a"), server.read().header("X-Txn"));
            server.answer("200 OK", "", "seen");
        }
        assertEquals("seen", client.read().body());
    }

    /** 1 MB behind the open request: each of them is answered, and the connection goes on. */
    @Test
    void everyPipelinedRequestIsAnswered() throws Exception {
        int requests = 3_500;
        client.write(flood(requests, "x"));
        answerOpen();
        for (int i = 0; i < requests; i++) {
            TestPeer.Message answer = client.read();
            assertEquals(429, answer.status());
            assertNull(answer.header("Connection"));
        }
        assertEquals(KEPT, module.arrivals.size(), "the module hears of those that were kept");
        assertEquals(404, client.write("GET /x HTTP/1.1\r\nHost: gw\r\n\r\n").read().status());
        assertEquals(0, door.activeRequestCount());
    }

    /** Several MB: what can't be read as requests any more is read all the same, and the connection ends with its last answer. */
    @Test
    void endlessPipelineIsAnsweredUpToTheLimitThenClosed() throws Exception {
        client.write(flood(12_000, "x"));
        answerOpen();
        for (int i = 1; i < KEPT + OWED; i++) {
            assertNull(client.read().header("Connection"), "answer " + i);
        }
        assertEquals("close", client.read().header("Connection"));
        assertTrue(client.ended());
        assertEquals(0, door.activeRequestCount());
    }

    /** Of bodies no more is kept than 128 KB, and of those refused nothing. */
    @Test
    void queuedBodiesAreBoundedInBytes() throws Exception {
        int requests = 40;
        client.write(flood(requests, "x".repeat(60_000)));
        answerOpen();
        for (int i = 0; i < requests; i++) {
            assertEquals(429, client.read().status());
        }
        assertEquals(2, module.arrivals.size());
        assertEquals(0, door.activeRequestCount());
    }

    /** Never a word that the same request may be sent again where it may have run; and what is no request is told so. */
    @Test
    void rejectedPipelinedRequestsAreStillValidated() throws Exception {
        client.write(flood(KEPT, "x") + FrontDoorFixture.request("look", "a", 30_000, "")
                + "GET /x HTTP/1.1\r\nHost: gw\r\n\r\nGET /-/ready HTTP/1.1\r\nHost: gw\r\n\r\nnonsense\r\n\r\n");
        answerOpen();
        for (int i = 0; i < KEPT; i++) {
            assertEquals(429, client.read().status());
        }
        assertEquals(400, client.read().status(), "the open one's id");
        assertEquals(404, client.read().status());
        assertEquals(200, client.read().status());
        TestPeer.Message last = client.read();
        assertEquals(400, last.status());
        assertEquals("close", last.header("Connection"));
        assertTrue(client.ended());
    }

    /** It left behind all that it sent: that is seen, and nothing of it is sent on, though the loop was late. */
    @ParameterizedTest
    @ValueSource(ints = {2_000, 12_000})
    void thatItLeavesIsSeen(int requests) throws Exception {
        client.write(flood(requests, "x"));
        rig.allRead(client);
        module.afterPause = () -> module.send(open);
        rig.client().write(PausingGateway.pausingRequest("b"));
        module.awaitPaused();
        client.close();
        module.resume();
        Gateway.AttemptReport told = PausingGateway.next(module.answers);
        assertEquals(Gateway.Outcome.NEVER_SENT, told.outcome());
        assertTrue(told.requestEnded());
        assertTrue(module.arrivals.isEmpty());
        backend.setSoTimeout(100);
        assertThrows(SocketTimeoutException.class, backend::accept);
        assertEquals(0, door.activeRequestCount());
    }

    /** Nothing is asked for: the end alone tells, as soon as it has come through. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void disconnectIsReportedImmediately(boolean reset) throws Exception {
        client.write(flood(12_000, "x"));
        rig.allRead(client);
        long since = System.nanoTime();
        if (reset) {
            client.reset();
        } else {
            client.close();
        }
        assertEquals(open.id(), PausingGateway.next(module.departures));
        long tookMs = (System.nanoTime() - since) / 1_000_000;
        assertTrue(tookMs < 100, "took " + tookMs + " ms");
        assertEquals(0, door.activeRequestCount());
    }
}
