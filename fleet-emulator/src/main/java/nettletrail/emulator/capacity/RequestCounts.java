package nettletrail.emulator.capacity;

/** The outcomes of the requests of simulated doors. One thread. */
public final class RequestCounts {
  private static final double PERCENT = 100;

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

  /** The counts so far. */
  public Snapshot snapshot() {
    return new Snapshot(asked, letIn, refused, waited, waitNs);
  }

  /** The counts up to a moment. */
  public record Snapshot(long asked, long letIn, long refused, long waited, long waitNs) {
    /** What came between an earlier moment and this one. */
    public Snapshot since(Snapshot earlier) {
      return new Snapshot(
          asked - earlier.asked,
          letIn - earlier.letIn,
          refused - earlier.refused,
          waited - earlier.waited,
          waitNs - earlier.waitNs);
    }

    /** Part of the requests that were refused, percent. */
    public double refusedPct() {
      return asked == 0 ? 0 : PERCENT * refused / asked;
    }

    /** Part of the requests that had to wait for a grant, percent. */
    public double waitedPct() {
      return letIn == 0 ? 0 : PERCENT * waited / letIn;
    }

    /** Mean wait of those that waited, milliseconds. */
    public double meanWaitMs() {
      return waited == 0 ? 0 : waitNs / MILLISECOND / waited;
    }
  }
}
