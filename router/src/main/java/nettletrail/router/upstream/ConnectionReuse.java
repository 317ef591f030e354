package nettletrail.router.upstream;

import nettletrail.upstream.IdleTimeoutEstimator;

/**
 * Whether and until when a connection may carry another request: its idle time, the backend's
 * keep-alive timeout and its cooldown after a response. Times are in ns of the steady clock.
 */
final class ConnectionReuse {
  private static final long NONE = -1;

  private final IdleTimeoutEstimator idleTimeoutEstimator;
  private boolean used;
  private long idleSince;

  /** Idle time before the current request; {@link #NONE} for the first one and once reported. */
  private long idleAge = NONE;

  private long keepAliveNanos = KeepAliveTimeout.DEFAULT_NANOS;
  private boolean coolingDown;
  private long cooldownEnd;

  /**
   * @param idleTimeoutEstimator learns at which idle times connections turn out to be closed
   */
  ConnectionReuse(IdleTimeoutEstimator idleTimeoutEstimator) {
    this.idleTimeoutEstimator = idleTimeoutEstimator;
  }

  /** Whether it has carried a request to its end before. */
  boolean isUsed() {
    return used;
  }

  void requestSent() {
    idleAge = used ? System.nanoTime() - idleSince : NONE;
  }

  /** Reports the idle time before the current request, once for each request. */
  void reportIdleAge(boolean connectionLost) {
    if (idleAge >= 0) {
      idleTimeoutEstimator.recordUse(idleAge, connectionLost, System.nanoTime());
      idleAge = NONE;
    }
  }

  void responseEnded(long keepAliveTimeoutNanos) {
    used = true;
    keepAliveNanos = keepAliveTimeoutNanos;
  }

  /** Whether the backend's keep-alive timeout permits another request. */
  boolean isKeptAlive() {
    return keepAliveNanos > 0;
  }

  void idleFrom(long now) {
    idleSince = now;
  }

  long idleSince() {
    return idleSince;
  }

  /** Whether it has not been idle for too long. */
  boolean isFresh(long now) {
    long age = now - idleSince;
    return age < keepAliveNanos && (!used || age <= idleTimeoutEstimator.maxIdleNanos(now));
  }

  void startCooldown(long end) {
    coolingDown = true;
    cooldownEnd = end;
  }

  void endCooldown() {
    coolingDown = false;
  }

  boolean isCoolingDown() {
    return coolingDown;
  }

  long cooldownEnd() {
    return cooldownEnd;
  }
}
