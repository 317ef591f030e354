package nettletrail.fleet.settings;

import io.netty.util.NetUtil;

/** The syntax of IP addresses and ports in settings. */
final class Addresses {
  /** What {@link #parsePort} returns for a text that is no port. */
  static final int INVALID_PORT = -1;

  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  static boolean isIpV4(String text) {
    return NetUtil.isValidIpV4Address(text);
  }

  /** Whether a text is {@code ip:port}. */
  static boolean isIpAndPort(String text) {
    int colon = text.lastIndexOf(':');
    return colon > 0
        && isIpV4(text.substring(0, colon))
        && parsePort(text.substring(colon + 1)) != INVALID_PORT;
  }

  /** A port from 0 to 65535, or {@link #INVALID_PORT}. */
  static int parsePort(String text) {
    try {
      int port = Integer.parseInt(text);
      return port >= 0 && port <= MAX_PORT ? port : INVALID_PORT;
    } catch (NumberFormatException notANumber) {
      return INVALID_PORT;
    }
  }
}
