package nettletrail.router.upstream;

/** An attempt that waits for a connection of a {@link BackendConnectionPool} or is on one. */
final class PooledAttempt implements AttemptHandle {
  private final Attempt attempt;
  private final BackendConnectionPool pool;

  /** Null while it waits and after its end. */
  private UpstreamConnection connection;

  private boolean ended;

  PooledAttempt(Attempt attempt, BackendConnectionPool pool) {
    this.attempt = attempt;
    this.pool = pool;
  }

  Attempt attempt() {
    return attempt;
  }

  boolean hasEnded() {
    return ended;
  }

  /** Whether it neither has a connection nor has ended. */
  boolean isWaiting() {
    return !ended && connection == null;
  }

  void assignedTo(UpstreamConnection assigned) {
    connection = assigned;
  }

  /** The connection has no further use for it. */
  void detached() {
    connection = null;
    ended = true;
  }

  @Override
  public void cancel() {
    if (ended) {
      return;
    }
    ended = true;
    UpstreamConnection assigned = connection;
    connection = null;
    if (assigned == null) {
      pool.removeWaiting(this);
    } else {
      assigned.abort();
    }
  }

  @Override
  public void setReading(boolean on) {
    if (connection != null) {
      connection.setReading(on);
    }
  }

  /** Fails it if it has not ended. */
  void fail(AttemptFailure failure) {
    if (!ended) {
      ended = true;
      attempt.failed(failure);
    }
  }
}
