package nettletrail.router.balance;

/**
 * Passive outlier detection for one backend, from the requests that this door sends to it. A
 * backend is ejected by {@link #CONSECUTIVE_FAILURES} failures in a row, or by an idle timeout: no
 * byte for {@link #IDLE_TIMEOUT_NANOS} while requests are outstanding. The ejection time doubles
 * with each ejection, from {@link #BASE_EJECTION_NANOS} to {@link #MAX_EJECTION_NANOS}. After it
 * the detector is half open: one trial request at a time, until one succeeds.
 *
 * <p>Deterministic; {@code now} is in ns of the steady clock.
 */
final class OutlierDetector {
  static final int CONSECUTIVE_FAILURES = 3;
  static final long BASE_EJECTION_NANOS = 500_000_000L;
  static final long MAX_EJECTION_NANOS = 8_000_000_000L;
  static final long IDLE_TIMEOUT_NANOS = 500_000_000L;

  private int consecutiveFailures;

  /** Length of the latest ejection; 0 if the backend was healthy since. */
  private long ejectionNanos;

  private long ejectedUntil;
  private boolean ejected;

  /** The ejection was for an idle timeout, so any byte from the backend ends it. */
  private boolean ejectedForIdleTimeout;

  /** A trial request is in flight after an ejection. */
  private boolean trialInFlight;

  /** When the backend last sent bytes, or when the first outstanding request was sent if later. */
  private long lastActivityAt;

  /**
   * A request is sent to the backend.
   *
   * @param firstOutstanding whether no other request is in flight there
   */
  void requestSent(boolean firstOutstanding, long now) {
    trialInFlight = ejected;
    if (firstOutstanding || trialInFlight) {
      lastActivityAt = now;
    }
  }

  /** The backend sent bytes. */
  void bytesReceived(long now) {
    lastActivityAt = now;
    if (ejectedForIdleTimeout) {
      requestSucceeded();
    }
  }

  /** The backend responded: it is reachable and takes requests. Ends an ejection. */
  void requestSucceeded() {
    consecutiveFailures = 0;
    ejected = false;
    ejectedForIdleTimeout = false;
    trialInFlight = false;
    ejectionNanos = 0;
  }

  /** A request failed for a reason that counts against the backend. */
  void requestFailed(long now) {
    consecutiveFailures++;
    if (trialInFlight || consecutiveFailures >= CONSECUTIVE_FAILURES && !ejected) {
      eject(now);
    }
  }

  /**
   * Ejects the backend if its idle timeout has passed. To be called only while requests are
   * outstanding there.
   *
   * @param prefillAllowanceNanos added to the timeout for the prompts that it processes, in ns
   * @return whether it was ejected by this call
   */
  boolean ejectIfUnresponsive(long prefillAllowanceNanos, long now) {
    if (ejected && !trialInFlight || !isUnresponsive(prefillAllowanceNanos, now)) {
      return false;
    }
    ejectedForIdleTimeout = true;
    eject(now);
    return true;
  }

  private void eject(long now) {
    ejectionNanos =
        ejectionNanos == 0 ? BASE_EJECTION_NANOS : Math.min(MAX_EJECTION_NANOS, 2 * ejectionNanos);
    ejected = true;
    trialInFlight = false;
    ejectedUntil = now + ejectionNanos;
  }

  /** Whether the backend may get requests. */
  boolean admits(long now) {
    return !ejected || !trialInFlight && now - ejectedUntil >= 0;
  }

  /**
   * Whether the idle timeout has passed. Only meaningful while requests are outstanding.
   *
   * @param prefillAllowanceNanos added to the timeout, in ns
   */
  boolean isUnresponsive(long prefillAllowanceNanos, long now) {
    return now - lastActivityAt > IDLE_TIMEOUT_NANOS + prefillAllowanceNanos;
  }
}
