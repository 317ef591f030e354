package nettletrail.router;

import java.util.List;
import nettletrail.configuration.RoutingTable;

/**
 * The control plane's state at this door, as the router reads it. All methods are called on the
 * router's event loop and must not block. The implementation notifies the router of changes by
 * {@link Router#routingChanged}, {@link Router#backendsChanged} and {@link Router#quotaGranted}.
 */
public interface ControlView {
  /** The active routing table, or null while there is none. */
  RoutingTable routing();

  /**
   * Whether requests may be routed by it. False once a newer one that has not arrived yet may have
   * been acknowledged to the operator too long ago.
   *
   * @param nowNanos the steady clock, in ns
   */
  boolean isRoutingCurrent(long nowNanos);

  /**
   * Whether keys may be used: the routing table was confirmed as the newest so lately that none of
   * its keys can have been revoked for longer than the deployment permits.
   *
   * @param nowNanos the steady clock, in ns
   */
  boolean keysConfirmed(long nowNanos);

  /**
   * Whether the routing table was confirmed as the newest lately enough for final rejections: 401
   * and 404, after which clients don't retry.
   *
   * @param nowNanos the steady clock, in ns
   */
  boolean routingConfirmed(long nowNanos);

  /**
   * The ready backends of a service; empty if there are none. The router doesn't modify the list.
   */
  List<BackendEndpoint> backends(String service);

  /** Number of serving doors, this one included; at least 1. */
  int doorCount();

  /** The quota grants of this door. */
  QuotaSource quota();
}
