package nettletrail.router.retry;

/**
 * How many further sends this door may make to one service, so that the sum over all doors stays within the
 * deployment's bound without any talk between them. A token bucket that is filled by traffic: each first send earns
 * {@link #SHARE} of the ratio, each further send costs 1, and at most this door's {@link #SHARE} of the slack is held.
 * In a window the sum of further sends is then at most {@code SHARE * (ratio * first sends + slack)}.
 *
 * <p>It begins with none: a process that is killed and comes back again and again earns nothing by that.
 */
public final class RetryBudget {
  /** The rest is for doors that count too few others, and for what clients' repeats cost backends. */
  public static final double SHARE = 0.5;

  private final double earnedByRequest;
  private final double slack;
  private double tokens;

  /**
   * @param ratio further sends for each first send that all doors together may make
   * @param slack further sends beside, that all doors together may make in a window
   */
  public RetryBudget(double ratio, double slack) {
    earnedByRequest = SHARE * ratio;
    this.slack = slack;
  }

  /**
   * A request was sent for the first time.
   *
   * @param doors that serve, this one included
   */
  public void firstSend(int doors) {
    tokens = Math.min(most(doors), tokens + earnedByRequest);
  }

  /**
   * Takes the cost of one further send.
   *
   * @return whether it may be made
   */
  public boolean take(int doors) {
    tokens = Math.min(most(doors), tokens);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  /** Whether {@link #take} would succeed. */
  public boolean has(int doors) {
    return Math.min(most(doors), tokens) >= 1;
  }

  /** The further send that was paid for was not made. */
  public void giveBack() {
    tokens++;
  }

  private double most(int doors) {
    return SHARE * slack / Math.max(1, doors);
  }
}
