package nettletrail.router.upstream;

/** The caller's handle on an attempt that was passed to {@link UpstreamPool#send}. */
public interface AttemptHandle {
  /**
   * Cancels the attempt: its connection, if it has one, is closed. No method of the {@link Attempt}
   * is called any more. Without effect on an attempt that has ended.
   */
  void cancel();

  /**
   * Switches reading of the response on or off, for backpressure from the client.
   *
   * @param on false while the client doesn't take what was read
   */
  void setReading(boolean on);
}
