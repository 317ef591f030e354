package nettletrail.fleet.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A client of the core's control interface. Blocks; one thread at a time.
 *
 * <p>A request is sent to the addresses in turn, in rounds with a growing backoff between them,
 * until there is a definite response. Connection failures, redirects that lead nowhere and the
 * statuses 5xx, 408 and 429 are indefinite and are retried. Changes are idempotent: the core
 * acknowledges a change that it has accepted before.
 */
public final class CoreClient {
  private static final String CONFIGURATION_PATH = "/nettletrail/config";
  private static final String STATUS_PREFIX = "/nettletrail/status/";
  private static final int MIN_SERVER_ERROR = 500;
  private static final Set<Integer> RETRIED_STATUSES =
      Set.of(RedirectingHttpClient.TEMPORARY_REDIRECT, 408, 429);

  private final List<String> addresses;
  private final RetryPolicy policy;
  private final RedirectingHttpClient http;

  /**
   * Creates a client; sends nothing.
   *
   * @param addresses control addresses of cores, as {@code host:port}
   * @throws CommandException if there is no address, or a malformed one
   */
  public CoreClient(List<String> addresses, RetryPolicy policy) throws CommandException {
    if (addresses.isEmpty()) {
      throw new CommandException(
          ExitCode.USAGE, CommandStep.READ, "--core", "name at least one HOST:PORT");
    }
    for (String address : addresses) {
      CoreRequest.get(CONFIGURATION_PATH).uriAt(address);
    }
    this.addresses = List.copyOf(addresses);
    this.policy = policy;
    this.http = new RedirectingHttpClient(policy);
  }

  /**
   * Reads the configuration.
   *
   * @throws CommandException if there is no definite response
   */
  public CoreResponse readConfiguration() throws CommandException {
    return send(CoreRequest.get(CONFIGURATION_PATH));
  }

  /**
   * Reads a resource of a core's state.
   *
   * @param resource its name, as {@code doors} or {@code quota/TENANT}, encoded
   * @throws CommandException if there is no definite response
   */
  CoreResponse readStatus(String resource) throws CommandException {
    return send(CoreRequest.get(STATUS_PREFIX + resource));
  }

  /**
   * Replaces or patches the configuration.
   *
   * @param method PUT or PATCH
   * @param edition the edition that the change builds on
   * @throws CommandException if there is no definite response; the change may have been accepted
   */
  public CoreResponse changeConfiguration(String method, String edition, byte[] body)
      throws CommandException {
    return send(new CoreRequest(CONFIGURATION_PATH, method, edition, body));
  }

  private CoreResponse send(CoreRequest request) throws CommandException {
    List<String> failures = new ArrayList<>();
    for (int round = 0; round < policy.maxRounds(); round++) {
      backOff(round);
      for (String address : addresses) {
        Optional<CoreResponse> response = attempt(request, request.uriAt(address), failures);
        if (response.isPresent()) {
          return response.get();
        }
      }
    }
    String last =
        String.join("; ", failures.subList(failures.size() - addresses.size(), failures.size()));
    throw noResponse(
        "no clear answer in " + policy.maxRounds() + " rounds; in the last: " + last, null);
  }

  private void backOff(int round) throws CommandException {
    try {
      TimeUnit.MILLISECONDS.sleep(policy.backoffMs(round));
    } catch (InterruptedException interrupted) {
      throw interrupted(interrupted);
    }
  }

  /** Sends a request to one address; adds a failure if there is no definite response. */
  private Optional<CoreResponse> attempt(CoreRequest request, URI target, List<String> failures)
      throws CommandException {
    String address = target.getAuthority();
    try {
      HttpResponse<byte[]> response = http.send(request, target);
      if (isDefinite(response.statusCode())) {
        String core = response.uri().getAuthority();
        return Optional.of(new CoreResponse(core, response.statusCode(), response.body()));
      }
      CoreResponse indefinite = new CoreResponse(address, response.statusCode(), response.body());
      failures.add(address + ": " + indefinite.reason());
    } catch (IOException failure) {
      failures.add(address + ": " + failure);
    } catch (InterruptedException interrupted) {
      throw interrupted(interrupted);
    }
    return Optional.empty();
  }

  private static boolean isDefinite(int status) {
    return status < MIN_SERVER_ERROR && !RETRIED_STATUSES.contains(status);
  }

  private CommandException interrupted(InterruptedException cause) {
    Thread.currentThread().interrupt();
    return noResponse("interrupted", cause);
  }

  private CommandException noResponse(String reason, Throwable cause) {
    return new CommandException(
        ExitCode.NO_CLEAR_ANSWER, CommandStep.CALL, String.join(",", addresses), reason, cause);
  }
}
