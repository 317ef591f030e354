package nettletrail.fleet.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.util.Optional;

/**
 * Sends requests and follows redirects with status 307, repeating method and body; the JDK's client
 * follows them for GET and HEAD only.
 */
final class RedirectingHttpClient {
  static final int TEMPORARY_REDIRECT = 307;

  private static final int MAX_REDIRECTS = 2;

  private final HttpClient http;
  private final RetryPolicy policy;

  /** Uses the time-outs of a policy; retries are left to the caller. */
  RedirectingHttpClient(RetryPolicy policy) {
    this.policy = policy;
    this.http = HttpClient.newBuilder().connectTimeout(policy.connectTimeout()).build();
  }

  /**
   * Sends a request once, and again for each redirect.
   *
   * @return the last response; a redirect if there were too many of them
   */
  HttpResponse<byte[]> send(CoreRequest request, URI first)
      throws IOException, InterruptedException {
    URI target = first;
    for (int redirects = 0; true; redirects++) {
      HttpResponse<byte[]> response =
          http.send(
              request.toHttpRequest(target, policy.responseTimeout()),
              HttpResponse.BodyHandlers.ofByteArray());
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
}
