package nettletrail.router;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import nettletrail.configuration.Engine;
import nettletrail.configuration.Route;
import nettletrail.router.balance.BackendLoad;
import nettletrail.router.balance.ServiceBackends;
import nettletrail.router.stream.StallRule;
import nettletrail.router.upstream.AttemptHandle;

/**
 * The attempts of one exchange: the current one, and what the earlier ones prove. On the event
 * loop; instants are ns of the steady clock.
 */
final class ExchangeAttempts {
  private final RequestSize size;

  /** The backend of the current or latest attempt; null before the first one. */
  private BackendLoad backend;

  /** The engine of that backend's service; null if it has none. */
  private Engine engine;

  private AttemptHandle handle;

  /** Waits for a connection, to replace the current attempt if that has stalled; null if none. */
  private ReplacementAttempt replacement;

  /** Incremented with each attempt, so that a late return from the pool is recognised. */
  private int number;

  private boolean confirming;

  /** The current attempt is written, or being written: it may run. */
  private boolean currentSent;

  private long sentAt;

  /** When the current attempt was sent or, if later, when its response's last bytes arrived. */
  private long lastActivityAt;

  private double workBefore;
  private boolean prefillComplete;
  private boolean earlierMayHaveRun;
  private int sent;
  private int connectFailures;
  private final List<String> tried = new ArrayList<>(2);

  ExchangeAttempts(RequestSize size) {
    this.size = size;
  }

  /**
   * Starts an attempt.
   *
   * @return its number, for {@link #isCurrent}
   */
  int begin(BackendLoad chosen, Engine engineOfService) {
    backend = chosen;
    engine = engineOfService;
    number++;
    return number;
  }

  /** Whether no other attempt was started and this one wasn't given up. */
  boolean isCurrent(int attemptNumber) {
    return number == attemptNumber;
  }

  void setHandle(AttemptHandle newHandle) {
    handle = newHandle;
  }

  void clearHandle() {
    handle = null;
  }

  /** Whether a replacement of the current attempt waits for its connection. */
  boolean hasReplacement() {
    return replacement != null;
  }

  /** A replacement of the current attempt waits for its connection from now on. */
  void setReplacement(ReplacementAttempt waiting) {
    replacement = waiting;
  }

  /** The replacement no longer waits. */
  void clearReplacement() {
    replacement = null;
  }

  /** No attempt is sent to this backend, since the replacement's connection to it failed. */
  void replacementFailed(String backendId) {
    replacement = null;
    tried.add(backendId);
  }

  /** The current attempt has failed and another one follows. */
  void giveUpCurrent() {
    handle = null;
    number++;
  }

  /** Runs the check before the first byte; a {@link #cancel} inside it closes no connection. */
  boolean confirm(BooleanSupplier check) {
    confirming = true;
    try {
      return check.getAsBoolean();
    } finally {
      confirming = false;
    }
  }

  /** Backpressure: switches reading of the current response on or off. */
  void setReading(boolean on) {
    if (handle != null) {
      handle.setReading(on);
    }
  }

  /** Closes the current attempt's connection. The attempt is still to be ended. */
  void cancelConnection() {
    AttemptHandle current = handle;
    if (current != null) {
      current.cancel();
    }
  }

  /** Cancels the current attempt, if there is one. It may have run if it was sent. */
  void cancel() {
    AttemptHandle current = handle;
    if (current != null && !confirming) {
      current.cancel();
    }
    if (backend != null) {
      backend.requestAbandoned(System.nanoTime());
      endMayHaveRun();
    }
  }

  /** The current attempt is written from now on. */
  void recordSent(long now) {
    sent++;
    tried.add(backend.endpoint().id());
    workBefore = ServiceBackends.workBefore(backend, size.prefillTokens(), engine);
    sentAt = now;
    currentSent = true;
    prefillComplete = false;
    lastActivityAt = now;
    backend.requestSent(size.inputTokens(), size.prefillTokens(), size.memoryTokens(), now);
  }

  /** Bytes of the current response's body arrived; the first ones tell the backend's latency. */
  void contentReceived(ServiceBackends backends) {
    lastActivityAt = System.nanoTime();
    if (!prefillComplete) {
      long latencyNanos = lastActivityAt - sentAt;
      backends.responseStarted(backend, workBefore, latencyNanos, lastActivityAt);
      completePrefill();
    }
  }

  private void completePrefill() {
    if (!prefillComplete) {
      prefillComplete = true;
      backend.prefillCompleted(size.inputTokens(), size.prefillTokens());
    }
  }

  /** Ends the current attempt, which may have run if it was sent. */
  void endMayHaveRun() {
    earlierMayHaveRun |= currentSent;
    end();
  }

  /** Ends the current attempt, which provably has not run. */
  void endNotRun() {
    end();
  }

  private void end() {
    cancelReplacement();
    if (currentSent) {
      completePrefill();
      backend.requestEnded(size.memoryTokens());
      currentSent = false;
    }
    handle = null;
  }

  private void cancelReplacement() {
    ReplacementAttempt waiting = replacement;
    replacement = null;
    if (waiting != null) {
      waiting.cancel();
    }
  }

  /** The current attempt failed before its request left this process, or without a connection. */
  void recordConnectFailure() {
    connectFailures++;
    tried.add(backend.endpoint().id());
  }

  /** The current attempt was counted as sent, but no byte of it left. */
  void uncountSent() {
    sent--;
  }

  /** Whether the current attempt has stalled, by the limits of its route. */
  boolean isStalled(Route route, long now) {
    return StallRule.isStalled(
        now - lastActivityAt,
        prefillComplete,
        route.gapMs(),
        route.targetMs(),
        size.inputTokens(),
        backend.isUnresponsive(now));
  }

  /** The backend of the current or latest attempt; null before the first one. */
  BackendLoad backend() {
    return backend;
  }

  /** Tokens in a number of events of the current engine's stream. */
  long tokensOf(long events) {
    return events * (engine == null ? 1 : engine.tokensPerEvent());
  }

  /** Whether the current attempt is written or being written, and has not ended. */
  boolean isCurrentSent() {
    return currentSent;
  }

  /** Whether any backend may have run the request. */
  boolean mayHaveRun() {
    return earlierMayHaveRun || currentSent;
  }

  /** Attempts that reached a backend, or may have. */
  int sent() {
    return sent;
  }

  int connectFailures() {
    return connectFailures;
  }

  /** Ids of the incarnations that had an attempt. */
  List<String> tried() {
    return tried;
  }
}
