package nettletrail.fleet.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A core for tests: sends prepared responses in turn, repeating the last, and records requests. */
final class StubCore implements AutoCloseable {
  /** A response; the location is sent if it isn't empty. */
  record PreparedResponse(int status, String location, String body) {}

  /** A request as received. */
  record Call(String method, String ifMatch, String body) {}

  final List<Call> calls = new CopyOnWriteArrayList<>();
  private final Deque<PreparedResponse> responses = new ArrayDeque<>();
  private final HttpServer server;

  StubCore() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/nettletrail/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  StubCore answers(int status, String body) {
    return prepare(new PreparedResponse(status, "", body));
  }

  StubCore redirectsTo(StubCore other) {
    String location = "http://" + other.address() + "/nettletrail/config";
    return prepare(new PreparedResponse(307, location, ""));
  }

  private synchronized StubCore prepare(PreparedResponse response) {
    responses.add(response);
    return this;
  }

  private synchronized PreparedResponse nextResponse() {
    return responses.size() > 1 ? responses.remove() : responses.element();
  }

  private void handle(HttpExchange exchange) throws IOException {
    String ifMatch = exchange.getRequestHeaders().getFirst("If-Match");
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    calls.add(new Call(exchange.getRequestMethod(), ifMatch == null ? "" : ifMatch, body));
    PreparedResponse response = nextResponse();
    if (!response.location().isEmpty()) {
      exchange.getResponseHeaders().set("Location", response.location());
    }
    byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(response.status(), bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
