package nettletrail.core;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request after validation.
 *
 * @param uri path and query, unchanged
 * @param requestId the id that the client chose, from {@code X-Txn}
 * @param requestClass index into the settings' request classes
 * @param plan index into the settings' plans
 * @param customerDoorCount number of front doors that receive the customer's requests; at least 1
 * @param remainingMs ms that the client still waits
 * @param body sent with every attempt; owned by the request from {@link Dispatcher#accept} on, and
 *     released when the request has ended
 * @param maxHoldNanos longest time in ns that the decision module may hold the request before it
 *     chooses a backend or rejects it; {@link Long#MAX_VALUE} for as long as the client waits
 * @param authorization the client's credentials as sent, or null; never forwarded
 */
public record InboundRequest(
    HttpMethod method,
    String uri,
    String requestId,
    int requestClass,
    int plan,
    long customer,
    double units,
    int customerDoorCount,
    long remainingMs,
    ByteBuf body,
    long maxHoldNanos,
    String authorization) {

  /** A request without credentials. */
  public InboundRequest(
      HttpMethod method,
      String uri,
      String requestId,
      int requestClass,
      int plan,
      long customer,
      double units,
      int customerDoorCount,
      long remainingMs,
      ByteBuf body,
      long maxHoldNanos) {
    this(
        method,
        uri,
        requestId,
        requestClass,
        plan,
        customer,
        units,
        customerDoorCount,
        remainingMs,
        body,
        maxHoldNanos,
        null);
  }

  /** Leaves the credentials out, as the text may be logged. */
  @Override
  public String toString() {
    return "Arrival[" + requestId + "]";
  }

  /** The same request, for a frontend that must choose a backend within a time budget in ns. */
  public InboundRequest withMaxHold(long maxHoldNanos) {
    return new InboundRequest(
        method,
        uri,
        requestId,
        requestClass,
        plan,
        customer,
        units,
        customerDoorCount,
        remainingMs,
        body,
        maxHoldNanos,
        authorization);
  }
}
