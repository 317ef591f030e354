package nettletrail.extproc;

import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.extensions.filters.http.ext_proc.v3.ProcessingMode.BodySendMode;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.ProtocolConfiguration;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.netty.handler.codec.http.HttpMethod;
import nettletrail.core.Authorizer;
import nettletrail.core.BackendReport;
import nettletrail.core.Endpoint;
import nettletrail.decision.Gateway.Outcome;

/**
 * One stream of {@code envoy.service.ext_proc.v3.ExternalProcessor/Process}: one HTTP request in a
 * proxy, from its request headers to its response. Each message of the proxy gets one response, in
 * the same order; an immediate response ends the stream. Runs on the event loop, because the server
 * uses a direct executor.
 */
final class ExtProcStream implements StreamObserver<ProcessingRequest>, DecisionListener {
  /**
   * Maximum number of body messages before the decision; a proxy that sends more violates the
   * protocol.
   */
  private static final int MAX_EARLY_MESSAGES = 1_024;

  private enum Phase {
    START,
    AWAITING_DECISION,
    FORWARDED,
    RESPONSE_SEEN,
    CLOSED
  }

  private final Processor processor;
  private final ExtProcResponses responses;
  private final BackendReport.Reader reportReader;
  private final boolean trustsCodeDetails;
  private final ServerCallStreamObserver<ProcessingResponse> responseObserver;
  private Phase phase = Phase.START;
  private Processor.OpenRequest openRequest;
  private String requestId;
  private boolean observabilityMode;
  private int earlyBodyMessages;
  private boolean earlyRequestTrailers;

  ExtProcStream(
      Processor processor,
      ExtProcResponses responses,
      BackendReport.Reader reportReader,
      ExtProcSettings settings,
      ServerCallStreamObserver<ProcessingResponse> responseObserver) {
    this.processor = processor;
    this.responses = responses;
    this.reportReader = reportReader;
    this.responseObserver = responseObserver;
    trustsCodeDetails = settings.suppressRetries();
    responseObserver.setOnCancelHandler(this::streamEnded);
  }

  // ---- Messages from the proxy
  // ------------------------------------------------------------------------

  @Override
  public void onNext(ProcessingRequest message) {
    if (phase == Phase.CLOSED) {
      return;
    }
    if (phase == Phase.START && !isSupported(message)) {
      return;
    }
    if (observabilityMode || message.getObservabilityMode()) {
      return; // in observability mode the proxy continues regardless and reads no responses
    }
    switch (message.getRequestCase()) {
      case REQUEST_HEADERS -> requestHeaders(message);
      case REQUEST_BODY -> requestBodyOrTrailers(false, "request_body");
      case REQUEST_TRAILERS -> requestBodyOrTrailers(true, "request_trailers");
      case RESPONSE_HEADERS -> responseHeaders(message);
      case RESPONSE_BODY -> responseBodyOrTrailers(ExtProcResponses.RESPONSE_BODY, "response_body");
      case RESPONSE_TRAILERS ->
          responseBodyOrTrailers(ExtProcResponses.RESPONSE_TRAILERS, "response_trailers");
      case REQUEST_NOT_SET ->
          protocolError(
              "a message without a request: one of request_headers, request_body, "
                  + "request_trailers, response_headers, response_body, response_trailers must be set");
    }
  }

  /** Whether the processing modes that the first message announces are supported. */
  private boolean isSupported(ProcessingRequest first) {
    if (first.getObservabilityMode()) {
      observabilityMode = true;
      return true;
    }
    if (first.hasProtocolConfig()) {
      ProtocolConfiguration modes = first.getProtocolConfig();
      return isSupported(modes.getRequestBodyMode(), "request_body_mode")
          && isSupported(modes.getResponseBodyMode(), "response_body_mode");
    }
    return true;
  }

  private boolean isSupported(BodySendMode mode, String key) {
    return switch (mode) {
      case NONE, STREAMED, BUFFERED, BUFFERED_PARTIAL -> true;
      case FULL_DUPLEX_STREAMED, UNRECOGNIZED -> {
        endWithError(
            Status.FAILED_PRECONDITION,
            key
                + " "
                + mode
                + " is not served: bodies are not looked at here and "
                + "would have to be sent back; set it to NONE");
        yield false;
      }
    };
  }

  private void requestHeaders(ProcessingRequest message) {
    KnownHeaders headers = new KnownHeaders(message.getRequestHeaders().getHeaders());
    if (phase != Phase.START) {
      repeatedRequestHeaders(headers);
      return;
    }
    phase = Phase.AWAITING_DECISION;
    if (headers.error() != null) {
      malformed(headers.error());
      return;
    }
    requestId = headers.apply("x-txn");
    String method = headers.apply(KnownHeaders.METHOD);
    String path = headers.apply(KnownHeaders.PATH);
    openRequest =
        processor.decide(
            this,
            method == null ? null : HttpMethod.valueOf(method),
            path == null ? "/" : path,
            headers,
            Math.max(0, headers.nonNegativeInt(KnownHeaders.ATTEMPT_COUNT)));
  }

  /**
   * A proxy may resend the request headers after its message timeout; the stream still serves one
   * request.
   */
  private void repeatedRequestHeaders(KnownHeaders headers) {
    if (requestId == null || !requestId.equals(headers.apply("x-txn"))) {
      protocolError(
          "request_headers of another request: a stream is for one request, open another for the next");
    } else if (phase == Phase.AWAITING_DECISION) {
      processor.counters().duplicates++; // the pending response answers both
    } else if (openRequest != null && !openRequest.unsafe()) {
      protocolError("request_headers after their decision: open another stream to ask again");
    } else {
      processor.counters().duplicates++;
      fail(502, "it was handed out before and may have run");
    }
  }

  /** Bodies and trailers are not read or buffered; only the number of responses due is counted. */
  private void requestBodyOrTrailers(boolean trailers, String description) {
    if (phase == Phase.START) {
      protocolError(description + " before request_headers: set request_header_mode to SEND");
    } else if (phase == Phase.AWAITING_DECISION) {
      earlyRequestTrailers |= trailers;
      earlyBodyMessages += trailers ? 0 : 1;
      if (earlyBodyMessages > MAX_EARLY_MESSAGES) {
        protocolError(
            "over "
                + MAX_EARLY_MESSAGES
                + " messages before the decision: set request_body_mode to NONE");
      }
    } else if (phase == Phase.FORWARDED || phase == Phase.RESPONSE_SEEN) {
      send(trailers ? ExtProcResponses.REQUEST_TRAILERS : ExtProcResponses.REQUEST_BODY);
    }
  }

  private void responseHeaders(ProcessingRequest message) {
    if (phase == Phase.START) {
      protocolError("response_headers before request_headers: set request_header_mode to SEND");
      return;
    }
    if (phase == Phase.AWAITING_DECISION) {
      protocolError(
          "response_headers before the decision: a request must not go on before it has one; "
              + "set failure_mode_allow to false");
      return;
    }
    KnownHeaders headers = new KnownHeaders(message.getResponseHeaders().getHeaders());
    int status = headers.nonNegativeInt(KnownHeaders.STATUS);
    if (status < 100 || status > 599) {
      protocolError("response_headers without a sound :status");
      return;
    }
    boolean repeated = phase == Phase.RESPONSE_SEEN;
    phase = Phase.RESPONSE_SEEN;
    if (status < 200) {
      phase = Phase.FORWARDED;
      send(ExtProcResponses.RESPONSE_HEADERS); // 1xx: the final response is still to come
      return;
    }
    String codeDetails =
        trustsCodeDetails || openRequest != null && !openRequest.unsafe()
            ? codeDetails(message)
            : null;
    Outcome outcome =
        OutcomeClassifier.classify(
            status, "1".equals(headers.apply(KnownHeaders.NOT_STARTED)), codeDetails);
    if (repeated) {
      send(ExtProcResponses.RESPONSE_HEADERS);
      return;
    }
    processor.outcome(openRequest, outcome, reportReader.read(headers));
    int replacementStatus =
        OutcomeClassifier.replacementStatus(outcome, status, openRequest.unsafe());
    if (replacementStatus == 0) {
      send(ExtProcResponses.RESPONSE_HEADERS);
    } else if (replacementStatus == 503) {
      endWithResponse(
          ExtProcResponses.refuse(503, 0, "the request was not begun; trying again is harmless"));
    } else {
      endWithResponse(
          ExtProcResponses.fail(replacementStatus, "the request may have run; its answer is lost"));
    }
  }

  /** The proxy's {@code response.code_details} attribute, or null if it wasn't sent. */
  private static String codeDetails(ProcessingRequest message) {
    for (Struct attributes : message.getAttributesMap().values()) {
      Value value = attributes.getFieldsMap().get("response.code_details");
      if (value != null && value.hasStringValue()) {
        return value.getStringValue();
      }
    }
    return null;
  }

  private void responseBodyOrTrailers(ProcessingResponse response, String description) {
    if (phase != Phase.RESPONSE_SEEN) {
      protocolError(description + " before response_headers: set response_header_mode to SEND");
    } else {
      send(response);
    }
  }

  @Override
  public void onCompleted() {
    streamEnded();
    if (phase != Phase.CLOSED) {
      phase = Phase.CLOSED;
      responseObserver.onCompleted();
    }
  }

  @Override
  public void onError(Throwable error) {
    streamEnded();
  }

  /** The proxy closed its side of the stream, or the stream broke. */
  private void streamEnded() {
    Processor.OpenRequest callerGone = openRequest;
    openRequest = null;
    if (callerGone != null) {
      if (phase == Phase.AWAITING_DECISION) {
        phase = Phase.CLOSED;
        if (!responseObserver.isCancelled()) {
          responseObserver.onError(
              Status.CANCELLED.withDescription("ended before its decision").asRuntimeException());
        }
      }
      processor.callerGone(callerGone, this);
    }
  }

  // ---- Responses to the proxy
  // -------------------------------------------------------------------------

  @Override
  public void forward(Endpoint endpoint, long remainingMs, boolean unsafe) {
    phase = Phase.FORWARDED;
    send(responses.forward(ExtProcResponses.hostPort(endpoint.address()), remainingMs, unsafe));
    for (; earlyBodyMessages > 0; earlyBodyMessages--) {
      send(ExtProcResponses.REQUEST_BODY);
    }
    if (earlyRequestTrailers) {
      send(ExtProcResponses.REQUEST_TRAILERS);
    }
  }

  @Override
  public void refuse(long retryAfterNanos) {
    endWithResponse(
        ExtProcResponses.refuse(429, retryAfterNanos, "refused; trying again is harmless"));
  }

  @Override
  public void fail(int status, String reason) {
    endWithResponse(ExtProcResponses.fail(status, reason));
  }

  @Override
  public void deny(Authorizer.Denial denial) {
    endWithResponse(ExtProcResponses.deny(denial));
  }

  @Override
  public void malformed(String description) {
    endWithResponse(ExtProcResponses.malformed(description));
  }

  private void send(ProcessingResponse response) {
    if (!responseObserver.isCancelled()) {
      responseObserver.onNext(response);
    }
  }

  private void endWithResponse(ProcessingResponse lastResponse) {
    if (phase == Phase.CLOSED) {
      return;
    }
    phase = Phase.CLOSED;
    if (!responseObserver.isCancelled()) {
      responseObserver.onNext(lastResponse);
      responseObserver.onCompleted();
    }
    Processor.OpenRequest callerGone = openRequest;
    openRequest = null;
    if (callerGone != null) {
      processor.callerGone(
          callerGone, this); // a request forwarded on this stream may still be in flight
    }
  }

  /**
   * Ends the stream because of a message out of order or in an unsupported mode; its request is
   * abandoned.
   */
  private void protocolError(String description) {
    endWithError(Status.INVALID_ARGUMENT, description);
  }

  private void endWithError(Status status, String description) {
    processor.logLimited("stream ended: " + description);
    Processor.OpenRequest callerGone = openRequest;
    openRequest = null;
    phase = Phase.CLOSED;
    if (callerGone != null) {
      processor.callerGone(callerGone, this);
    }
    if (!responseObserver.isCancelled()) {
      responseObserver.onError(status.withDescription(description).asRuntimeException());
    }
  }
}
