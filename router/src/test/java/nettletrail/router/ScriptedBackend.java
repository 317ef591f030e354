package nettletrail.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend on loopback whose responses are scripted by the test, byte by byte. */
final class ScriptedBackend implements AutoCloseable {
  private static final int TIMEOUT_S = 10;

  /** A received request; the test responds to it. */
  static final class Received {
    final String startLine;
    final Map<String, String> headers;
    final String body;
    final int connection;
    private final Socket socket;

    Received(
        String startLine, Map<String, String> headers, String body, int connection, Socket socket) {
      this.startLine = startLine;
      this.headers = headers;
      this.body = body;
      this.connection = connection;
      this.socket = socket;
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String id() {
      return header("X-Attempt-Id");
    }

    void write(String bytes) throws IOException {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }

    /** Writes a complete response with seal and id. */
    void respond(String status, String body, String... moreHeaders) throws IOException {
      write(
          "HTTP/1.1 "
              + status
              + "\r\nX-Backend-Seal: seal-"
              + id()
              + "\r\nX-Attempt-Id: "
              + id()
              + "\r\n"
              + lines(moreHeaders)
              + "Content-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
    }

    void notRun(String status) throws IOException {
      write(
          "HTTP/1.1 "
              + status
              + "\r\nX-Not-Run: 1\r\nX-Attempt-Id: "
              + id()
              + "\r\nContent-Length: 0\r\n\r\n");
    }

    void beginStream() throws IOException {
      write(
          "HTTP/1.1 200 OK\r\nX-Backend-Seal: seal-"
              + id()
              + "-"
              + header("X-Deliver-To")
              + "\r\nX-Attempt-Id: "
              + id()
              + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    void chunk(String data) throws IOException {
      write(Integer.toHexString(data.length()) + "\r\n" + data + "\r\n");
    }

    void event(int id, String data) throws IOException {
      chunk(eventText(id, data));
    }

    void endStream() throws IOException {
      write("0\r\n\r\n");
    }

    /** Closes the sending side (FIN). */
    void finish() throws IOException {
      socket.shutdownOutput();
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    /** Waits for the router to close the connection. */
    boolean closedByPeer() throws IOException {
      socket.setSoTimeout(TIMEOUT_S * 1000);
      try {
        return socket.getInputStream().read() < 0;
      } catch (java.net.SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        return true; // reset
      }
    }

    private static String lines(String... headers) {
      StringBuilder lines = new StringBuilder();
      for (String header : headers) {
        lines.append(header).append("\r\n");
      }
      return lines.toString();
    }
  }

  private final ServerSocket server;
  private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
  private final CopyOnWriteArrayList<Socket> sockets = new CopyOnWriteArrayList<>();
  private final AtomicInteger accepted = new AtomicInteger();
  private final String id;

  ScriptedBackend(String id) throws IOException {
    this.id = id;
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  static String eventText(int id, String data) {
    return "id: " + id + "\ndata: " + data + "\n\n";
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        sockets.add(socket);
        int number = accepted.incrementAndGet();
        start(() -> read(socket, number));
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void read(Socket socket, int number) {
    try {
      InputStream in = socket.getInputStream();
      while (true) {
        Received next = readRequest(in, number, socket);
        if (next == null) {
          return;
        }
        received.add(next);
      }
    } catch (IOException e) {
      // the test or the router closed it
    }
  }

  private static Received readRequest(InputStream in, int number, Socket socket)
      throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    return new Received(
        start, headers, new String(body, StandardCharsets.ISO_8859_1), number, socket);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** The next request; fails if none arrives in time. */
  Received nextRequest() throws InterruptedException {
    Received next = received.poll(TIMEOUT_S, TimeUnit.SECONDS);
    if (next == null) {
      throw new AssertionError("no request came to " + id);
    }
    return next;
  }

  /** Requests that arrived and were not returned by {@link #nextRequest}. */
  int pendingRequests() {
    return received.size();
  }

  int connections() {
    return accepted.get();
  }

  BackendEndpoint endpoint() {
    return endpoint("zone-a");
  }

  BackendEndpoint endpoint(String zone) {
    return new BackendEndpoint(
        id,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
        zone,
        4,
        0);
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
