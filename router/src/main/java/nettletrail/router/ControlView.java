package nettletrail.router;

import java.util.List;
import nettletrail.configuration.RoutingTable;

/**
 * What the control plane has told this door, as the router sees it. All methods are called on the
 * router's event loop and return at once. The implementation tells the router of changes by {@link
 * Router#routingChanged}, {@link Router#backendsChanged} and {@link Router#quotaGranted}.
 */
public interface ControlView {
  /** The routing in force, or null while none is known. */
  RoutingTable routing();

  /**
   * Whether requests may be routed by it. False once a newer one is known that may have been
   * acknowledged too long ago, though it hasn't come yet.
   *
   * @param nowNanos the steady clock
   */
  boolean routingIsCurrent(long nowNanos);

  /**
   * Whether keys may be used: the routing was confirmed to be the newest so lately that no key
   * which it holds can have been revoked for longer than the deployment allows.
   *
   * @param nowNanos the steady clock
   */
  boolean keysConfirmed(long nowNanos);

  /**
   * Whether the routing was confirmed lately enough to be the newest that requests may be refused
   * for good by it: with 401 or 404, after which clients don't try again.
   *
   * @param nowNanos the steady clock
   */
  boolean routingConfirmed(long nowNanos);

  /**
   * The backends of a service that are ready for requests; empty if there are none. Not to be
   * changed.
   */
  List<BackendEndpoint> backends(String service);

  /** Doors that serve, this one included; at least 1. */
  int doorCount();

  /** The tokens that this door may spend. */
  QuotaSource quota();
}
