package nettletrail.router.balance;

import nettletrail.router.BackendEndpoint;

/**
 * What this door knows of one incarnation of a backend from the requests that it sent there: how much is outstanding, and
 * how its last sends went.
 *
 * <p>Health is passive: {@link #FAILURES_TO_EJECT} failures in a row eject it for a pause that doubles each time; so does
 * silence of {@link #SILENCE_NANOS} while requests wait there. After the pause one request at a time tries it, until
 * something is heard.
 */
public final class BackendLoad {
  static final int FAILURES_TO_EJECT = 3;
  static final long FIRST_PAUSE_NANOS = 500_000_000L;
  static final long LONGEST_PAUSE_NANOS = 8_000_000_000L;
  static final long SILENCE_NANOS = 400_000_000L;

  private final BackendEndpoint endpoint;
  private int outstanding;
  private long prefillTokens;
  private long memoryTokens;
  private int failures;
  private long pauseNanos;
  private long ejectedUntil;
  private boolean ejected;
  private boolean trial;
  /** Since when something is awaited and nothing was heard. */
  private long silentSince;
  /** Whether it was ejected for its silence, so that a word from it is enough to come back. */
  private boolean ejectedForSilence;

  BackendLoad(BackendEndpoint endpoint) {
    this.endpoint = endpoint;
  }

  /** The incarnation. */
  public BackendEndpoint endpoint() {
    return endpoint;
  }

  /** A request is sent there. */
  public void sent(long prefill, long memory, long now) {
    trial = ejected;
    if (outstanding == 0 || trial) {
      silentSince = now;
    }
    outstanding++;
    prefillTokens += prefill;
    memoryTokens += memory;
  }

  /** The prompt has been read: the first part of the answer came. */
  public void prefilled(long prefill) {
    prefillTokens -= prefill;
  }

  /** A request that was sent there is over. */
  public void over(long memory) {
    outstanding--;
    memoryTokens -= memory;
  }

  /** Bytes came from it. */
  public void heard(long now) {
    silentSince = now;
    if (ejectedForSilence) {
      succeeded();
    }
  }

  /** It answered, be it that it is full. */
  public void succeeded() {
    failures = 0;
    ejected = false;
    ejectedForSilence = false;
    trial = false;
    pauseNanos = 0;
  }

  /** A send to it failed in a way that tells of it: no connection, a break, something that is no answer. */
  public void failed(long now) {
    failures++;
    if (trial || failures >= FAILURES_TO_EJECT && !ejected) {
      eject(now);
    }
  }

  /** A request that waits there was given up. */
  public void gaveUp(long now) {
    if (isSilent(now) && (trial || !ejected)) {
      ejectedForSilence = true;
      eject(now);
    }
  }

  private void eject(long now) {
    pauseNanos =
        pauseNanos == 0 ? FIRST_PAUSE_NANOS : Math.min(LONGEST_PAUSE_NANOS, 2 * pauseNanos);
    ejected = true;
    trial = false;
    ejectedUntil = now + pauseNanos;
  }

  /** Ejects it if it has been silent for too long; whether it did. */
  boolean ejectIfSilent(long now) {
    if (ejected && !trial || !isSilent(now)) {
      return false;
    }
    ejectedForSilence = true;
    eject(now);
    return true;
  }

  /** Whether it should get requests. */
  public boolean isHealthy(long now) {
    return !ejected || !trial && now - ejectedUntil >= 0;
  }

  /** Whether it keeps requests waiting without a sign of life. */
  public boolean isSilent(long now) {
    return outstanding > 0 && now - silentSince > SILENCE_NANOS;
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
