package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import nettletrail.configuration.RouteKind;
import nettletrail.router.upstream.AnswerFraming;
import nettletrail.router.upstream.AttemptFailure;
import nettletrail.router.upstream.UpstreamPool;

/** Passes a backend's answer on, or has the request sent again. On the event loop. */
final class AnswerHandler {
  private final AttemptSender sender;
  private final Completion completion;

  AnswerHandler(AttemptSender sender, Completion completion) {
    this.sender = sender;
    this.completion = completion;
  }

  void began(Exchange exchange, HttpResponse head) {
    if (exchange.relay instanceof StreamAnswer stream && stream.hasBegun()) {
      if (isStream(exchange, head)) {
        stream.resumeWithNextBackend(head);
      } else {
        exchange.rejected = new BufferedAnswer(head, exchange.client.allocator());
      }
      return;
    }
    exchange.dropRelay();
    exchange.relay = relayOf(exchange, head);
  }

  private static AnswerRelay relayOf(Exchange exchange, HttpResponse head) {
    if (!isStream(exchange, head)) {
      return new BufferedAnswer(head, exchange.client.allocator());
    }
    return new StreamAnswer(
        exchange.client,
        head,
        exchange.route().resume(),
        exchange.request.lastEventId(),
        exchange.client.allocator());
  }

  private static boolean isStream(Exchange exchange, HttpResponse head) {
    return exchange.route().kind() == RouteKind.STREAM
        && head.status().equals(HttpResponseStatus.OK)
        && AnswerRules.isGenuine(head, exchange.attemptId())
        && !exchange.request.isHttp10();
  }

  void content(Exchange exchange, ByteBuf content) {
    if (exchange.rejected != null) {
      return;
    }
    exchange.relay.content(content);
    if (exchange.relay instanceof StreamAnswer stream && stream.hasGap()) {
      UpstreamPool.Ticket ticket = exchange.ticket;
      if (ticket != null) {
        ticket.cancel();
      }
      sender.failed(exchange, AttemptFailure.GARBLED);
    }
  }

  void ended(Exchange exchange) {
    if (exchange.rejected != null) {
      rejectedEnded(exchange);
    } else if (exchange.relay instanceof StreamAnswer stream && stream.isCutInsideEvent()) {
      sender.failed(exchange, AttemptFailure.BROKEN);
    } else if (exchange.relay instanceof StreamAnswer stream) {
      exchange.backend.succeeded(System.nanoTime());
      exchange.sendOver(true);
      completion.over(exchange);
      stream.end();
      stream.drop();
    } else {
      bufferedEnded(exchange, (BufferedAnswer) exchange.relay);
    }
  }

  /** What a further backend answered in the middle of a stream can't be passed on. */
  private void rejectedEnded(Exchange exchange) {
    boolean notRun = AnswerRules.isNotRun(exchange.rejected.head());
    exchange.rejected = null;
    exchange.backend.succeeded(System.nanoTime());
    exchange.sendOver(!notRun);
    sender.tryAgain(exchange);
  }

  private void bufferedEnded(Exchange exchange, BufferedAnswer answer) {
    HttpResponse head = answer.head();
    if (AnswerRules.isNotRun(head)) {
      exchange.backend.succeeded(System.nanoTime());
      exchange.sendOver(false);
      sender.tryAgain(exchange);
      return;
    }
    exchange.sendOver(true);
    if (answer.isTooLarge() || !AnswerRules.mayPass(head, exchange.attemptId())) {
      exchange.backend.failed(System.nanoTime());
      sender.tryAgainIfIdempotent(exchange);
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.SERVER_ERROR) {
      exchange.backend.respondedWithError(System.nanoTime());
    } else {
      exchange.backend.succeeded(System.nanoTime());
    }
    completion.over(exchange);
    boolean bodiless = AnswerFraming.of(head, exchange.isHeadRequest()) == AnswerFraming.NO_BODY;
    exchange.client.forward(head, answer.body(), bodiless);
    answer.drop();
  }
}
