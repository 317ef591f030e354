package nettletrail.router.balance;

import nettletrail.router.BackendEndpoint;

/**
 * What this door knows of one incarnation of a backend from the requests that it sent there: how
 * much is outstanding, how slow it is beside others, and how often it failed. Pure; {@code now} is
 * in ns.
 */
public final class BackendLoad {
  private static final double FAILURE_WEIGHT = 0.15;

  private final BackendEndpoint endpoint;
  private final BackendHealth health = new BackendHealth();
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

  /** Its health, as its last sends tell. */
  BackendHealth health() {
    return health;
  }

  /** How slow it is beside the others. */
  LatencyEstimate latency() {
    return latency;
  }

  /**
   * A request is sent there.
   *
   * @param prompt tokens of its prompt
   * @param prefill those that the backend has to read, as far as is known
   * @param memory tokens that it holds at most
   */
  public void sent(long prompt, long prefill, long memory, long now) {
    health.sent(outstanding == 0, now);
    outstanding++;
    promptTokens += prompt;
    prefillTokens += prefill;
    memoryTokens += memory;
  }

  /** The prompt has been read: the first part of the answer came. */
  public void prefilled(long prompt, long prefill) {
    promptTokens -= prompt;
    prefillTokens -= prefill;
  }

  /** A request that was sent there is over. */
  public void over(long memory) {
    outstanding--;
    memoryTokens -= memory;
  }

  /** Bytes came from it. */
  public void heard(long now) {
    health.heard(now);
  }

  /** It answered a request as it should, be it that it is full. */
  public void succeeded(long now) {
    health.succeeded();
    noteOutcome(0, now);
  }

  /** It answered that it failed to serve the request: it is there, but may be better avoided. */
  public void served(boolean well, long now) {
    health.succeeded();
    noteOutcome(well ? 0 : 1, now);
  }

  /**
   * A send to it failed in a way that tells of it: no connection, a break, something that is no
   * answer.
   */
  public void failed(long now) {
    health.failed(now);
    noteOutcome(1, now);
  }

  /** A request that waits there was given up. */
  public void gaveUp(long now) {
    ejectIfSilent(now);
  }

  /** Ejects it if it keeps requests waiting without a sign of life; whether it did. */
  boolean ejectIfSilent(long now) {
    return outstanding > 0 && health.ejectIfSilent(readingNanos(), now);
  }

  /** That it may take for the prompts that it was sent. */
  private long readingNanos() {
    return promptTokens * PrefillTimeout.MAX_NANOS_PER_TOKEN;
  }

  private void noteOutcome(double failure, long now) {
    double before = failureRate(now);
    failureRate = before + FAILURE_WEIGHT * (failure - before);
    failureRateAt = now;
  }

  /** The part of its last requests that failed, from 0 to 1; what was seen fades. */
  double failureRate(long now) {
    return failureRate == 0 ? 0 : failureRate * ExponentialDecay.kept(now - failureRateAt);
  }

  /** Whether it keeps requests waiting without a sign of life. */
  public boolean isSilent(long now) {
    return outstanding > 0 && health.isSilent(readingNanos(), now);
  }

  /** Requests that were sent there and are not over. */
  public int outstanding() {
    return outstanding;
  }

  /** Tokens of prompts that were sent there and not yet read. */
  public long prefillTokens() {
    return prefillTokens;
  }

  /** Tokens that the outstanding requests hold in its memory, at most. */
  public long memoryTokens() {
    return memoryTokens;
  }
}
