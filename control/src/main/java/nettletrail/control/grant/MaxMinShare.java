package nettletrail.control.grant;

import java.util.Arrays;

/** Max-min fair division: small wants are met whole, the others get one common share. */
final class MaxMinShare {
  private MaxMinShare() {}

  /**
   * The common share when {@code supply} is divided among these wants; no bound when it is enough
   * for all. Sorts the wants.
   */
  static double of(double[] wants, double supply) {
    Arrays.sort(wants);
    double left = supply;
    for (int index = 0; index < wants.length; index++) {
      double share = left / (wants.length - index);
      if (wants[index] >= share) {
        return share;
      }
      left -= wants[index];
    }
    return Double.MAX_VALUE;
  }
}
