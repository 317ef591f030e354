import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A configuration with a larger header_bytes is in force, and clients on kept connections are refused what it allows. */
final class HeaderLimitCase {
  private static final int CLIENTS = 12;

  private HeaderLimitCase() {}

  public static void main(String[] arguments) {
    Stage.main(arguments[0], HeaderLimitCase::play);
  }

  /** A client that keeps its connection, and opens a new one only if the door has closed it. */
  private static final class KeptClient {
    final Stage stage;
    final Stage.Machine door;
    Socket socket;
    int denied;

    KeptClient(Stage stage, Stage.Machine door) {
      this.stage = stage;
      this.door = door;
    }

    int request(int fieldBytes) throws IOException {
      if (socket == null) {
        socket = new Socket();
        socket.connect(new InetSocketAddress(door.ip, 8662), 1000);
        socket.setSoTimeout(4_000);
      }
      String attempt = DoorClient.nextAttempt();
      String head =
          "POST /desk/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Time-Left: 3000\r\nX-Key: haulier-key\r\n"
              + "X-Trace: " + "t".repeat(fieldBytes) + "\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String line = BackendServer.readLine(in);
      int status = line == null ? 0 : Integer.parseInt(line.split(" ")[1]);
      Map<String, String> headers = line == null ? Map.of() : BackendServer.readHeaders(in);
      in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
      stage.note("client: header of " + head.length() + " bytes as " + attempt + ": " + status);
      if (status == 0 || "close".equals(headers.get("connection"))) {
        socket.close();
        socket = null;
      }
      return status;
    }
  }

  private static String configuration(long edition, int headerBytes) {
    return ReplacementCase.configuration(edition, 400).replace("\"header_bytes\":16384", "\"header_bytes\":" + headerBytes);
  }

  private static int play(Stage stage) throws Exception {
    for (int i = 1; i <= 3; i++) {
      stage.machine("core-" + i, "core");
    }
    Stage.Machine door = stage.machine("door-1", "door");
    for (Stage.Machine core : stage.cores) {
      stage.start(core, true);
    }
    stage.start(door, true);
    BackendServer backend = new BackendServer(stage, "i-1", "desk", 5);
    int before = stage.trouble ? 8_192 : 16_384;
    Stage.require(stage.change(stage.cores, "0", configuration(5, before), 15_000).status() == 200, "no first configuration");
    backend.startCalling();
    Stage.require(stage.awaitReady(door, 15_000), "the door is not ready");
    Thread.sleep(3_000);
    List<KeptClient> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      KeptClient client = new KeptClient(stage, door);
      Stage.require(client.request(200) == 200, "not served before the change");
      clients.add(client);
    }
    Stage.require(stage.change(stage.cores, "5", configuration(7, 16_384), 10_000).status() == 200, "edition 7 was not acknowledged");
    stage.note("operator: edition 7 with header_bytes 16384 is acknowledged");
    Thread.sleep(5_000);
    int denied = 0;
    int sent = 0;
    for (KeptClient client : clients) {
      sent++;
      int status = client.request(10_000);
      denied += status >= 400 && status < 500 && status != 408 && status != 421 && status != 429 ? 1 : 0;
    }
    stage.note("ended with a 4xx of the door's own, 5 s after the acknowledgement: " + denied + " of " + sent);
    return denied > 5 + (sent + CLIENTS) / 500 ? Stage.BROKEN : Stage.HELD;
  }
}
