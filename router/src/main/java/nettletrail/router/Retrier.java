package nettletrail.router;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import nettletrail.router.upstream.AttemptFailure;

/**
 * Decides whether a failed attempt is followed by another one: as the safety of a second run, the
 * route, the retry budget and the backends left permit. On the event loop.
 */
final class Retrier {
  private static final int MAX_CONNECT_FAILURES = 3;

  private final EventLoop loop;
  private final ControlView control;
  private final ExchangeCompletion completion;
  private Consumer<Exchange> resend;

  Retrier(EventLoop loop, ControlView control, ExchangeCompletion completion) {
    this.loop = loop;
    this.control = control;
    this.completion = completion;
  }

  /** Sets the sender of retries. To be called once, before the first exchange. */
  void onRetry(Consumer<Exchange> sender) {
    resend = sender;
  }

  /** The current attempt has no complete response. */
  void attemptFailed(Exchange exchange, AttemptFailure failure) {
    ExchangeAttempts attempts = exchange.attempts();
    attempts.backend().failed(System.nanoTime());
    exchange.response().clearUnusableResume();
    if (!failure.provesNotRun()) {
      attempts.endMayHaveRun();
      retryIfIdempotent(exchange);
      return;
    }
    if (attempts.isCurrentSent()) {
      uncountAttempt(exchange);
    }
    attempts.endNotRun();
    attempts.recordConnectFailure();
    if (attempts.connectFailures() < MAX_CONNECT_FAILURES) {
      startRetry(exchange);
    } else {
      completion.rejectUnavailable(exchange);
    }
  }

  /** No byte of the request reached the backend. */
  private static void uncountAttempt(Exchange exchange) {
    exchange.attempts().uncountSent();
    if (exchange.attempts().sent() > 0) {
      exchange.service().retryBudget().refund(System.nanoTime());
    }
  }

  /** The current attempt may have run: retries it if a second run is harmless. */
  void retryIfIdempotent(Exchange exchange) {
    if (exchange.isIdempotent()) {
      retry(exchange);
    } else {
      completion.rejectUnavailable(exchange);
    }
  }

  /** Retries it if route, budget and backends permit, else rejects it. */
  void retry(Exchange exchange) {
    if (mayRetry(exchange)) {
      startRetry(exchange);
    } else {
      completion.rejectUnavailable(exchange);
    }
  }

  private boolean mayRetry(Exchange exchange) {
    return exchange.response().canResumeElsewhere()
        && exchange.hasAttemptLeft()
        && exchange.service().retryBudget().allowsRetry(control.doorCount(), System.nanoTime())
        && exchange.service().backends().hasUntried(exchange.attempts().tried());
  }

  /** In a later turn of the loop: the failed connection is still on the stack. */
  private void startRetry(Exchange exchange) {
    exchange.attempts().giveUpCurrent();
    exchange.response().releaseRelayIfNotBegun();
    loop.execute(() -> resend.accept(exchange));
  }
}
