package nettletrail.router;

/** The router, as its client connections see it. On the event loop. */
interface ClientConnectionOwner extends PartialRequestTracker.DeadlineSource {
  /** Creates the exchange of a request, which the connection's responder answers. */
  Exchange createExchange(ClientConnection connection, ClientRequest request);

  /** Starts an exchange; it may end before this returns. */
  void start(Exchange exchange);

  /** The rejection of a request for whose body there is no memory. */
  Rejection withoutMemory();

  /** Whether responses should close their connections, since the process shuts down. */
  boolean isDraining();

  /** A connection was accepted. */
  void opened(ClientConnection connection);

  /** A connection was closed; may be called more than once. */
  void closed(ClientConnection connection);
}
