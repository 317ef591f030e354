package nettletrail.router.balance;

import nettletrail.router.BackendEndpoint;

/**
 * Load and health of one incarnation of a backend, as seen in the requests that this door sent to
 * it: what is outstanding, how slow it is relative to the others, and how often it failed.
 *
 * <p>Deterministic, not thread-safe; {@code now} is in ns of the steady clock.
 */
public final class BackendLoad {
  /** Weight of the newest outcome in the moving average of failures. */
  private static final double FAILURE_WEIGHT = 0.15;

  private final BackendEndpoint endpoint;
  private final OutlierDetector outlierDetector = new OutlierDetector();
  private final LatencyEstimate latency = new LatencyEstimate();
  private int outstanding;
  private long promptTokens;
  private long prefillTokens;
  private long memoryTokens;
  private double failureRate;
  private long failureRateAt;

  BackendLoad(BackendEndpoint endpoint) {
    this.endpoint = endpoint;
  }

  /** The incarnation. */
  public BackendEndpoint endpoint() {
    return endpoint;
  }

  OutlierDetector outlierDetector() {
    return outlierDetector;
  }

  LatencyEstimate latency() {
    return latency;
  }

  /** Whether it is located in the zone. */
  boolean isInZone(String zone) {
    return endpoint.zone().equals(zone);
  }

  /**
   * A request is sent to the backend. Its end is reported by {@link #requestEnded}.
   *
   * @param prompt tokens of its prompt
   * @param prefill tokens of the prompt that are expected to miss the backend's prefix cache
   * @param memory tokens of the backend's KV cache that it uses at most
   */
  public void requestSent(long prompt, long prefill, long memory, long now) {
    outlierDetector.requestSent(outstanding == 0, now);
    outstanding++;
    promptTokens += prompt;
    prefillTokens += prefill;
    memoryTokens += memory;
  }

  /**
   * Prefill of a request is complete, since the response's body began, or the request has ended.
   * With the same arguments as {@link #requestSent}, once for each request.
   */
  public void prefillCompleted(long prompt, long prefill) {
    promptTokens -= prompt;
    prefillTokens -= prefill;
  }

  /** A request has ended. With the memory that {@link #requestSent} was given. */
  public void requestEnded(long memory) {
    outstanding--;
    memoryTokens -= memory;
  }

  /** The backend sent bytes. */
  public void bytesReceived(long now) {
    outlierDetector.bytesReceived(now);
  }

  /** The backend responded as it should; a rejection for lack of capacity counts as such too. */
  public void succeeded(long now) {
    outlierDetector.requestSucceeded();
    recordOutcome(0, now);
  }

  /**
   * The backend responded with a server error. It is reachable, so it is not ejected, but its cost
   * grows with its failure rate.
   */
  public void respondedWithError(long now) {
    outlierDetector.requestSucceeded();
    recordOutcome(1, now);
  }

  /** No connection, a broken connection, or a response that isn't valid. */
  public void failed(long now) {
    outlierDetector.requestFailed(now);
    recordOutcome(1, now);
  }

  /** A request was cancelled by this door before its response was complete. */
  public void requestAbandoned(long now) {
    ejectIfUnresponsive(now);
  }

  /** Ejects the backend if its idle timeout has passed with requests outstanding. */
  boolean ejectIfUnresponsive(long now) {
    return outstanding > 0 && outlierDetector.ejectIfUnresponsive(prefillAllowanceNanos(), now);
  }

  private long prefillAllowanceNanos() {
    return promptTokens * PrefillTimeout.MAX_NANOS_PER_TOKEN;
  }

  private void recordOutcome(double failure, long now) {
    double before = failureRate(now);
    failureRate = before + FAILURE_WEIGHT * (failure - before);
    failureRateAt = now;
  }

  /** Moving average of failed requests, from 0 to 1, which decays while there are none. */
  double failureRate(long now) {
    return failureRate == 0 ? 0 : failureRate * ExponentialDecay.remaining(now - failureRateAt);
  }

  /** Whether requests are outstanding and the idle timeout has passed without a byte. */
  public boolean isUnresponsive(long now) {
    return outstanding > 0 && outlierDetector.isUnresponsive(prefillAllowanceNanos(), now);
  }

  /** Requests in flight from this door. */
  public int outstanding() {
    return outstanding;
  }

  /** Prompt tokens of the outstanding requests whose prefill is not complete. */
  public long prefillTokens() {
    return prefillTokens;
  }

  /** Tokens of its KV cache that the outstanding requests use at most. */
  public long memoryTokens() {
    return memoryTokens;
  }
}
