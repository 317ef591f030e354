package nettletrail.decision;

import java.util.List;

/**
 * Limits the backends that a gateway's decisions see to the gateway's {@link Aperture}; all other
 * events pass through unchanged. A backend that leaves the subset is reported as gone: it gets no
 * new attempts, and those in flight end normally. While all backends are in the subset, the
 * delegate receives exactly the calls it would receive without an aperture.
 */
public final class ApertureGateway implements Gateway {
  private final Gateway delegate;
  private final Aperture aperture;
  private double gatewaysPerBackend;

  private ApertureGateway(Gateway delegate, Settings settings, Aperture aperture) {
    this.delegate = delegate;
    this.aperture = aperture;
    gatewaysPerBackend = settings.gatewayCount();
  }

  /**
   * Wraps the delegate with an aperture, or returns it unchanged where an aperture could have no
   * effect: it is disabled, the gateway's index is unknown, or there are no more gateways than each
   * backend should have.
   *
   * @param settings the settings of the delegate
   * @param index the gateway's index among {@code settings.gatewayCount()}, from 0; negative if
   *     unknown
   */
  public static Gateway wrap(
      Gateway delegate, Settings settings, int index, ApertureSettings aperture) {
    if (!aperture.enabled()
        || index < 0
        || index >= settings.gatewayCount()
        || settings.gatewayCount() <= aperture.minGatewaysPerBackend()) {
      return delegate;
    }
    return new ApertureGateway(delegate, settings, new Aperture(aperture, settings, index));
  }

  @Override
  public void onBackends(long now, boolean whole, List<Backend> entries) {
    Aperture.Update update = aperture.listed(whole, entries);
    if (gatewaysPerBackend != aperture.gatewaysPerBackend()) {
      gatewaysPerBackend = aperture.gatewaysPerBackend();
      delegate.onGatewaysPerBackend(now, gatewaysPerBackend);
    }
    if (update.whole() || !update.entries().isEmpty() || aperture.usesAll()) {
      delegate.onBackends(now, update.whole(), update.entries());
    }
  }

  @Override
  public void onGatewaysPerBackend(long now, double gateways) {
    delegate.onGatewaysPerBackend(now, gateways);
  }

  @Override
  public void onDiscoveryFailure(long now) {
    delegate.onDiscoveryFailure(now);
  }

  @Override
  public void onRequest(long now, Request request) {
    delegate.onRequest(now, request);
  }

  @Override
  public void onAttemptEnd(long now, AttemptReport report) {
    delegate.onAttemptEnd(now, report);
  }

  @Override
  public void onRequestCancelled(long now, long requestId) {
    delegate.onRequestCancelled(now, requestId);
  }

  @Override
  public void onTimer(long now, int token) {
    delegate.onTimer(now, token);
  }
}
