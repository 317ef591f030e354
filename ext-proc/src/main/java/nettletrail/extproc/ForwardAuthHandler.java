package nettletrail.extproc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import nettletrail.core.Authorizer;
import nettletrail.core.BackendReport;
import nettletrail.core.Endpoint;
import nettletrail.core.RequestValidator;
import nettletrail.decision.Gateway.Outcome;
import nettletrail.http.RequestHeadValidator;

/**
 * Handles one HTTP connection of a proxy: {@code /v1/ask} requests a decision in the forward-auth
 * or {@code auth_request} form (2xx with headers means forward), {@code /v1/outcome} reports the
 * outcome, {@code /v1/counts} returns the counters. Pipelined requests are answered in order.
 */
final class ForwardAuthHandler extends SimpleChannelInboundHandler<FullHttpRequest>
    implements DecisionListener {
  private static final String DECISION_PATH = "/v1/ask";
  private static final String OUTCOME_PATH = "/v1/outcome";
  private static final String COUNTERS_PATH = "/v1/counts";

  /** Headers with the original request's method; forward-auth calls themselves are always GET. */
  private static final List<String> METHOD_HEADERS =
      List.of("X-Forwarded-Method", "X-Original-Method");

  private static final List<String> PATH_HEADERS = List.of("X-Forwarded-Uri", "X-Original-URI");
  private static final String ATTEMPT_COUNT_HEADER = "x-envoy-attempt-count";
  private static final String DECISION_HEADER = "X-Gateway-Decision";
  private static final String STATUS_HEADER = "X-Gateway-Status";
  private static final String OUTCOME_HEADER = "X-Gateway-Outcome";

  /**
   * Maximum number of requests pipelined behind the current one; above it, the connection is
   * closed.
   */
  private static final int MAX_PIPELINED = 16;

  /** Headers that must not be repeated, in addition to those of {@link RequestHeadValidator}. */
  private static final List<String> SINGLE_VALUE_HEADERS =
      List.of(
          METHOD_HEADERS.get(0),
          METHOD_HEADERS.get(1),
          PATH_HEADERS.get(0),
          PATH_HEADERS.get(1),
          ATTEMPT_COUNT_HEADER,
          OUTCOME_HEADER);

  private final Processor processor;
  private final BackendReport.Reader reportReader;
  private final ExtProcSettings settings;
  private final Queue<FullHttpRequest> pipelined = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private Processor.OpenRequest openRequest;
  private boolean busy;
  private boolean keepAlive;
  private boolean denyAs403;

  /**
   * Whether the current request is a HEAD: its response has a content length but no body (RFC 9110
   * section 9.3.2).
   */
  private boolean headRequest;

  ForwardAuthHandler(
      Processor processor, BackendReport.Reader reportReader, ExtProcSettings settings) {
    this.processor = processor;
    this.reportReader = reportReader;
    this.settings = settings;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext channelContext, FullHttpRequest request) {
    if (busy) {
      if (pipelined.size() >= MAX_PIPELINED) {
        processor.logLimited(
            "http: over " + MAX_PIPELINED + " pipelined requests; connection closed");
        channelContext.close();
      } else {
        pipelined.add(request.retain());
      }
      return;
    }
    handle(request);
  }

  private void handle(FullHttpRequest request) {
    busy = true;
    keepAlive = HttpUtil.isKeepAlive(request);
    denyAs403 = false;
    headRequest = request.method().equals(HttpMethod.HEAD);
    RequestHeadValidator.HeadError fault = RequestHeadValidator.findError(request);
    if (fault != null) {
      keepAlive &= fault.endKnown();
      answer(fault.status().code(), "malformed", 0, fault.message());
      return;
    }
    HttpHeaders headers = request.headers();
    String repeatedHeader = RequestHeadValidator.findRepeated(headers, SINGLE_VALUE_HEADERS);
    if (repeatedHeader == null
        && (containsBoth(headers, METHOD_HEADERS) || containsBoth(headers, PATH_HEADERS))) {
      repeatedHeader = "the request's method or path";
    }
    if (repeatedHeader != null) {
      answer(400, "malformed", 0, repeatedHeader + " is there twice: it must be there once");
      return;
    }
    QueryStringDecoder uri;
    try {
      uri = new QueryStringDecoder(request.uri());
      denyAs403 = List.of("403").equals(uri.parameters().get("deny"));
    } catch (IllegalArgumentException e) {
      answer(400, "malformed", 0, "the query can't be read");
      return;
    }
    switch (uri.path()) {
      case DECISION_PATH -> openRequest(headers);
      case OUTCOME_PATH -> outcome(request.method(), headers);
      case COUNTERS_PATH -> counters();
      default ->
          answer(
              404,
              "malformed",
              0,
              "there is " + DECISION_PATH + ", " + OUTCOME_PATH + " and " + COUNTERS_PATH);
    }
  }

  private void openRequest(HttpHeaders headers) {
    String method = first(headers, METHOD_HEADERS);
    String path = first(headers, PATH_HEADERS);
    String attemptText = headers.get(ATTEMPT_COUNT_HEADER);
    int attempt = attemptText == null ? 0 : parseNonNegative(attemptText);
    if (attempt < 0
        || method != null
            && (method.isEmpty()
                || method.length() > 16
                || !method.chars().allMatch(each -> each >= 'A' && each <= 'Z'))) {
      answer(
          400,
          "malformed",
          0,
          attempt < 0
              ? ATTEMPT_COUNT_HEADER + " must be a whole number"
              : "X-Forwarded-Method must " + "be the request's method");
      return;
    }
    Processor.OpenRequest accepted =
        processor.decide(
            this,
            method == null ? null : HttpMethod.valueOf(method),
            path == null ? "/" : path,
            headers::get,
            attempt);
    openRequest = busy ? accepted : null;
  }

  private static boolean containsBoth(HttpHeaders headers, List<String> names) {
    return headers.contains(names.get(0)) && headers.contains(names.get(1));
  }

  private static String first(HttpHeaders headers, List<String> names) {
    for (String name : names) {
      if (headers.contains(name)) {
        return headers.get(name);
      }
    }
    return null;
  }

  private static int parseNonNegative(String text) {
    boolean digits =
        !text.isEmpty() && text.length() <= 9 && text.chars().allMatch(c -> c >= '0' && c <= '9');
    return digits ? Integer.parseInt(text) : -1;
  }

  private void outcome(HttpMethod method, HttpHeaders headers) {
    String id = headers.get(RequestValidator.TXN);
    String outcomeText = headers.get(OUTCOME_HEADER);
    int status = outcomeText == null ? -1 : parseNonNegative(outcomeText);
    Outcome outcome =
        outcomeText == null
            ? null
            : status >= 200 && status <= 599
                ? OutcomeClassifier.classify(status, "1".equals(headers.get("X-Turned-Away")), null)
                : OutcomeClassifier.fromName(outcomeText);
    if (!method.equals(HttpMethod.POST) || !RequestValidator.isRequestId(id) || outcome == null) {
      answer(
          400,
          "malformed",
          0,
          "an outcome is a POST with X-Txn of the request and "
              + OUTCOME_HEADER
              + ": the answer's "
              + "status, or not-sent, connect-failed, reset, timed-out or cancelled");
      return;
    }
    Processor.OutcomeReportResult result =
        processor.outcome(id, outcome, reportReader.read(headers::get));
    switch (result) {
      case ACCEPTED -> answer(200, "taken", 0, "taken");
      case TOO_LATE ->
          answer(409, "too-late", 0, "its outcome was told before, or its time was up");
      case NO_DECISION ->
          answer(
              404,
              "no-decision",
              0,
              "nothing was handed out under this id, or it is no " + "longer remembered");
    }
  }

  private void counters() {
    try {
      respond(
          200,
          Unpooled.copiedBuffer(
              com.fasterxml.jackson.jr.ob.JSON.std.asString(processor.counters().all()),
              StandardCharsets.UTF_8),
          response -> response.set(HttpHeaderNames.CONTENT_TYPE, "application/json"));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  // ---- Responses to a decision request
  // ----------------------------------------------------------------

  @Override
  public void forward(Endpoint endpoint, long remainingMs, boolean unsafe) {
    String hostPort = ExtProcResponses.hostPort(endpoint.address());
    openRequest = null; // the outcome is reported by a separate call
    respond(
        200,
        Unpooled.EMPTY_BUFFER,
        headers -> {
          headers.set(DECISION_HEADER, "forward");
          headers.set("X-Remaining-Ms", Long.toString(remainingMs));
          if (!settings.destinationHeader().isEmpty()) {
            headers.set(settings.destinationHeader(), hostPort);
          }
          if (!settings.originalDstHeader().isEmpty()) {
            headers.set(settings.originalDstHeader(), hostPort);
          }
        });
  }

  @Override
  public void refuse(long retryAfterNanos) {
    answer(429, "refuse", retryAfterNanos, "refused; trying again is harmless");
  }

  @Override
  public void fail(int status, String reason) {
    answer(status, "fail", 0, reason);
  }

  @Override
  public void deny(Authorizer.Denial denial) {
    answer(denial.status(), "deny", denial.retryAfterNanos(), denial.challenge(), denial.message());
  }

  @Override
  public void malformed(String what) {
    answer(400, "malformed", 0, what);
  }

  private void answer(int status, String decision, long retryAfterNanos, String reason) {
    answer(status, decision, retryAfterNanos, "", reason);
  }

  private void answer(
      int status, String decision, long retryAfterNanos, String challenge, String reason) {
    boolean denied = denyAs403 && status >= 400;
    respond(
        denied ? 403 : status,
        Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8),
        headers -> {
          headers.set(DECISION_HEADER, decision);
          headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
          if (denied) {
            headers.set(STATUS_HEADER, Integer.toString(status));
          }
          if (!challenge.isEmpty()) {
            headers.set(HttpHeaderNames.WWW_AUTHENTICATE, challenge);
          }
          if (retryAfterNanos > 0) {
            headers.set(
                HttpHeaderNames.RETRY_AFTER, ExtProcResponses.retryAfterSeconds(retryAfterNanos));
          }
        });
  }

  private void respond(
      int status, ByteBuf body, java.util.function.Consumer<HttpHeaders> addHeaders) {
    if (!busy) {
      body.release();
      return;
    }
    busy = false;
    openRequest = null;
    String length = Integer.toString(body.readableBytes());
    if (headRequest) {
      body.clear();
    }
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
    addHeaders.accept(response.headers());
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    if (keepAlive) {
      context.writeAndFlush(response, context.voidPromise());
      handleNext();
    } else {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
  }

  private void handleNext() {
    FullHttpRequest nextRequest = pipelined.poll();
    if (nextRequest != null) {
      // Scheduled as a task: handling many pipelined requests in one call stack would recurse.
      context
          .executor()
          .execute(
              () -> {
                try {
                  if (context.channel().isActive()) {
                    handle(nextRequest);
                  }
                } finally {
                  nextRequest.release();
                }
              });
      busy = true; // requests that arrive meanwhile queue behind it
    }
  }

  /** Whether no request is pending, so that the connection may be closed. */
  boolean idle() {
    return !busy && pipelined.isEmpty();
  }

  @Override
  public void channelInactive(ChannelHandlerContext channelContext) {
    pipelined.forEach(FullHttpRequest::release);
    pipelined.clear();
    busy = false;
    if (openRequest != null) {
      Processor.OpenRequest abandoned = openRequest;
      openRequest = null;
      processor.callerGone(abandoned, this);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext channelContext, Throwable fault) {
    processor.logLimited(
        "http: connection closed after an error: " + fault.getClass().getSimpleName());
    channelContext.close();
  }
}
