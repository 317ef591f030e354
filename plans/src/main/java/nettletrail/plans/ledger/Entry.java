package nettletrail.plans.ledger;

/**
 * One entry of a ledger. The entries of one incarnation are numbered from 1 without gaps. Entries
 * about a use name it by the number of its {@link Sent}. Amounts are thousandths of a unit.
 *
 * @param sequence its number; 0 before it has one
 * @param wallMs Unix time in ms by this machine's clock, which may jump
 * @param monoNs steady clock of the incarnation, ns
 */
public record Entry(long sequence, long wallMs, long monoNs, Event event) {
  /** Event happened. */
  public sealed interface Event {}

  /**
   * A use: what one accepted request takes.
   *
   * @param request the client's id: 16 hexadecimal digits, as a number
   * @param planNumber number of the change by which the plan applies
   * @param guessMilli the client's estimate
   */
  public record Use(
      long request,
      long customer,
      String plan,
      long planNumber,
      String requestClass,
      long guessMilli) {}

  /** A request's first attempt is sent: from now on it may have run. */
  public record Sent(Use use) implements Event {}

  /**
   * A successful response arrived: the use is confirmed.
   *
   * @param settled whether the backend reported the amount; else it is the estimate
   */
  public record Used(long sent, Use use, long milli, boolean settled) implements Event {}

  /**
   * It may have run, which will never be known.
   *
   * @param milli what is billed for it by the configured rule
   */
  public record Unknown(long sent, Use use, String why, long milli) implements Event {}

  /** It certainly did not run. */
  public record Unused(long sent) implements Event {}

  /** The true amount, reported after the use was confirmed. */
  public record Settled(long sent, Use use, long beforeMilli, long milli) implements Event {}

  /** The lines of the entries from..to form one batch, in every attempt to export it. */
  public record BatchBoundary(long from, long to) implements Event {}

  /** The receiver has acknowledged everything up to this entry. */
  public record BatchAcknowledged(long to) implements Event {}

  /** The receiver rejected the batch that ends here for good; an operator must look at it. */
  public record BatchRejected(long to, String why) implements Event {}

  /** A correction by an operator. */
  public record Credit(long customer, String plan, long milli, String text, String author)
      implements Event {}

  /** A copy with this number. */
  public Entry numbered(long number) {
    return new Entry(number, wallMs, monoNs, event);
  }
}
