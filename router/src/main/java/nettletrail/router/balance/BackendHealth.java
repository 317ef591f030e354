package nettletrail.router.balance;

/**
 * Passive health of one backend, from its sends alone. {@link #FAILURES_TO_EJECT} failures in a row
 * eject it for a pause that doubles each time; so does silence of {@link #SILENCE_NANOS} while
 * requests wait there. After the pause one request at a time tries it, until something is heard.
 * Pure; {@code now} is in ns.
 */
final class BackendHealth {
  static final int FAILURES_TO_EJECT = 3;
  static final long FIRST_PAUSE_NANOS = 500_000_000L;
  static final long LONGEST_PAUSE_NANOS = 8_000_000_000L;
  static final long SILENCE_NANOS = 500_000_000L;

  private int failures;
  private long pauseNanos;
  private long ejectedUntil;
  private boolean ejected;

  /** Whether it was ejected for its silence, so that a word from it is enough to come back. */
  private boolean ejectedForSilence;

  /** Whether a request tries it after its pause. */
  private boolean trial;

  /** Since when something is awaited and nothing was heard. */
  private long silentSince;

  /**
   * @param first whether nothing was awaited before
   */
  void sent(boolean first, long now) {
    trial = ejected;
    if (first || trial) {
      silentSince = now;
    }
  }

  /** Bytes came from it. */
  void heard(long now) {
    silentSince = now;
    if (ejectedForSilence) {
      succeeded();
    }
  }

  /** It answered. */
  void succeeded() {
    failures = 0;
    ejected = false;
    ejectedForSilence = false;
    trial = false;
    pauseNanos = 0;
  }

  /** A send to it failed. */
  void failed(long now) {
    failures++;
    if (trial || failures >= FAILURES_TO_EJECT && !ejected) {
      eject(now);
    }
  }

  /**
   * Ejects it if it has been silent for too long; to be called only while something is awaited from
   * it.
   *
   * @param allowance that it has beside, ns
   * @return whether it did
   */
  boolean ejectIfSilent(long allowance, long now) {
    if (ejected && !trial || !isSilent(allowance, now)) {
      return false;
    }
    ejectedForSilence = true;
    eject(now);
    return true;
  }

  private void eject(long now) {
    pauseNanos =
        pauseNanos == 0 ? FIRST_PAUSE_NANOS : Math.min(LONGEST_PAUSE_NANOS, 2 * pauseNanos);
    ejected = true;
    trial = false;
    ejectedUntil = now + pauseNanos;
  }

  /** Whether it should get requests. */
  boolean admits(long now) {
    return !ejected || !trial && now - ejectedUntil >= 0;
  }

  /** Whether nothing was heard for long; means something only while something is awaited. */
  boolean isSilent(long allowance, long now) {
    return now - silentSince > SILENCE_NANOS + allowance;
  }
}
