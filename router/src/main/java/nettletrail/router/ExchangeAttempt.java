package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import nettletrail.router.upstream.Attempt;
import nettletrail.router.upstream.AttemptFailure;
import nettletrail.upstream.HeadBytes;

/**
 * The side of an exchange that the connection to a backend calls: supplies the request and passes
 * events on to {@link ExchangeHandlers}. One for all attempts of the exchange, which follow each
 * other. On the event loop.
 */
class ExchangeAttempt implements Attempt {
  private final Exchange exchange;
  private final ExchangeHandlers handlers;

  ExchangeAttempt(Exchange exchange, ExchangeHandlers handlers) {
    this.exchange = exchange;
    this.handlers = handlers;
  }

  @Override
  public boolean confirmSend() {
    return handlers.sender().confirmSend(exchange);
  }

  @Override
  public HeadBytes head() {
    long timeLeftMs = Math.max(1, exchange.timeLeftMs(System.nanoTime()));
    return RequestHead.write(
        exchange.request(),
        exchange.resolution(),
        exchange.attempts().backend().endpoint().id(),
        timeLeftMs,
        exchange.response().resumeAfter());
  }

  @Override
  public ByteBuf body() {
    return exchange.request().body();
  }

  @Override
  public boolean isHeadRequest() {
    return exchange.request().method().equals(HttpMethod.HEAD);
  }

  @Override
  public String attemptId() {
    return exchange.request().attemptId();
  }

  @Override
  public void responseStarted(HttpResponse head) {
    exchange.attempts().backend().bytesReceived(System.nanoTime());
    handlers.responses().started(exchange, head);
  }

  @Override
  public void responseContent(ByteBuf content) {
    exchange.attempts().contentReceived(exchange.service().backends());
    handlers.responses().content(exchange, content);
  }

  @Override
  public void responseReadComplete() {
    exchange.attempts().backend().bytesReceived(System.nanoTime());
    exchange.response().flush();
  }

  @Override
  public void responseEnded() {
    handlers.responses().ended(exchange);
  }

  @Override
  public void failed(AttemptFailure failure) {
    handlers.retrier().attemptFailed(exchange, failure);
  }
}
