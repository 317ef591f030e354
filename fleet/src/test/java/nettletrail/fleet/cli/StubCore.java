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

/** A core of a test: gives prepared answers in turn, the last one for ever, and notes the calls. */
final class StubCore implements AutoCloseable {
  /** An answer; the location is sent if it isn't empty. */
  record Prepared(int status, String location, String body) {}

  /** A call as it came. */
  record Call(String method, String ifMatch, String body) {}

  final List<Call> calls = new CopyOnWriteArrayList<>();
  private final Deque<Prepared> answers = new ArrayDeque<>();
  private final HttpServer server;

  StubCore() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/nettletrail/config", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  StubCore answers(int status, String body) {
    return prepare(new Prepared(status, "", body));
  }

  StubCore redirectsTo(StubCore other) {
    String location = "http://" + other.address() + "/nettletrail/config";
    return prepare(new Prepared(307, location, ""));
  }

  private synchronized StubCore prepare(Prepared answer) {
    answers.add(answer);
    return this;
  }

  private synchronized Prepared nextAnswer() {
    return answers.size() > 1 ? answers.remove() : answers.element();
  }

  private void handle(HttpExchange exchange) throws IOException {
    String ifMatch = exchange.getRequestHeaders().getFirst("If-Match");
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    calls.add(new Call(exchange.getRequestMethod(), ifMatch == null ? "" : ifMatch, body));
    Prepared answer = nextAnswer();
    if (!answer.location().isEmpty()) {
      exchange.getResponseHeaders().set("Location", answer.location());
    }
    byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
