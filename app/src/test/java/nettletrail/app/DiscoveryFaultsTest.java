package nettletrail.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import nettletrail.door.FrontDoor;
import nettletrail.door.FrontDoorConfig;
import nettletrail.site.Ledger;
import nettletrail.site.SiteSettings;
import nettletrail.site.StandInAgent;
import nettletrail.site.StandInBackend;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Documents of discovery that are whole and wrong: what is listed is heeded, and requests are served throughout. */
@Timeout(60)
class DiscoveryFaultsTest {
    private static final int NODES = 4;

    @TempDir
    private Path folder;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final Ledger ledger = new Ledger();
    private final List<StandInBackend> nodes = new ArrayList<>();
    private StandInAgent agent;
    private FrontDoor door;
    private int number;

    @BeforeEach
    void make() throws Exception {
        agent = new StandInAgent(group);
        for (int i = 0; i < NODES; i++) {
            StandInBackend made = new StandInBackend("s-" + i, group, ledger, StandInBackend.Manner.good(1), i);
            nodes.add(made);
            agent.set(made.name(), made.address(), "SERVING", 0);
        }
        Path file = folder.resolve("config.json");
        Files.writeString(file, "{\"name\":\"n0\",\"discovery\":\"\",\"seed\":\"1\",\"limits\":{\"sockets\":1024},\"known\":"
                + agent.list(-1) + ",\"settings\":" + SiteSettings.usual(1).json() + "}");
        door =
                FrontDoor.start(FrontDoorConfig.read(Map.of("EDGE_NAME", "n0", "EDGE_LISTEN", "127.0.0.1:0",
                        "EDGE_DISCOVERY",
                "127.0.0.1:" + agent.address().getPort(), "EDGE_CONFIG", file.toString())), FrontDoor.GATEWAY_FACTORY);
    }

    @AfterEach
    void end() {
        door.stop();
        nodes.forEach(StandInBackend::close);
        agent.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Orders by different customers; how many were served, and where they ran. */
    private Set<String> orders(int count) throws IOException {
        Set<String> ids = new TreeSet<>();
        byte[] buffer = new byte[4_096];
        try (Socket client = new Socket(door.address().getAddress(), door.address().getPort())) {
            client.setSoTimeout(10_000);
            for (int i = 0; i < count; i++) {
                String id = String.format("%016x", ++number);
                ids.add(id);
                client.getOutputStream().write(("POST /api HTTP/1.1\r\nHost: gw\r\nX-Txn: " + id + "\r\nX-Lane: order-submit\r\nX-Plan: "
                        + "standard\r\nX-Customer: " + String.format("%016x", number) + "\r\nX-Remaining-Ms: 3000\r\nX-Quota: "
                        + "units=1,spread=1,first=0\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                int read = client.getInputStream().read(buffer);
                assertTrue(new String(buffer, 0, read, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200"), id);
            }
        }
        Set<String> where = new TreeSet<>();
        ledger.runs().stream().filter(run -> ids.contains(run.id())).forEach(run -> where.add(run.node()));
        assertEquals(Set.of(), ledger.ranTwice());
        return where;
    }

    private void say(String text) throws InterruptedException {
        for (int i = 0; i < 1_000 && agent.say(text) == 0; i++) {
            Thread.sleep(5); // until the watch is there
        }
        for (int i = 0; i < 1_000 && agent.say(agent.list(0)) == 0; i++) {
            Thread.sleep(5); // until it was read, and the next watch has come
        }
    }

    @Test
    void aListWithHalfTheNodesGoneIsHeededAndServesOn() throws Exception {
        // One request at a time finds one node the best: that one is among those that go.
        int favourite = Integer.parseInt(orders(20).iterator().next().substring(2));
        int first = (favourite + 1) % NODES;
        int second = (favourite + 2) % NODES;
        String half = "{\"index\":99,\"snapshot\":true,\"endpoints\":[" + entry(first) + "," + entry(second) + "]}";
        for (int i = 0; i < 1_000 && agent.say(half) == 0; i++) {
            Thread.sleep(5);
        }
        for (int i = 0; i < 1_000 && agent.say("{\"index\":99,\"snapshot\":false,\"endpoints\":[]}") == 0; i++) {
            Thread.sleep(5); // read, and asked again
        }
        assertTrue(Set.of("s-" + first, "s-" + second).containsAll(orders(60)));
    }

    /** An agent that went back: a node that has gone is listed again. Orders find the others, and none runs twice. */
    @Test
    void anOldListThatComesAgainCostsNoAnswer() throws Exception {
        nodes.get(3).close();
        agent.set("s-3", nodes.get(3).address(), "DELETED", 0);
        orders(20);
        say("{\"index\":2,\"snapshot\":true,\"endpoints\":[" + entry(0) + "," + entry(1) + "," + entry(2) + "," + entry(3)
                + "]}");
        assertTrue(!orders(60).contains("s-3"));
    }

    @Test
    void whatIsNoListChangesNothing() throws Exception {
        for (String odd : List.of("{\"index\":7,\"snapshot\":true,\"endpoints\":[{\"name\":\"s-", "[]", "nonsense",
                "{\"index\":\"x\",\"endpoints\":7}")) {
            for (int i = 0; i < 1_000 && agent.say(odd) == 0; i++) {
                Thread.sleep(5);
            }
            assertTrue(orders(10).size() > 0, odd);
        }
    }

    private String entry(int node) {
        return "{\"name\":\"s-" + node + "\",\"address\":\"127.0.0.1:" + nodes.get(node).address().getPort()
                + "\",\"zone\":\"a\",\"type\":\"m1\",\"group\":1,\"status\":\"SERVING\",\"weight\":1.0,\"since_ms\":0}";
    }
}
