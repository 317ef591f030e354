package nettletrail.emulator.capacity;

/** What became of the requests of all hollow doors. */
final class RequestCounts {
  private static final double MILLISECOND = 1e6;

  private long asked;
  private long letIn;
  private long refused;
  private long waited;
  private long waitNs;

  void asked() {
    asked++;
  }

  /** A request got its quota after this time, in nanoseconds. */
  void letIn(long afterNs) {
    letIn++;
    if (afterNs > 0) {
      waited++;
      waitNs += afterNs;
    }
  }

  void refused() {
    refused++;
  }

  Snapshot snapshot() {
    return new Snapshot(asked, letIn, refused, waited, waitNs);
  }

  /** The counts up to a moment. */
  record Snapshot(long asked, long letIn, long refused, long waited, long waitNs) {
    Snapshot since(Snapshot earlier) {
      return new Snapshot(
          asked - earlier.asked,
          letIn - earlier.letIn,
          refused - earlier.refused,
          waited - earlier.waited,
          waitNs - earlier.waitNs);
    }

    double refusedPct() {
      return asked == 0 ? 0 : 100.0 * refused / asked;
    }

    /** Part of the requests that had to wait for a grant, percent. */
    double waitedPct() {
      return letIn == 0 ? 0 : 100.0 * waited / letIn;
    }

    /** Mean wait of those that waited, milliseconds. */
    double meanWaitMs() {
      return waited == 0 ? 0 : waitNs / MILLISECOND / waited;
    }
  }
}
