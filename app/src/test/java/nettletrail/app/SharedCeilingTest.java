package nettletrail.app;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import nettletrail.core.FrontDoorExtensions;
import nettletrail.counter.StandInCounter;
import nettletrail.door.FrontDoor;
import nettletrail.door.FrontDoorConfig;
import nettletrail.limits.LimitsBound;
import nettletrail.limits.LimitsDecider.Ceiling;
import nettletrail.limits.LimitsSettings;
import nettletrail.site.Ledger;
import nettletrail.site.SiteSettings;
import nettletrail.site.StandInAgent;
import nettletrail.site.StandInBackend;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two front doors on sockets, one ceiling, a counter that goes. */
@Timeout(120)
class SharedCeilingTest {
    private static final Ceiling CEILING = new Ceiling(20, 10);
    private static final String CUSTOMER = "00000000000000aa";

    @TempDir
    private Path folder;
    private final NioEventLoopGroup group = new NioEventLoopGroup(2);
    private final List<FrontDoor> doors = new ArrayList<>();
    private final List<Socket> clients = new ArrayList<>();
    private StandInAgent agent;
    private StandInBackend backend;
    private StandInCounter counter;
    private int number;
    private int served;
    private int refusedWithTime;

    @BeforeEach
    void make() throws Exception {
        agent = new StandInAgent(group);
        backend = new StandInBackend("s-0", group, new Ledger(), StandInBackend.Manner.good(1), 0);
        agent.set(backend.name(), backend.address(), "SERVING", 0);
        counter = new StandInCounter(group.next(), null);
        LimitsSettings limits = new LimitsSettings(counter.address(), "t", "", Map.of("standard", CEILING), 2, 1_000, 120,
                30, 25, 200, 32, 2_000, 1_000);
        for (int i = 0; i < 2; i++) {
            Path file = folder.resolve("n" + i + ".json");
            Files.writeString(file, "{\"name\":\"n" + i + "\",\"discovery\":\"\",\"seed\":\"1\",\"limits\":{\"sockets\":1024},"
                    + "\"known\":" + agent.list(-1) + ",\"settings\":" + SiteSettings.usual(2).json() + "}");
            doors.add(FrontDoor.start(FrontDoorConfig.read(Map.of("EDGE_NAME", "n" + i, "EDGE_LISTEN", "127.0.0.1:0",
                    "EDGE_DISCOVERY", "127.0.0.1:" + agent.address().getPort(), "EDGE_CONFIG", file.toString())),
                    FrontDoor.GATEWAY_FACTORY, new FrontDoorExtensions(List.of(), LimitsBound.maker(limits))));
            Socket client = new Socket(doors.get(i).address().getAddress(), doors.get(i).address().getPort());
            client.setSoTimeout(10_000);
            clients.add(client);
        }
    }

    @AfterEach
    void end() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        doors.forEach(FrontDoor::stop);
        backend.close();
        counter.close();
        agent.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private boolean ask(int door) throws IOException {
        byte[] buffer = new byte[4_096];
        clients.get(door).getOutputStream().write(("GET /api HTTP/1.1\r\nHost: gw\r\nX-Txn: " + String.format("%016x", ++number)
                + "\r\nX-Lane: order-status\r\nX-Plan: standard\r\nX-Customer: " + CUSTOMER
                + "\r\nX-Remaining-Ms: 3000\r\nX-Quota: units=1,spread=2,first=0\r\n\r\n").getBytes(
                        StandardCharsets.US_ASCII));
        int read = clients.get(door).getInputStream().read(buffer);
        String answer = new String(buffer, 0, read, StandardCharsets.US_ASCII);
        boolean ok = answer.startsWith("HTTP/1.1 200");
        assertTrue(ok || answer.startsWith("HTTP/1.1 429"), answer);
        served += ok ? 1 : 0;
        refusedWithTime += answer.contains("retry-after: ") ? 1 : 0;
        return ok;
    }

    /** Asks both until so many are served. */
    private void serve(int more) throws IOException {
        int until = served + more;
        while (served < until) {
            ask(0);
            ask(1);
        }
    }

    @Test
    void bothTogetherStayUnderTheCeilingWithTheCounterAndWithoutIt() throws Exception {
        long start = System.nanoTime();
        serve(40);
        counter.gone();
        serve(20);
        counter.again();
        serve(20);
        double allowed = CEILING.burst() + CEILING.ratePerS() * (System.nanoTime() - start) / 1e9;
        assertTrue(served <= allowed, served + " served of " + allowed);
        assertTrue(refusedWithTime > 0, "refusals say when to come again");
    }
}
