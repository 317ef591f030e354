package nettletrail.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What made the rough days rough, with the project's own module behind the sockets. */
@Timeout(60)
class RoughDayTest {
    @TempDir
    private Path folder;
    private Rig rig;

    @BeforeEach
    void make() throws IOException {
        rig = new Rig(folder);
    }

    @AfterEach
    void end() throws Exception {
        rig.close();
    }

    /** Rationed as cold it would get less than one request at first, and then for the whole ramp nothing. */
    @Test
    void aBackendThatRefusedOneConnectionIsNotTakenForARestartedOne() throws Exception {
        ServerSocket first = rig.backend();
        int port = first.getLocalPort();
        rig.start(Rig.entry("s-1", port, "SERVING"));
        first.close();
        Peer client = rig.client();
        assertEquals(429, client.write(Rig.request("look", "a", 3000, "")).read().status());
        try (ServerSocket again = new ServerSocket(port, 50, InetAddress.getLoopbackAddress())) {
            client.write(Rig.request("look", "b", 3000, ""));
            try (Peer backend = Peer.accept(again)) {
                for (String id : new String[] {"b", "c", "d", "e"}) {
                    backend.read();
                    backend.answer("200 OK", "", id);
                    assertEquals(id, client.read().body());
                    client.write(Rig.request("look", id + id, 3000, ""));
                }
            }
        }
    }

    /** The first list allows twelve attempts out at once; here all twelve stay silent for longer than their aim. */
    @Test
    void attemptsThatStaySilentDoNotKeepAllOthersOut() throws Exception {
        ServerSocket backend = rig.backend();
        rig.start(Rig.entry("s-1", backend.getLocalPort(), "SERVING"));
        for (int i = 0; i < 12; i++) {
            rig.client().write(Rig.request("look", "a" + Integer.toHexString(i), 9000, ""));
            rig.keep(Peer.accept(backend)).read();
        }
        Thread.sleep(1_200);
        Peer client = rig.client().write(Rig.request("look", "c", 9000, ""));
        try (Peer next = Peer.accept(backend)) {
            assertEquals(Rig.txn("c"), next.read().header("X-Txn"));
            next.answer("200 OK", "", "served");
            assertEquals("served", client.read().body());
        }
    }
}
