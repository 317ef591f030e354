package nettletrail.fleet;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.configuration.ConfigurationException;
import nettletrail.configuration.RoutingTable;
import nettletrail.control.door.DoorControl;
import nettletrail.control.host.ConfigurationReader;
import nettletrail.control.host.QuotaLimits;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.event.LogEvent;
import nettletrail.router.BackendEndpoint;
import nettletrail.router.ControlView;
import nettletrail.router.QuotaSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The router's view of the control plane: {@link DoorControl}, with the configuration compiled and
 * backends as endpoints.
 */
final class DoorControlView implements ControlView, QuotaSource {
  private static final Logger LOG = LoggerFactory.getLogger(DoorControlView.class);

  private final DoorControl control;
  private final boolean keysNeedConfirmation;
  private final Runnable quotaShort;
  private final Map<String, List<BackendEndpoint>> endpoints = new HashMap<>();
  private final ConfigurationReader reader = new ConfigurationReader();
  private RoutingTable routing;

  /**
   * Begins without a configuration.
   *
   * @param keysNeedConfirmation whether a door that can't confirm its configuration must stop
   *     taking keys
   * @param quotaShort run after a request found too few tokens
   */
  DoorControlView(DoorControl control, boolean keysNeedConfirmation, Runnable quotaShort) {
    this.control = control;
    this.keysNeedConfirmation = keysNeedConfirmation;
    this.quotaShort = quotaShort;
  }

  /**
   * Makes a configuration the active one, given as it is stored and sent.
   *
   * @return false if it can't be used; the active one then stays
   */
  boolean configurationChanged(ByteBuffer document) {
    try {
      RoutingTable table = reader.compile(document);
      control.grants().limitsChanged(QuotaLimits.of(table.tenants()));
      routing = table;
      return true;
    } catch (ConfigurationException unusable) {
      LOG.error(
          "{} the configuration can't be used: {}",
          LogEvent.CONFIGURATION_UNUSABLE,
          unusable.getMessage());
      return false;
    }
  }

  /** The backends of a service have changed; its endpoints are resolved again when next used. */
  void backendsChanged(String service) {
    endpoints.remove(service);
  }

  @Override
  public RoutingTable routing() {
    return routing;
  }

  @Override
  public boolean isRoutingCurrent(long nowNanos) {
    return control.isRoutingCurrent(nowNanos);
  }

  @Override
  public boolean keysConfirmed(long nowNanos) {
    return keysNeedConfirmation ? control.areKeysValid(nowNanos) : routing != null;
  }

  @Override
  public boolean routingConfirmed(long nowNanos) {
    return control.areKeysValid(nowNanos);
  }

  @Override
  public List<BackendEndpoint> backends(String service) {
    return endpoints.computeIfAbsent(service, this::readyEndpoints);
  }

  @Override
  public int doorCount() {
    return Math.max(1, control.doorCount());
  }

  @Override
  public QuotaSource quota() {
    return this;
  }

  @Override
  public boolean tryAcquire(String tenant, long tokens, long now) {
    boolean granted = control.grants().tryAcquire(tenant, tokens, now);
    if (!granted) {
      quotaShort.run();
    }
    return granted;
  }

  @Override
  public void withdraw(String tenant, long tokens) {
    control.grants().withdraw(tenant, tokens);
  }

  @Override
  public void refund(String tenant, long tokens, long now) {
    control.grants().refund(tenant, tokens);
  }

  @Override
  public double pressurePercent(String tenant) {
    return control.grants().pressure(tenant);
  }

  @Override
  public int doorsServing(String tenant) {
    return control.grants().doorsServing(tenant);
  }

  private List<BackendEndpoint> readyEndpoints(String service) {
    List<BackendEndpoint> ready = new ArrayList<>();
    for (Backend backend : control.backends(service)) {
      InetSocketAddress address = parse(backend.getAddress());
      if (backend.getState() == BackendState.READY && address != null) {
        ready.add(
            new BackendEndpoint(
                backend.getId(),
                address,
                backend.getZone(),
                Math.max(1, backend.getSlots()),
                backend.getWarmUpLeftMs()));
      }
    }
    return List.copyOf(ready);
  }

  private static InetSocketAddress parse(String hostAndPort) {
    int colon = hostAndPort.lastIndexOf(':');
    try {
      int port = Integer.parseInt(hostAndPort.substring(colon + 1));
      return new InetSocketAddress(hostAndPort.substring(0, Math.max(0, colon)), port);
    } catch (IllegalArgumentException malformed) {
      LOG.warn(
          "{} a backend's address can't be used: {}",
          LogEvent.BACKEND_ADDRESS_UNUSABLE,
          hostAndPort);
      return null;
    }
  }
}
