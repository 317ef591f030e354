package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import nettletrail.core.Dispatcher;
import nettletrail.core.FrontDoorExtensions;
import nettletrail.decision.Gateway;

/** A front door on loopback sockets, with discovery and backends driven by the test. */
final class FrontDoorFixture implements AutoCloseable {
  static final String SETTINGS =
      """
            {"Balancers":1,"Ceilings":{"ConnIdle":150000000000,"ConnectTimeout":%d,"MaxAttempts":4},
             "Dcs":["a","b"],"Discovery":"push","FamilyInfo":{"Metering":1000000000,"MostUnits":6},"Flavors":["m1","m2"],
             "Obligations":{"ColdFrom":0.2,"RampTime":17000000000,"OverloadFactor":3.0,"Fall":1500000000},
             "Report":{"Fields":["cpu_share","pending"],"How":"inline"},
             "Services":[{"Aim":1000000000,%s"Effect":"free","Name":"look"},
                         {"Aim":1000000000,"Effect":"single_shot","Name":"buy"}],
             "TiersOfService":[{"Name":"team","PerSecond":1000.0,"Burst":1000.0}],"Zone":0}""";

  final ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final List<Closeable> open = new ArrayList<>(List.of(discovery));
  private final Path folder;
  private String known = "";
  private long connectTimeoutMs = 250;
  private int sockets = 1024;
  private int deadlineMs;
  private int agentPort = -1;
  private int listenPort;
  private FrontDoor door;

  /** The front door's discovery watch, once started. */
  TestPeer watch;

  FrontDoorFixture(Path folder) throws IOException {
    this.folder = folder;
  }

  FrontDoorFixture connectTimeoutMs(long ms) {
    connectTimeoutMs = ms;
    return this;
  }

  /** The longest deadline of the request classes; 0 for settings without one. */
  FrontDoorFixture deadlineMs(int ms) {
    deadlineMs = ms;
    return this;
  }

  FrontDoorFixture sockets(int most) {
    sockets = most;
    return this;
  }

  /** Sets the discovery agent in the file; the environment variable keeps the first one. */
  FrontDoorFixture agent(int port) {
    agentPort = port;
    return this;
  }

  ServerSocket backend(int backlog) throws IOException {
    ServerSocket made = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
    open.add(made);
    return made;
  }

  ServerSocket backend() throws IOException {
    return backend(50);
  }

  static String entry(String name, int port, String status) {
    return "{\"name\":\""
        + name
        + "\",\"address\":\"127.0.0.1:"
        + port
        + "\",\"zone\":\"b\",\"type\":\"m2\","
        + "\"group\":3,\"status\":\""
        + status
        + "\",\"weight\":1.0,\"since_ms\":0}";
  }

  static String list(long index, boolean whole, String... entries) {
    return "{\"index\":"
        + index
        + ",\"snapshot\":"
        + whole
        + ",\"endpoints\":["
        + String.join(",", entries)
        + "]}";
  }

  FrontDoorConfig config() throws IOException, FrontDoorConfig.InvalidConfigException {
    return FrontDoorConfig.read(env());
  }

  Map<String, String> env() throws IOException {
    Path file = folder.resolve("config.json");
    Files.writeString(
        file,
        "{\"name\":\"n0\",\"discovery\":\"127.0.0.1:"
            + agentPort
            + "\",\"seed\":\"f0000000000000ff\",\"limits\":{\"sockets\":"
            + sockets
            + "},\"known\":"
            + list(7, true, known)
            + ",\"settings\":"
            + SETTINGS.formatted(
                connectTimeoutMs * 1_000_000,
                deadlineMs == 0 ? "" : "\"Deadline\":" + deadlineMs + "000000,")
            + "}");
    return Map.of(
        "EDGE_NAME",
        "n0",
        "EDGE_LISTEN",
        "127.0.0.1:" + listenPort,
        "EDGE_DISCOVERY",
        "127.0.0.1:" + discovery.getLocalPort(),
        "EDGE_CONFIG",
        file.toString());
  }

  /** Prepares a front door for this port without listening yet. */
  FrontDoor prepare(int port, String... entries) throws Exception {
    known = String.join(",", entries);
    listenPort = port;
    door = FrontDoor.prepare(config(), FrontDoor.GATEWAY_FACTORY, FrontDoorExtensions.NONE);
    return door;
  }

  /** Starts it with the project's decision module. */
  FrontDoor start(String... entries) throws Exception {
    return start(FrontDoor.GATEWAY_FACTORY, entries);
  }

  /** Starts it and answers its first discovery request with these entries. */
  FrontDoor start(Dispatcher.GatewayFactory module, String... entries) throws Exception {
    known = String.join(",", entries);
    door = FrontDoor.start(config(), module);
    watch = TestPeer.accept(discovery);
    open.add(watch);
    watch.read();
    watch.answer("200 OK", "", list(7, true, entries));
    watch.read();
    return door;
  }

  TestPeer client() throws IOException {
    TestPeer client = TestPeer.connect(door.address());
    open.add(client);
    return client;
  }

  /**
   * Waits until the front door has read all that this client has written, so that neither side's
   * kernel (as Linux reports) buffers any of it. Buffered bytes would arrive before the client's
   * close.
   */
  void awaitAllRead(TestPeer client) throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (hasUnreadBytes(client.port())) {
      assertTrue(System.nanoTime() < until, "the door has not read all in 20 s");
      Thread.sleep(1);
    }
  }

  private static boolean hasUnreadBytes(int port) throws IOException {
    String end = String.format(Locale.ROOT, ":%04X", port);
    for (Path table : List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"))) {
      for (String line : Files.readAllLines(table)) {
        String[] fields = line.strip().split("\\s+");
        boolean ours = fields.length > 4 && (fields[1].endsWith(end) || fields[2].endsWith(end));
        if (ours && !fields[4].equals("00000000:00000000")) {
          return true;
        }
      }
    }
    return false;
  }

  /** Registers a peer to be closed at the end. */
  TestPeer closeLater(TestPeer peer) {
    open.add(peer);
    return peer;
  }

  /** A request id in the format that clients send. */
  static String requestId(String end) {
    return "0".repeat(16 - end.length()) + end;
  }

  static String request(String lane, String requestId, int remainingMs, String body) {
    boolean buy = lane.equals("buy");
    return (buy ? "POST" : "GET")
        + " /api/x?y=1 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: "
        + requestId(requestId)
        + "\r\nX-Lane: "
        + lane
        + "\r\nX-Plan: team\r\nX-Customer: 00000000b4d65521\r\nX-Remaining-Ms: "
        + remainingMs
        + (buy ? "\r\nContent-Length: " + body.length() : "")
        + "\r\nX-Quota: units=2,spread=1,first=0\r\n\r\n"
        + body;
  }

  @Override
  public void close() throws IOException {
    if (door != null) {
      door.stop();
    }
    for (Closeable each : open) {
      each.close();
    }
  }

  /** A decision module without behaviour, so that a test sees only what the front door does. */
  abstract static class ScriptedGateway implements Gateway {
    Gateway.Actions actions;

    @Override
    public void onBackends(long now, boolean whole, List<Backend> entries) {}

    @Override
    public void onDiscoveryFailure(long now) {}

    @Override
    public void onAttemptEnd(long now, AttemptReport answer) {}

    @Override
    public void onRequestCancelled(long now, long requestId) {}

    @Override
    public void onTimer(long now, int token) {}

    Dispatcher.GatewayFactory factory() {
      return (settings, now, asked) -> {
        actions = asked;
        return this;
      };
    }
  }
}
