package nettletrail.emulator.capacity.sockets;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Calls of operators and backends to core processes, each waited for. Safe for several threads. */
final class HttpCaller {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();

  /** The status, or 0 without an answer. {@code ifMatch}: empty for none. */
  int call(String method, String url, String ifMatch, byte[] body) throws InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(TIMEOUT)
            .header("Content-Type", "application/json")
            .method(method, HttpRequest.BodyPublishers.ofByteArray(body));
    if (!ifMatch.isEmpty()) {
      request.header("If-Match", ifMatch);
    }
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException noAnswer) {
      return 0;
    }
  }
}
