package nettletrail.control.grant;

import java.util.Arrays;

/** Max-min fair division: small wants are met whole, the others get one common share. */
final class MaxMinShare {
  private MaxMinShare() {}

  /** The common share when {@code supply} is divided among wants that come to more than that. */
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
