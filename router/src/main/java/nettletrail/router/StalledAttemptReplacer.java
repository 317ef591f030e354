package nettletrail.router;

import nettletrail.configuration.Service;
import nettletrail.router.balance.BackendLoad;
import nettletrail.router.balance.ServiceBackends;
import nettletrail.router.upstream.AttemptHandle;
import nettletrail.router.upstream.UpstreamPool;

/**
 * Replaces stalled attempts of idempotent exchanges by attempts at other backends. On the event
 * loop.
 *
 * <p>A stalled attempt goes on, and its response is relayed if it continues, until the replacement
 * has a connection and the routing table, the retry budget and the backend's readiness permit it.
 * Only then is the one cancelled, and the other sent in the same turn of the loop. So an exchange
 * whose replacement is not permitted loses nothing.
 */
final class StalledAttemptReplacer {
  private final ControlView control;
  private final RouteResolver resolver;
  private final UpstreamPool pool;
  private final ExchangeCompletion completion;

  StalledAttemptReplacer(
      ControlView control,
      RouteResolver resolver,
      UpstreamPool pool,
      ExchangeCompletion completion) {
    this.control = control;
    this.resolver = resolver;
    this.pool = pool;
    this.completion = completion;
  }

  /**
   * Has a connection to another backend opened for a stalled exchange. Without effect if one is
   * being opened already, or if no other attempt is permitted now.
   */
  void replaceIfPermitted(Exchange exchange) {
    long now = System.nanoTime();
    int doors = control.doorCount();
    Resolution latest = resolver.resolution(exchange, now);
    if (exchange.attempts().hasReplacement()
        || !isPermitted(exchange, latest)
        || !exchange.service().retryBudget().allowsRetry(doors, now)) {
      return;
    }
    Service configured = latest.service();
    ServiceBackends backends = exchange.service().backends();
    BackendLoad backend = backends.choose(exchange.choice(), configured.engine(), doors, now);
    backends.pollEjected().forEach(pool::closeIdle);
    if (backend != null) {
      connect(exchange, backend, ServiceState.maxConnectionsToBackend(configured, doors));
    }
  }

  private static boolean isPermitted(Exchange exchange, Resolution latest) {
    return exchange.response().canResumeElsewhere() && exchange.isRetryPermittedBy(latest);
  }

  private void connect(Exchange exchange, BackendLoad backend, int maxConnections) {
    ReplacementAttempt replacement = exchange.createReplacement(backend, this);
    exchange.attempts().setReplacement(replacement);
    AttemptHandle handle = pool.send(backend.endpoint(), maxConnections, replacement);
    replacement.setHandle(handle);
    boolean isCurrent = exchange.attempts().isCurrentSent() && !exchange.hasEnded();
    if (replacement.isConfirmed() && isCurrent) {
      exchange.attempts().setHandle(handle);
    }
  }

  /**
   * The replacement has a connection: makes it the current attempt, in place of the stalled one, if
   * that is still permitted.
   *
   * @return whether it is to be sent
   */
  boolean confirmReplacement(ReplacementAttempt replacement) {
    Exchange exchange = replacement.exchange();
    exchange.attempts().clearReplacement();
    long now = System.nanoTime();
    Resolution latest = resolver.resolution(exchange, now);
    if (!isStillWanted(replacement, now)
        || !isPermitted(exchange, latest)
        || !exchange.service().retryBudget().tryAcquire(control.doorCount(), now)) {
      return false;
    }
    endStalledAttempt(exchange, now);
    resolved(exchange, latest, now);
    exchange.attempts().begin(replacement.backend(), latest.service().engine());
    exchange.attempts().setHandle(replacement.handle());
    exchange.attempts().recordSent(now);
    return true;
  }

  private static boolean isStillWanted(ReplacementAttempt replacement, long now) {
    Exchange exchange = replacement.exchange();
    String backendId = replacement.backend().endpoint().id();
    return !exchange.hasEnded()
        && now - exchange.deadline() < 0
        && exchange.isStalled(now)
        && exchange.isClientConnected()
        && exchange.service().backends().isReady(backendId);
  }

  private static void endStalledAttempt(Exchange exchange, long now) {
    exchange.attempts().cancelConnection();
    exchange.attempts().backend().requestAbandoned(now);
    exchange.attempts().endMayHaveRun();
    exchange.response().clearUnusableResume();
    exchange.response().releaseRelayIfNotBegun();
  }

  private void resolved(Exchange exchange, Resolution latest, long now) {
    long deadlineBefore = exchange.deadline();
    exchange.resolved(latest);
    if (exchange.deadline() != deadlineBefore) {
      completion.expireAtDeadline(exchange, now);
    }
  }

  /** The replacement's backend can't be reached: the stalled attempt goes on. */
  void connectionFailed(ReplacementAttempt replacement) {
    replacement.backend().failed(System.nanoTime());
    String backendId = replacement.backend().endpoint().id();
    replacement.exchange().attempts().replacementFailed(backendId);
  }
}
