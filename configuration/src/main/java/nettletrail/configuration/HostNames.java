package nettletrail.configuration;

import java.util.Locale;

/** Normalizes host names for comparison (RFC 9110, 4.2.3). */
final class HostNames {
  private HostNames() {}

  /** The host in lower case and without port; the brackets of an IPv6 address stay. */
  static String normalized(String host) {
    int colon = host.lastIndexOf(':');
    boolean hasPort = colon > host.lastIndexOf(']');
    String name = hasPort ? host.substring(0, colon) : host;
    return name.toLowerCase(Locale.ROOT);
  }
}
