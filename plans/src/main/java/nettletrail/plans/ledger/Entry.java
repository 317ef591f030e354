package nettletrail.plans.ledger;

/**
 * One entry of a ledger. Entries of one life are numbered without gaps from 1; what an entry says
 * of a use, it says by the number of the use's {@link Sent}. Amounts are milli-units.
 *
 * @param sequence its number; 0 while it has none
 * @param wallMs Unix time, ms, by this machine's clock, which may jump
 * @param monoNs a clock that never goes back within a life, ns of any origin
 */
public record Entry(long sequence, long wallMs, long monoNs, What what) {
  /** What happened. */
  public sealed interface What {}

  /**
   * What one request uses, as it was accepted.
   *
   * @param request the client's id, as the number that its 16 hex digits are
   * @param planNumber which of the customer's plans it is, in the order in which they were in force
   * @param guessMilli told by the client
   */
  public record Use(
      long request,
      long customer,
      String plan,
      long planNumber,
      String requestClass,
      long guessMilli) {}

  /** A request's first attempt goes out: from here on it may have been used. */
  public record Sent(Use use) implements What {}

  /**
   * A good answer came: the use is confirmed.
   *
   * @param settled whether the amount is the backend's word, or still the guess
   */
  public record Used(long sent, Use use, long milli, boolean settled) implements What {}

  /**
   * It may have run, and nobody will tell.
   *
   * @param milli billed for it, by the rule in force
   */
  public record Unknown(long sent, Use use, String why, long milli) implements What {}

  /** Surely nothing ran. */
  public record Unused(long sent) implements What {}

  /** The true amount, told after the use was confirmed. */
  public record Settled(long sent, Use use, long beforeMilli, long milli) implements What {}

  /** The lines of the entries from..to are one batch, whoever sends it and how often. */
  public record Cut(long from, long to) implements What {}

  /** The receiver has all up to there. */
  public record Acked(long to) implements What {}

  /** The receiver will never take the batch that ends there; staff must look. */
  public record Shelved(long to, String why) implements What {}

  /** A correction; the past is not written anew. */
  public record Credit(long customer, String plan, long milli, String text, String author)
      implements What {}

  /** The same with its number. */
  public Entry numbered(long number) {
    return new Entry(number, wallMs, monoNs, what);
  }
}
