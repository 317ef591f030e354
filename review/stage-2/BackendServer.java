import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A sound backend: runs each request for some time, answers with its seal and the attempt's id, answers 421 to what is for another
 * one, and calls the core each 1.2 s until it ends. After its end its address refuses connections.
 */
final class BackendServer {
  /** A request that began to run, with the seconds of the case at which it did. */
  record Run(String attempt, double at) {}

  final String id;
  final String service;
  final List<Run> runs = new java.util.concurrent.CopyOnWriteArrayList<>();
  private final Stage stage;
  private final String address;
  private final long workMs;
  private final ServerSocket listener;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean calling;
  private volatile boolean ended;
  private long callSequence;
  private int core;

  BackendServer(Stage stage, String id, String service, long workMs) throws IOException {
    this.stage = stage;
    this.id = id;
    this.service = service;
    this.workMs = workMs;
    String ip = stage.nextIp();
    address = ip + ":8080";
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(ip, 8080), 200);
    daemon(this::accept);
  }

  static void daemon(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    thread.start();
  }

  // ---- Calls to the core ----

  /** Begins to call each 1.2 s. */
  void startCalling() {
    calling = true;
    daemon(
        () -> {
          while (calling) {
            send("PUT", registration("open_for_mail"));
            sleep(1200);
          }
        });
  }

  /** A call with the next number, which is not sent. */
  synchronized String registration(String state) {
    callSequence++;
    return """
        {"carrier":"%s","address":"%s","zone":"hall-1","edition":"v1","berths":16,"state":"%s","cold_left_ms":0,"call_seq":%d}"""
        .formatted(service, address, state, callSequence);
  }

  void stopCalling() {
    calling = false;
  }

  /** Sends a call to the machines in turn until one acknowledges it within a second; false if none did. */
  boolean send(String method, String body) {
    int count = stage.cores.size();
    for (int attempt = 0; attempt < 2 * count; attempt++) {
      Stage.Machine machine = stage.cores.get(core % count);
      if (sendTo(machine, method, body)) {
        return true;
      }
      core++;
    }
    return false;
  }

  /** Sends a call to one machine; whether it was acknowledged within a second. */
  boolean sendTo(Stage.Machine machine, String method, String body) {
    int status = stage.call(method, machine.controlAddress(), "/nettletrail/backends/" + id, null, body).status();
    return status >= 200 && status < 300;
  }

  // ---- Requests ----

  /** The process ends: what it works on is cut off. */
  void end() throws IOException {
    ended = true;
    calling = false;
    listener.close();
    for (Socket socket : sockets) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  private void accept() {
    while (!ended) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        daemon(() -> serve(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (String line = readLine(in); line != null; line = readLine(in)) {
        Map<String, String> headers = readHeaders(in);
        in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        answer(headers, out);
      }
    } catch (IOException lost) {
      // the connection is closed
    } finally {
      sockets.remove(socket);
    }
  }

  private void answer(Map<String, String> headers, OutputStream out) throws IOException {
    String attempt = headers.getOrDefault("x-attempt-id", "");
    if (!headers.getOrDefault("x-deliver-to", id).equals(id)) {
      write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Run: 1\r\nX-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    Run run = new Run(attempt, stage.seconds());
    runs.add(run);
    stage.note("backend " + id + " runs " + attempt + " for " + headers.get("x-sender"));
    sleep(workMs);
    String body = "done by " + id;
    write(
        out,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Backend-Seal: " + id + "." + attempt + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      line.write(next);
    }
    return null;
  }

  static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return headers;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }
}
