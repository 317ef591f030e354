package nettletrail.fleet;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import nettletrail.fleet.settings.FleetSettings;
import nettletrail.fleet.settings.SettingsReader;

/**
 * Starts a core and a door on loopback, puts a configuration, registers a backend and sends some
 * requests, so that an archive of classes made at its exit holds what both roles load. Used by the
 * build only.
 */
final class WarmUp {
  private static final int ATTEMPTS = 100;
  private static final long POLL_MS = 50;
  private static final int REQUESTS = 20;
  private static final int READ_TIMEOUT_MS = 2_000;
  private static final int MAX_PORT = 60_000;
  private static final int READY_PORT_OFFSET = 3;
  private static final int LINK_PORT_OFFSET = 5;
  private static final int METRICS_PORT_OFFSET = 8;
  private static final String CORE_HOST = "127.0.0.1";
  private static final String DOOR_HOST = "127.0.0.2";
  private static final String OPERATOR_PATH = "/nettletrail/config";

  private WarmUp() {}

  /** Runs once; fails if the fleet of one does not serve. */
  static void run() throws Exception {
    Path folder = Files.createTempDirectory("fleet-warm-up");
    int port = freePort();
    FleetSettings core = SettingsReader.parse(coreSettings(port, folder), "warm-up");
    FleetSettings door = SettingsReader.parse(doorSettings(port), "warm-up");
    try (CoreProcess coreProcess = new CoreProcess(core);
        DoorProcess doorProcess = new DoorProcess(door);
        WarmUpBackend backend = new WarmUpBackend()) {
      coreProcess.start();
      doorProcess.start();
      doorProcess.serveMetrics(port + METRICS_PORT_OFFSET);
      String control = "http://" + CORE_HOST + ":" + (port + 1);
      String client = "http://" + DOOR_HOST + ":" + (port + 2);
      until(
          () ->
              call("PUT", control + OPERATOR_PATH, "If-Match", "0", configuration())
                  == HttpURLConnection.HTTP_OK);
      until(
          () ->
              call("PUT", control + "/nettletrail/backends/b1", "", "", backend.record())
                  == HttpURLConnection.HTTP_OK);
      until(
          () ->
              call("POST", client + "/plain/1", "X-Key", "k1", "body")
                  == HttpURLConnection.HTTP_OK);
      for (int i = 0; i < REQUESTS; i++) {
        call("POST", client + "/plain/1", "X-Key", "k1", "body");
        call("POST", client + "/stream/1", "X-Key", "k1", "body");
        call("POST", client + "/none/1", "X-Key", "k1", "body");
        call("POST", client + "/plain/1", "X-Key", "unknown", "body");
        call("GET", control + OPERATOR_PATH, "", "", "");
        call("GET", "http://" + DOOR_HOST + ":" + (port + METRICS_PORT_OFFSET) + "/metrics");
      }
    }
    System.exit(0);
  }

  private interface Check {
    boolean holds() throws IOException;
  }

  private static void until(Check check) throws InterruptedException, IOException {
    for (int i = 0; i < ATTEMPTS; i++) {
      if (check.holds()) {
        return;
      }
      Thread.sleep(POLL_MS);
    }
    throw new IOException("the fleet of one does not serve");
  }

  private static int call(String method, String url) throws IOException {
    return call(method, url, "", "", "");
  }

  private static int call(String method, String url, String header, String value, String body)
      throws IOException {
    HttpURLConnection connection = (HttpURLConnection) URI.create(url).toURL().openConnection();
    connection.setRequestMethod(method);
    if (!header.isEmpty()) {
      connection.setRequestProperty(header, value);
    }
    connection.setRequestProperty("X-Attempt-Id", Long.toHexString(System.nanoTime()));
    connection.setRequestProperty("X-Time-Left", "2000");
    connection.setRequestProperty("X-Token-Count", "10,10");
    connection.setRequestProperty("X-Prompt-Prefix", "a1:5,b2:5");
    connection.setRequestProperty("Content-Type", "application/json");
    connection.setReadTimeout(READ_TIMEOUT_MS);
    try {
      if (!body.isEmpty()) {
        connection.setDoOutput(true);
        connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
      }
      int status = connection.getResponseCode();
      var stream =
          status < HttpURLConnection.HTTP_BAD_REQUEST
              ? connection.getInputStream()
              : connection.getErrorStream();
      if (stream != null) {
        stream.readAllBytes();
      }
      return status;
    } catch (IOException notYet) {
      return 0;
    }
  }

  /** The first of some ports in a row that are free now. */
  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(CORE_HOST, 0));
      return Math.min(socket.getLocalPort(), MAX_PORT);
    }
  }

  private static String common(String host, int port, int internalPort) {
    return """
        machine_class=any
        ip=%1$s
        zone=z1
        region=r1
        zones.z1=r1
        spare_ports=%3$d,%4$d
        seed_nodes=%5$s:%2$d
        first_run=true
        limits.cpu_share=1
        limits.core_count=1
        limits.memory_mb=400
        limits.file_limit=4000
        limits.link_mbps=1000
        discovery=registry
        entry=fixed_address
        beat_ms=1200
        """
        .formatted(host, port + 1, internalPort, internalPort + 1, CORE_HOST);
  }

  private static String coreSettings(int port, Path folder) {
    return common(CORE_HOST, port, port + LINK_PORT_OFFSET)
        + """
        node=core-1
        role=core
        serves=dispatch_office
        counts_for_quorum=true
        limits.disk_mb=128
        ports.control_gate=%s:%d
        data_dir=%s
        """
            .formatted(CORE_HOST, port + 1, folder);
  }

  private static String doorSettings(int port) {
    return common(DOOR_HOST, port, port + LINK_PORT_OFFSET)
        + """
        node=door-1
        role=door
        serves=counter
        counts_for_quorum=false
        limits.disk_mb=0
        ports.public_gate=%1$s:%2$d
        ports.ready_gate=%1$s:%3$d
        """
            .formatted(DOOR_HOST, port + 2, port + READY_PORT_OFFSET);
  }

  private static String configuration() {
    return """
        {"edition":1,"routes":[
        {"name":"plain","station":"%1$s","lane_prefix":"/plain/","kind":"single_send",
         "timeout_ms":2000,"target_ms":500,"priority":0,"carrier":"s",
         "attempts":1,"unstamped":false,"sticky":false,
         "resume":false},
        {"name":"stream","station":"%1$s","lane_prefix":"/stream/","kind":"serial",
         "timeout_ms":2000,"target_ms":500,"priority":0,"carrier":"s",
         "attempts":2,"unstamped":false,"sticky":true,
         "resume":true,"gap_aim_ms":300}],
        "carriers":[{"name":"s","health_path":"/health","conn_cap":50,"protocol":"h1","tls":false,
          "engine":{"berths":8,"kv_token_room":1000,"stride":5,"models":[{"name":"m"}]}}],
        "limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},
        "senders":[{"name":"t","passes":["k1"],"priority":1,"unit":"token_count","plain_tokens":10,
          "rate_per_s":100000,"burst":100000}]}"""
        .formatted(DOOR_HOST);
  }
}
