package nettletrail.plans.ledger;

/**
 * One line of a bill. It is made from one entry of a ledger and identified by the door, its
 * incarnation and the sequence of the entry.
 *
 * @param milli units in thousandths; below 0 for a credit
 * @param text the reason, if it isn't a plain use; else ""
 */
public record Line(
    long sequence,
    Kind kind,
    long request,
    long customer,
    String plan,
    long planNumber,
    String requestClass,
    long guessMilli,
    long milli,
    long wallMs,
    String text) {
  /** What a line charges or credits. */
  public enum Kind {
    USE,
    DOUBTFUL,
    CORRECTION,
    CREDIT
  }

  /** The entry's line, or null if it has none. */
  public static Line of(Entry entry) {
    Entry.Event what = entry.event();
    if (what instanceof Entry.Used used) {
      return of(entry, Kind.USE, used.use(), used.milli(), used.settled() ? "" : "guessed");
    }
    if (what instanceof Entry.Unknown unknown) {
      return of(entry, Kind.DOUBTFUL, unknown.use(), unknown.milli(), unknown.why());
    }
    if (what instanceof Entry.Settled settled) {
      return of(
          entry,
          Kind.CORRECTION,
          settled.use(),
          settled.milli() - settled.beforeMilli(),
          "settled after line " + settled.sent());
    }
    if (what instanceof Entry.Credit credit) {
      return new Line(
          entry.sequence(),
          Kind.CREDIT,
          0,
          credit.customer(),
          credit.plan(),
          0,
          "",
          0,
          -credit.milli(),
          entry.wallMs(),
          credit.text());
    }
    return null;
  }

  private static Line of(Entry entry, Kind kind, Entry.Use use, long milli, String text) {
    return new Line(
        entry.sequence(),
        kind,
        use.request(),
        use.customer(),
        use.plan(),
        use.planNumber(),
        use.requestClass(),
        use.guessMilli(),
        milli,
        entry.wallMs(),
        text);
  }
}
