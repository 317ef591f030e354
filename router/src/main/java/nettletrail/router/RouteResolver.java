package nettletrail.router;

/** Resolves exchanges with the active routing table of the control plane. On the event loop. */
final class RouteResolver {
  private final ControlView control;

  RouteResolver(ControlView control) {
    this.control = control;
  }

  /** Sets the exchange's resolution to what the active routing table says now. */
  void resolve(Exchange exchange, long now) {
    exchange.resolved(resolution(exchange, now));
  }

  /** What the active routing table says now about the exchange's request; changes nothing. */
  Resolution resolution(Exchange exchange, long now) {
    return Resolution.of(
        control.isRoutingCurrent(now) ? control.routing() : null,
        exchange.request(),
        control.keysConfirmed(now),
        control.routingConfirmed(now),
        exchange.draw());
  }
}
