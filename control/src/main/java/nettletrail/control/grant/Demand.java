package nettletrail.control.grant;

/**
 * What all doors with a recent request want, gathered in one pass over the accounts: with many
 * doors this pass is most of the cost of a request. Tokens.
 */
final class Demand {
  private static final long MILLIS = 1_000_000L;

  /** A waiting door without a request for this long no longer has precedence. */
  private static final long PRECEDENCE_TIMEOUT_NANOS = 300 * MILLIS;

  private final DoorAccount[] accounts;
  private int count;
  private double totalRequired;
  private DoorAccount longestWaiting;

  /** No demand yet, with room for so many accounts. */
  Demand(int maxAccounts) {
    this.accounts = new DoorAccount[maxAccounts];
  }

  /** Adds the demand of one door. */
  void add(DoorAccount account, long now) {
    accounts[count] = account;
    count++;
    totalRequired += account.required();
    boolean waits = account.isWaiting() && now - account.lastRequestAt() < PRECEDENCE_TIMEOUT_NANOS;
    boolean earlier =
        longestWaiting == null || account.waitingSince() - longestWaiting.waitingSince() < 0;
    if (waits && earlier) {
      longestWaiting = account;
    }
  }

  /** What the queued requests of all doors need. */
  double totalRequired() {
    return totalRequired;
  }

  /** The door that has waited longest, or null if none waits. */
  DoorAccount longestWaiting() {
    return longestWaiting;
  }

  /** What the queued requests need, by door; a new array. */
  double[] required() {
    double[] required = new double[count];
    for (int index = 0; index < count; index++) {
      required[index] = accounts[index].required();
    }
    return required;
  }

  /** What doors want beyond their queued requests, by door; a new array. */
  double[] prefetch() {
    double[] prefetch = new double[count];
    for (int index = 0; index < count; index++) {
      prefetch[index] = accounts[index].prefetch();
    }
    return prefetch;
  }
}
