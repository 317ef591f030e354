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
 * A backend's calls to the core: heartbeats, its intention to end, and its end. A call that fails
 * goes to the next core.
 */
final class BackendRegistration implements AutoCloseable {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final int OK = 200;

  private final EmulatedBackend backend;
  private final Supplier<List<String>> cores;
  private final HttpClient http = HttpClient.newBuilder().connectTimeout(CALL_TIMEOUT).build();
  private final ScheduledExecutorService heartbeats =
      Executors.newSingleThreadScheduledExecutor(BackendRegistration::daemon);
  private String state = "open_for_mail";
  private int core;
  private long callSequence;

  /**
   * @param cores control addresses of the core machines as they are now
   */
  BackendRegistration(EmulatedBackend backend, Supplier<List<String>> cores, int firstCore) {
    this.backend = backend;
    this.cores = cores;
    this.core = firstCore;
  }

  private static Thread daemon(Runnable work) {
    Thread thread = new Thread(work, "heartbeats");
    thread.setDaemon(true);
    return thread;
  }

  /** Registers; begins to send heartbeats. */
  void start() throws IOException, InterruptedException {
    heartbeat();
    heartbeats.scheduleWithFixedDelay(
        this::heartbeatQuietly,
        SettingsText.HEARTBEAT_MS,
        SettingsText.HEARTBEAT_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Says that the backend is about to end; returns once that is acknowledged. */
  void drain() throws IOException, InterruptedException {
    synchronized (this) {
      state = "closing";
    }
    heartbeat();
  }

  /** Says that the backend has ended. */
  synchronized void remove() throws IOException, InterruptedException {
    close();
    call("DELETE", HttpRequest.BodyPublishers.noBody());
  }

  /** Sends no more heartbeats, as after a crash. */
  @Override
  public void close() {
    heartbeats.shutdownNow();
  }

  private void heartbeatQuietly() {
    try {
      heartbeat();
    } catch (IOException noCore) {
      // The next heartbeat tries all cores again.
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void heartbeat() throws IOException, InterruptedException {
    callSequence++;
    call("PUT", HttpRequest.BodyPublishers.ofString(record()));
  }

  private void call(String method, HttpRequest.BodyPublisher body)
      throws IOException, InterruptedException {
    List<String> addresses = cores.get();
    IOException last = new IOException("there is no core");
    for (int attempt = 0; attempt < 2 * addresses.size(); attempt++) {
      String address = addresses.get(core % addresses.size());
      URI uri = URI.create("http://" + address + "/nettletrail/backends/" + backend.id());
      HttpRequest request =
          HttpRequest.newBuilder(uri).timeout(CALL_TIMEOUT).method(method, body).build();
      try {
        int status = http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        if (status == OK) {
          return;
        }
        last = new IOException(method + " at " + address + ": status " + status);
      } catch (IOException failure) {
        last = new IOException(method + " at " + address + ": " + failure, failure);
      }
      core++;
    }
    throw last;
  }

  private String record() {
    return """
        {"carrier":"%s","address":"%s","zone":"%s","edition":"v1","berths":%d,
         "state":"%s","cold_left_ms":0,"stage":"either_way",
         "models":[{"name":"m","edition":1,"adapters":[]}],"call_seq":%d}
        """
        .formatted(
            backend.service(),
            backend.address(),
            backend.zone(),
            ConfigurationText.BACKEND_SLOTS,
            state,
            callSequence);
  }
}
