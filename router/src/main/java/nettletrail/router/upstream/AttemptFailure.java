package nettletrail.router.upstream;

/** Why no whole answer came. */
public enum AttemptFailure {
  /** No connection came up, or none is to be had: nothing was written. */
  NOT_CONNECTED,
  /** The connection broke before the kernel took the first byte of the request. */
  NOT_WRITTEN,
  /**
   * The connection broke after the first byte of the request: it may have run, since a backend may
   * begin before it has read the whole body.
   */
  BROKEN,
  /** What came is no answer to this request, of which a byte may have left: it may have run. */
  GARBLED;

  /** Whether the backend can't have run the request. */
  public boolean provesNotRun() {
    return this == NOT_CONNECTED || this == NOT_WRITTEN;
  }
}
