package nettletrail.control.shard;

/**
 * One run of this process, for telling which replies answer its own requests. A reply to an earlier
 * incarnation must not count: the steady clock that its instant was read from may have been
 * another.
 *
 * @param startedAt when the process started
 */
record Incarnation(long startedAt) {

  /** True if a request with that sending instant can be from this incarnation. */
  boolean hasSent(long sentAt, long now) {
    return sentAt >= startedAt && sentAt <= now;
  }
}
