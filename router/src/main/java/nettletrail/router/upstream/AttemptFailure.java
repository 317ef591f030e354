package nettletrail.router.upstream;

/** Why an attempt has no complete response. */
public enum AttemptFailure {
  /** No connection could be opened, or the limit of connections is reached: nothing was written. */
  CONNECT_FAILED,
  /** The connection closed before the kernel accepted the first byte of the request. */
  NOT_WRITTEN,
  /**
   * The connection closed after the first byte of the request. The request may have run, since a
   * backend may start before it has read the complete body.
   */
  CONNECTION_LOST,
  /** The response is invalid or belongs to another request. The request may have run. */
  INVALID_RESPONSE;

  /** Whether the backend can't have run the request. */
  public boolean provesNotRun() {
    return this == CONNECT_FAILED || this == NOT_WRITTEN;
  }
}
