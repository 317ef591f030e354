package nettletrail.core;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import nettletrail.decision.Gateway;

/**
 * A backend as listed by discovery.
 *
 * @param id derived from the name, so that it is the same at every front door and after a restart
 * @param name the backend's name in the list
 * @param address where the backend listens; null if the list has no usable address
 * @param startedAtMs the backend's last start in ms of Unix time, 0 for long ago
 */
public record Endpoint(
    long id,
    String name,
    SocketAddress address,
    String zone,
    String type,
    int group,
    Gateway.DiscoveryState state,
    double weight,
    long startedAtMs) {

  /** Receives endpoint updates. Called on the event loop. */
  public interface Listener {
    void endpointsUpdated(boolean whole, List<Endpoint> entries);

    void discoveryFailed();
  }

  /**
   * The FNV-1a hash of the name. A local counter would differ between front doors and after a
   * restart.
   */
  public static long idOf(String name) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
    }
    return hash;
  }

  /**
   * Parses {@code HOST:PORT} with a numeric host; null otherwise: there is no DNS, and a lookup
   * would block the event loop.
   */
  public static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    InetAddress host =
        colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
    if (host == null) {
      return null;
    }
    try {
      return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
    } catch (IllegalArgumentException e) {
      return null;
    }
  }
}
