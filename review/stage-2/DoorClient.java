import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A client that opens a connection for each try, and waits for its answer until the time that it states has passed. */
final class DoorClient {
  /** What became of a try: status 0 if the connection ended, or nothing came, before an answer. */
  record Answer(String attempt, int status, boolean sealed, boolean complete, double sentAt) {}

  private static final AtomicLong ATTEMPTS = new AtomicLong(0x9c410000L);

  private DoorClient() {}

  static String nextAttempt() {
    return Long.toHexString(ATTEMPTS.incrementAndGet());
  }

  static Answer send(Stage stage, Stage.Machine door, String path, String key, int timeLeftMs) {
    return send(stage, door, path, key, timeLeftMs, "");
  }

  /** Sends one request without a body; moreHeaders are complete lines. */
  static Answer send(Stage stage, Stage.Machine door, String path, String key, int timeLeftMs, String moreHeaders) {
    String attempt = nextAttempt();
    double sentAt = stage.seconds();
    int status = 0;
    boolean sealed = false;
    boolean complete = false;
    String why = "";
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(door.ip, 8662), 1000);
      socket.setSoTimeout(timeLeftMs + 1000);
      String head =
          "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Time-Left: " + timeLeftMs
              + "\r\nX-Key: " + key + "\r\n" + moreHeaders + "Content-Length: 0\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String line = BackendServer.readLine(in);
      if (line != null) {
        Map<String, String> headers = BackendServer.readHeaders(in);
        status = Integer.parseInt(line.split(" ")[1]);
        sealed = headers.containsKey("x-backend-seal");
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        complete = in.readNBytes(length).length == length;
      }
    } catch (IOException failure) {
      why = " (" + failure.getMessage() + ")";
    }
    stage.note("client: " + path + " with key " + key + " as " + attempt + " sent at " + String.format("%.3f", sentAt) + ": " + (status == 0 ? "no answer" + why : status + (sealed ? " of a backend" : " of the door")));
    return new Answer(attempt, status, sealed, complete, sentAt);
  }
}
