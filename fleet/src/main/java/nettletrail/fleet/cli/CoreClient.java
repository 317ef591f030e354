package nettletrail.fleet.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Calls the core's control interface.
 *
 * <p>The addresses are tried in turn, some rounds long with growing pauses between the rounds,
 * until one gives a clear answer. Failures, 5xx, 408 and 429 are no clear answers. Sending a change
 * again is harmless: the core acknowledges a change that it has taken already.
 */
public final class CoreClient {
  private static final String CONFIGURATION_PATH = "/nettletrail/config";
  private static final String STATUS_PREFIX = "/nettletrail/status/";
  private static final int MAX_REDIRECTS = 2;
  private static final int TEMPORARY_REDIRECT = 307;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final Set<Integer> RETRIED_STATUSES = Set.of(408, 429);

  /**
   * How long the client waits.
   *
   * @param connect for a connection
   * @param answer for an answer
   * @param betweenRounds before the second round; doubled for each further one
   * @param rounds how often all addresses are tried
   */
  public record Pauses(Duration connect, Duration answer, Duration betweenRounds, int rounds) {
    private static final Duration CONNECT = Duration.ofSeconds(2);
    private static final Duration ANSWER = Duration.ofSeconds(5);
    private static final Duration BETWEEN_ROUNDS = Duration.ofMillis(200);
    private static final int ROUNDS = 3;

    /** For an operator who waits. */
    public static Pauses standard() {
      return new Pauses(CONNECT, ANSWER, BETWEEN_ROUNDS, ROUNDS);
    }

    /** For a question that may go unanswered: no address is tried twice. */
    static Pauses once() {
      return new Pauses(CONNECT, ANSWER, Duration.ZERO, 1);
    }
  }

  private final List<String> addresses;
  private final Pauses pauses;
  private final HttpClient http;

  /**
   * A client that has called nobody yet.
   *
   * @throws ClientException if there is no address, or one that can't be read
   */
  public CoreClient(List<String> addresses, Pauses pauses) throws ClientException {
    if (addresses.isEmpty()) {
      throw new ClientException(
          ExitCode.USAGE, ClientStep.READ, "--core", "name at least one HOST:PORT");
    }
    for (String address : addresses) {
      uri(address, CONFIGURATION_PATH);
    }
    this.addresses = List.copyOf(addresses);
    this.pauses = pauses;
    this.http = HttpClient.newBuilder().connectTimeout(pauses.connect()).build();
  }

  private static URI uri(String address, String path) throws ClientException {
    URI uri = null;
    try {
      uri = URI.create("http://" + address + path);
    } catch (IllegalArgumentException failure) {
      // Reported below, as an address without a port.
    }
    if (uri == null || uri.getHost() == null || uri.getPort() < 0) {
      throw new ClientException(ExitCode.USAGE, ClientStep.READ, address, "it isn't HOST:PORT");
    }
    return uri;
  }

  /** Reads the configuration. */
  public CoreAnswer get() throws ClientException {
    return call(CONFIGURATION_PATH, "GET", "", new byte[0]);
  }

  /**
   * Reads a part of a core's state.
   *
   * @param resource its name, as {@code doors} or {@code quota/TENANT}
   */
  CoreAnswer status(String resource) throws ClientException {
    return call(STATUS_PREFIX + resource, "GET", "", new byte[0]);
  }

  /**
   * Writes the configuration or a patch.
   *
   * @param method PUT or PATCH
   * @param edition the edition that the change builds on
   */
  public CoreAnswer change(String method, String edition, byte[] body) throws ClientException {
    return call(CONFIGURATION_PATH, method, edition, body);
  }

  private CoreAnswer call(String path, String method, String ifMatch, byte[] body)
      throws ClientException {
    List<String> failures = new ArrayList<>();
    for (int round = 0; round < pauses.rounds(); round++) {
      pauseBefore(round);
      for (String address : addresses) {
        Optional<CoreAnswer> answer = attempt(uri(address, path), method, ifMatch, body, failures);
        if (answer.isPresent()) {
          return answer.get();
        }
      }
    }
    String last =
        String.join("; ", failures.subList(failures.size() - addresses.size(), failures.size()));
    throw new ClientException(
        ExitCode.NO_CLEAR_ANSWER,
        ClientStep.CALL,
        String.join(",", addresses),
        "no clear answer in " + pauses.rounds() + " rounds; in the last: " + last);
  }

  private void pauseBefore(int round) throws ClientException {
    if (round == 0) {
      return;
    }
    try {
      TimeUnit.MILLISECONDS.sleep(pauses.betweenRounds().toMillis() << (round - 1));
    } catch (InterruptedException interrupted) {
      throw interrupted();
    }
  }

  /** One call of one address; notes the failure if there is no clear answer. */
  private Optional<CoreAnswer> attempt(
      URI target, String method, String ifMatch, byte[] body, List<String> failures)
      throws ClientException {
    String address = target.getAuthority();
    try {
      HttpResponse<byte[]> response = send(target, method, ifMatch, body);
      if (isClear(response.statusCode())) {
        String core = response.uri().getAuthority();
        return Optional.of(new CoreAnswer(core, response.statusCode(), response.body()));
      }
      CoreAnswer unclear = new CoreAnswer(address, response.statusCode(), response.body());
      failures.add(address + ": " + unclear.reason());
    } catch (IOException failure) {
      failures.add(address + ": " + failure);
    } catch (InterruptedException interrupted) {
      throw interrupted();
    }
    return Optional.empty();
  }

  private HttpResponse<byte[]> send(URI first, String method, String ifMatch, byte[] body)
      throws IOException, InterruptedException {
    URI target = first;
    for (int redirects = 0; true; redirects++) {
      HttpResponse<byte[]> response =
          http.send(
              request(target, method, ifMatch, body), HttpResponse.BodyHandlers.ofByteArray());
      Optional<String> location = response.headers().firstValue("Location");
      boolean redirected = response.statusCode() == TEMPORARY_REDIRECT && location.isPresent();
      if (!redirected || redirects == MAX_REDIRECTS) {
        return response;
      }
      target = redirectTarget(target, location.get());
    }
  }

  private static URI redirectTarget(URI from, String location) throws IOException {
    try {
      return from.resolve(location);
    } catch (IllegalArgumentException failure) {
      throw new IOException("redirected to what isn't an address: " + location, failure);
    }
  }

  private HttpRequest request(URI target, String method, String ifMatch, byte[] body) {
    HttpRequest.Builder request = HttpRequest.newBuilder(target).timeout(pauses.answer());
    if (body.length > 0) {
      request.header("Content-Type", "application/json");
    }
    if (!ifMatch.isEmpty()) {
      request.header("If-Match", ifMatch);
    }
    HttpRequest.BodyPublisher publisher =
        body.length == 0
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(body);
    return request.method(method, publisher).build();
  }

  private static boolean isClear(int status) {
    return status < FIRST_SERVER_ERROR
        && status != TEMPORARY_REDIRECT
        && !RETRIED_STATUSES.contains(status);
  }

  private ClientException interrupted() {
    Thread.currentThread().interrupt();
    return new ClientException(
        ExitCode.NO_CLEAR_ANSWER, ClientStep.CALL, String.join(",", addresses), "interrupted");
  }
}
