package nettletrail.fleet.cli.demonstration;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;

/**
 * An HTTP server in place of a model backend. It responds with a text or a stream of events after a
 * processing time, rejects requests for another backend and those that it has no slot for, and
 * records the attempts that it runs. Handles requests on its own threads.
 */
final class EmulatedBackend implements AutoCloseable {
  private static final long PREFILL_MS = 25;
  private static final long EVENT_INTERVAL_MS = 20;
  private static final int OK = 200;
  private static final int MISDIRECTED = 421;
  private static final int UNAVAILABLE = 503;
  private static final int BAD_REQUEST = 400;

  private final String id;
  private final String service;
  private final String zone;
  private final BackendRunLog runLog;
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool(EmulatedBackend::daemon);
  private final Semaphore slots = new Semaphore(ConfigurationTemplate.BACKEND_SLOTS);
  private volatile boolean crashed;

  /** Starts to listen; {@link BackendRegistration} registers the backend. */
  EmulatedBackend(String id, String service, String zone, String ip, BackendRunLog runLog)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.runLog = runLog;
    this.server = HttpServer.create(new InetSocketAddress(ip, LoopbackNetwork.BACKEND_PORT), 0);
    server.createContext("/", this::handle);
    server.setExecutor(threads);
    server.start();
  }

  private static Thread daemon(Runnable work) {
    Thread thread = new Thread(work, "backend");
    thread.setDaemon(true);
    return thread;
  }

  String id() {
    return id;
  }

  String service() {
    return service;
  }

  String zone() {
    return zone;
  }

  String address() {
    InetSocketAddress address = server.getAddress();
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Stops at once; responses are cut off, even in the middle of an event. */
  void crash() {
    crashed = true;
    close();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      RequestKind kind = RequestKind.ofPath(exchange.getRequestURI().getPath());
      String attempt = exchange.getRequestHeaders().getFirst("X-Attempt-Id");
      String recipient = exchange.getRequestHeaders().getFirst("X-Deliver-To");
      if (kind == null || attempt == null) {
        reject(exchange, BAD_REQUEST);
      } else if (recipient != null && !recipient.equals(id)) {
        reject(exchange, MISDIRECTED);
      } else if (!slots.tryAcquire()) {
        reject(exchange, UNAVAILABLE);
      } else {
        runInSlot(exchange, kind, attempt);
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private static void reject(HttpExchange exchange, int status) throws IOException {
    exchange.getResponseHeaders().set("X-Not-Run", "1");
    exchange.sendResponseHeaders(status, -1);
  }

  private void runInSlot(HttpExchange exchange, RequestKind kind, String attempt)
      throws IOException, InterruptedException {
    try {
      runLog.record(new BackendRunLog.Run(id, attempt, kind, System.nanoTime()));
      Thread.sleep(PREFILL_MS);
      Headers headers = exchange.getResponseHeaders();
      headers.set("X-Attempt-Id", attempt);
      headers.set("X-Backend-Seal", id + "." + attempt);
      headers.set("Content-Type", kind.isStream() ? "text/event-stream" : "text/plain");
      if (kind.isStream()) {
        stream(exchange, kind);
      } else {
        byte[] body = ("done by " + id).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(OK, body.length);
        exchange.getResponseBody().write(body);
      }
    } finally {
      slots.release();
    }
  }

  private void stream(HttpExchange exchange, RequestKind kind)
      throws IOException, InterruptedException {
    String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
    int first = last == null ? 1 : Integer.parseInt(last) + 1;
    exchange.sendResponseHeaders(OK, 0);
    OutputStream out = exchange.getResponseBody();
    for (int event = first; event <= kind.events(); event++) {
      if (crashed) {
        throw new IOException("the backend has crashed");
      }
      out.write(
          ("id: " + event + "\ndata: part " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
      out.flush();
      Thread.sleep(EVENT_INTERVAL_MS);
    }
  }
}
