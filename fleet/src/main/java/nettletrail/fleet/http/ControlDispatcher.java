package nettletrail.fleet.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.Map;

/**
 * Passes requests to the {@link ControlRequestHandler} under a number of their own, and the
 * responses back to their exchanges. Readiness checks and requests that don't exist are answered
 * here. Event loop only.
 */
final class ControlDispatcher implements PipeliningHandler.RequestListener {
  private final ControlRequestHandler calls;
  private final Map<Long, PipeliningHandler.Exchange> exchanges = new HashMap<>();
  private final Map<PipeliningHandler.Exchange, Long> callNumbers = new HashMap<>();
  private long lastCall;
  private boolean ready;

  ControlDispatcher(ControlRequestHandler calls) {
    this.calls = calls;
  }

  /** Sets the result of the readiness check. */
  void setReady(boolean ready) {
    this.ready = ready;
  }

  /** The number of calls without a response whose clients are still connected. */
  int pendingCalls() {
    return exchanges.size();
  }

  /** Responds to a call; does nothing if it has a response or its client has disconnected. */
  void respond(long call, JsonResponse response) {
    PipeliningHandler.Exchange exchange = exchanges.remove(call);
    if (exchange != null) {
      callNumbers.remove(exchange);
      exchange.respond(response);
    }
  }

  @Override
  public void requestReceived(PipeliningHandler.Exchange exchange, ParsedRequest request) {
    if (request instanceof ParsedRequest.BackendRequest backend) {
      calls.backend(register(exchange), backend.method(), backend.backend());
    } else if (request instanceof ParsedRequest.ConfigurationRequest change) {
      calls.configuration(register(exchange), change.method(), change.ifMatch(), change.body());
    } else if (request instanceof ParsedRequest.StatusRequest status) {
      calls.status(register(exchange), status.resource());
    } else if (request instanceof ParsedRequest.ReadinessRequest) {
      exchange.respond(readiness());
    } else if (request instanceof ParsedRequest.MethodNotAllowed wrong) {
      exchange.respond(JsonResponse.methodNotAllowed(wrong.allowedNames()));
    } else {
      exchange.respond(JsonResponse.error(HttpResponseStatus.NOT_FOUND, "no such path"));
    }
  }

  private long register(PipeliningHandler.Exchange exchange) {
    lastCall++;
    exchanges.put(lastCall, exchange);
    callNumbers.put(exchange, lastCall);
    return lastCall;
  }

  private JsonResponse readiness() {
    return ready
        ? JsonResponse.of(HttpResponseStatus.OK.code(), null)
        : JsonResponse.error(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready yet");
  }

  @Override
  public void exchangeCancelled(PipeliningHandler.Exchange exchange) {
    Long call = callNumbers.remove(exchange);
    if (call != null) {
      exchanges.remove(call);
    }
  }
}
