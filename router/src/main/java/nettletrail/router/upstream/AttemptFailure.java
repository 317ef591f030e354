package nettletrail.router.upstream;

/** Why no whole answer came. */
public enum AttemptFailure {
  /** No connection came up, or none is to be had: nothing was written. */
  NOT_CONNECTED,
  /**
   * The connection broke before the last byte of the request was with the kernel: the backend can't
   * have run it.
   */
  NOT_WRITTEN,
  /** The connection broke after the request was written: it may have run. */
  BROKEN,
  /** What came is no answer to this request: it may have run. */
  GARBLED;

  /** Whether the backend can't have run the request. */
  public boolean provesNotRun() {
    return this == NOT_CONNECTED || this == NOT_WRITTEN;
  }
}
