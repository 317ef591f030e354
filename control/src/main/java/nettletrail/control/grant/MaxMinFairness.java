package nettletrail.control.grant;

import java.util.Arrays;

/**
 * Max-min fair division: demands below the fair share are met in full, all others get the fair
 * share (Bertsekas and Gallager, <i>Data Networks</i>, 6.5.2).
 */
final class MaxMinFairness {
  private MaxMinFairness() {}

  /**
   * The fair share when {@code supply} is divided among these demands; {@link Double#MAX_VALUE}
   * when the supply meets all of them. Sorts {@code demands} in place.
   */
  static double fairShare(double[] demands, double supply) {
    Arrays.sort(demands);
    double remaining = supply;
    for (int index = 0; index < demands.length; index++) {
      double share = remaining / (demands.length - index);
      if (demands[index] >= share) {
        return share;
      }
      remaining -= demands[index];
    }
    return Double.MAX_VALUE;
  }
}
