package nettletrail.fleet.cli.demonstration;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Registers a backend with the core, renews the registration by heartbeats, and removes it. A
 * request that fails is sent to the next core. Thread-safe; heartbeats are sent on an own thread.
 */
final class BackendRegistration implements AutoCloseable {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);
  private static final int OK = 200;
  private static final int MAX_ATTEMPTS_PER_CORE = 2;

  private final EmulatedBackend backend;
  private final Supplier<List<String>> cores;
  private final HttpClient http = HttpClient.newBuilder().connectTimeout(REQUEST_TIMEOUT).build();
  private final ScheduledExecutorService heartbeats =
      Executors.newSingleThreadScheduledExecutor(BackendRegistration::daemon);
  private String state = "open_for_mail";
  private int coreIndex;
  private long callSequence;

  /**
   * Sends nothing yet.
   *
   * @param cores supplies the current control addresses of the core machines
   * @param firstCore index of the core that is called first, modulo their number
   */
  BackendRegistration(EmulatedBackend backend, Supplier<List<String>> cores, int firstCore) {
    this.backend = backend;
    this.cores = cores;
    this.coreIndex = firstCore;
  }

  private static Thread daemon(Runnable work) {
    Thread thread = new Thread(work, "heartbeats");
    thread.setDaemon(true);
    return thread;
  }

  /** Registers the backend and starts to send heartbeats. */
  void start() throws IOException, InterruptedException {
    heartbeat();
    heartbeats.scheduleWithFixedDelay(
        this::heartbeatIgnoringFailure,
        SettingsTemplate.HEARTBEAT_MS,
        SettingsTemplate.HEARTBEAT_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Announces that the backend is draining; returns when that is acknowledged. */
  void drain() throws IOException, InterruptedException {
    synchronized (this) {
      state = "closing";
    }
    heartbeat();
  }

  /** Deregisters the backend and stops the heartbeats. */
  synchronized void remove() throws IOException, InterruptedException {
    close();
    send("DELETE", HttpRequest.BodyPublishers.noBody());
  }

  /** Stops the heartbeats without deregistering, as a crash does. */
  @Override
  public void close() {
    heartbeats.shutdownNow();
  }

  private void heartbeatIgnoringFailure() {
    try {
      heartbeat();
    } catch (IOException noCore) {
      // The next heartbeat is sent to all cores again.
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void heartbeat() throws IOException, InterruptedException {
    callSequence++;
    send("PUT", HttpRequest.BodyPublishers.ofString(registrationJson()));
  }

  private void send(String method, HttpRequest.BodyPublisher body)
      throws IOException, InterruptedException {
    List<String> addresses = cores.get();
    IOException last = new IOException("there is no core");
    for (int attempt = 0; attempt < MAX_ATTEMPTS_PER_CORE * addresses.size(); attempt++) {
      String address = addresses.get(coreIndex % addresses.size());
      URI uri = URI.create("http://" + address + "/nettletrail/backends/" + backend.id());
      HttpRequest request =
          HttpRequest.newBuilder(uri).timeout(REQUEST_TIMEOUT).method(method, body).build();
      try {
        int status = http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        if (status == OK) {
          return;
        }
        last = new IOException(method + " at " + address + ": status " + status);
      } catch (IOException failure) {
        last = new IOException(method + " at " + address + ": " + failure, failure);
      }
      coreIndex++;
    }
    throw last;
  }

  private String registrationJson() {
    return """
        {"carrier":"%s","address":"%s","zone":"%s","edition":"v1","berths":%d,
         "state":"%s","cold_left_ms":0,"stage":"either_way",
         "models":[{"name":"m","edition":1,"adapters":[]}],"call_seq":%d}
        """
        .formatted(
            backend.service(),
            backend.address(),
            backend.zone(),
            ConfigurationTemplate.BACKEND_SLOTS,
            state,
            callSequence);
  }
}
