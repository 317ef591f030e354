package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import nettletrail.configuration.RouteKind;
import nettletrail.router.balance.BackendLoad;
import nettletrail.router.upstream.AttemptFailure;
import nettletrail.router.upstream.ResponseFraming;

/**
 * Relays a backend's response to the client, or has the request retried if it can't be relayed. On
 * the event loop.
 */
final class ResponseHandler {
  private final Retrier retrier;
  private final ExchangeCompletion completion;
  private final BufferMemory memory;

  ResponseHandler(Retrier retrier, ExchangeCompletion completion, BufferMemory memory) {
    this.retrier = retrier;
    this.completion = completion;
    this.memory = memory;
  }

  /** The current attempt's final response has started. */
  void started(Exchange exchange, HttpResponse head) {
    if (exchange.response().relay() instanceof EventStreamResponse stream && stream.hasBegun()) {
      if (isEventStream(exchange, head)) {
        stream.resume(head);
      } else {
        exchange.response().setUnusableResume(head);
      }
      return;
    }
    exchange.response().relayWith(createRelay(exchange, head));
  }

  private ResponseRelay createRelay(Exchange exchange, HttpResponse head) {
    ClientResponder client = exchange.client();
    if (!isEventStream(exchange, head)) {
      return new BufferedResponse(head, memory);
    }
    return new EventStreamResponse(
        client, head, exchange.route().resume(), exchange.request().lastEventId());
  }

  private static boolean isEventStream(Exchange exchange, HttpResponse head) {
    return exchange.route().kind() == RouteKind.STREAM
        && !exchange.attempt().isHeadRequest()
        && head.status().equals(HttpResponseStatus.OK)
        && ResponseValidator.isGenuine(head, exchange.request().attemptId())
        && !exchange.request().isHttp10();
  }

  /** Bytes of the response's body. */
  void content(Exchange exchange, ByteBuf content) {
    if (exchange.response().unusableResume() != null) {
      return;
    }
    exchange.response().relay().content(content);
    if (exchange.response().relay() instanceof EventStreamResponse stream && stream.isInvalid()) {
      exchange.attempts().cancelConnection();
      retrier.attemptFailed(exchange, AttemptFailure.INVALID_RESPONSE);
    }
  }

  /** The response is complete. */
  void ended(Exchange exchange) {
    if (exchange.response().unusableResume() != null) {
      unusableResumeEnded(exchange);
    } else if (exchange.response().relay() instanceof EventStreamResponse stream) {
      streamEnded(exchange, stream);
    } else {
      bufferedEnded(exchange, (BufferedResponse) exchange.response().relay());
    }
  }

  /** A response that can't continue the client's stream is dropped, and the request retried. */
  private void unusableResumeEnded(Exchange exchange) {
    boolean notRun = ResponseValidator.provesNotRun(exchange.response().unusableResume());
    exchange.response().clearUnusableResume();
    exchange.attempts().backend().succeeded(System.nanoTime());
    if (notRun) {
      exchange.attempts().endNotRun();
    } else {
      exchange.attempts().endMayHaveRun();
    }
    retrier.retry(exchange);
  }

  private void streamEnded(Exchange exchange, EventStreamResponse stream) {
    if (stream.isTruncated()) {
      retrier.attemptFailed(exchange, AttemptFailure.CONNECTION_LOST);
      return;
    }
    exchange.attempts().backend().succeeded(System.nanoTime());
    exchange.attempts().endMayHaveRun();
    completion.end(exchange);
    stream.end();
    stream.release();
  }

  private void bufferedEnded(Exchange exchange, BufferedResponse response) {
    HttpResponse head = response.head();
    BackendLoad backend = exchange.attempts().backend();
    if (ResponseValidator.provesNotRun(head)) {
      backend.succeeded(System.nanoTime());
      exchange.attempts().endNotRun();
      retrier.retry(exchange);
      return;
    }
    exchange.attempts().endMayHaveRun();
    if (response.isTooLarge()
        || !ResponseValidator.mayForward(head, exchange.request().attemptId())) {
      backend.failed(System.nanoTime());
      retrier.retryIfIdempotent(exchange);
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.SERVER_ERROR) {
      backend.respondedWithError(System.nanoTime());
    } else {
      backend.succeeded(System.nanoTime());
    }
    completion.end(exchange);
    ResponseFraming framing = ResponseFraming.of(head, exchange.attempt().isHeadRequest());
    exchange.client().forward(head, response.body(), framing == ResponseFraming.NO_BODY);
    response.release();
  }
}
