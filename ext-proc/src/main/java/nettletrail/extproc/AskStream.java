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
 * One stream of {@code envoy.service.ext_proc.v3.ExternalProcessor/Process}: one HTTP request in a proxy, from its
 * headers to its answer's. Each message of the proxy gets one answer, in the proxy's order; after an immediate answer
 * the stream ends. Runs on the event loop, as the server executes calls directly.
 */
final class AskStream implements StreamObserver<ProcessingRequest>, Asker {
    /** Body messages that may wait for the decision; a proxy that sends more doesn't heed the protocol. */
    private static final int MOST_EARLY = 1_024;

    private enum Phase { START, ASKED, FORWARDED, ANSWERED, CLOSED }

    private final Processor processor;
    private final Answers answers;
    private final BackendReport.Reader reports;
    private final boolean believesDetails;
    private final ServerCallStreamObserver<ProcessingResponse> out;
    private Phase phase = Phase.START;
    private Processor.OpenAsk ask;
    private String txn;
    private boolean observed;
    private int early;
    private boolean earlyTrailers;

    AskStream(Processor processor, Answers answers, BackendReport.Reader reports, ExtProcSettings settings,
            ServerCallStreamObserver<ProcessingResponse> out) {
        this.processor = processor;
        this.answers = answers;
        this.reports = reports;
        this.out = out;
        believesDetails = settings.stopRetries();
        out.setOnCancelHandler(this::gone);
    }

    // ---- What the proxy says ----------------------------------------------------------------------------

    @Override
    public void onNext(ProcessingRequest message) {
        if (phase == Phase.CLOSED) {
            return;
        }
        if (phase == Phase.START && !accepts(message)) {
            return;
        }
        if (observed || message.getObservabilityMode()) {
            return; // it goes on whatever is said here, and reads no answer
        }
        switch (message.getRequestCase()) {
            case REQUEST_HEADERS -> requestHeaders(message);
            case REQUEST_BODY -> requestPart(false, "request_body");
            case REQUEST_TRAILERS -> requestPart(true, "request_trailers");
            case RESPONSE_HEADERS -> responseHeaders(message);
            case RESPONSE_BODY -> responsePart(Answers.RESPONSE_BODY, "response_body");
            case RESPONSE_TRAILERS -> responsePart(Answers.RESPONSE_TRAILERS, "response_trailers");
            case REQUEST_NOT_SET -> wrong("a message without a request: one of request_headers, request_body, "
                    + "request_trailers, response_headers, response_body, response_trailers must be set");
        }
    }

    /** Whether the modes that its first message tells can be served. */
    private boolean accepts(ProcessingRequest first) {
        if (first.getObservabilityMode()) {
            observed = true;
            return true;
        }
        if (first.hasProtocolConfig()) {
            ProtocolConfiguration modes = first.getProtocolConfig();
            return accepts(modes.getRequestBodyMode(), "request_body_mode")
                    && accepts(modes.getResponseBodyMode(), "response_body_mode");
        }
        return true;
    }

    private boolean accepts(BodySendMode mode, String key) {
        return switch (mode) {
            case NONE, STREAMED, BUFFERED, BUFFERED_PARTIAL -> true;
            case FULL_DUPLEX_STREAMED, UNRECOGNIZED -> {
                end(Status.FAILED_PRECONDITION, key + " " + mode + " is not served: bodies are not looked at here and "
                        + "would have to be sent back; set it to NONE");
                yield false;
            }
        };
    }

    private void requestHeaders(ProcessingRequest message) {
        Headers headers = new Headers(message.getRequestHeaders().getHeaders());
        if (phase != Phase.START) {
            askedAgainHere(headers);
            return;
        }
        phase = Phase.ASKED;
        if (headers.fault() != null) {
            malformed(headers.fault());
            return;
        }
        txn = headers.apply("x-txn");
        String method = headers.apply(Headers.METHOD);
        String path = headers.apply(Headers.PATH);
        ask = processor.asked(this, method == null ? null : HttpMethod.valueOf(method), path == null ? "/" : path,
                headers, Math.max(0, headers.number(Headers.ATTEMPT)));
    }

    /** A proxy whose time for the first message is over may send it again; the stream stays one request's. */
    private void askedAgainHere(Headers headers) {
        if (txn == null || !txn.equals(headers.apply("x-txn"))) {
            wrong("request_headers of another request: a stream is for one request, open another for the next");
        } else if (phase == Phase.ASKED) {
            processor.counters().askedAgain++; // the answer that is due serves both
        } else if (ask != null && !ask.unsafe()) {
            wrong("request_headers after their decision: open another stream to ask again");
        } else {
            processor.counters().askedAgain++;
            fail(502, "it was handed out before and may have run");
        }
    }

    /** Bodies and trailers are not looked at, and their bytes not kept: only how many answers are due. */
    private void requestPart(boolean trailers, String what) {
        if (phase == Phase.START) {
            wrong(what + " before request_headers: set request_header_mode to SEND");
        } else if (phase == Phase.ASKED) {
            earlyTrailers |= trailers;
            early += trailers ? 0 : 1;
            if (early > MOST_EARLY) {
                wrong("over " + MOST_EARLY + " messages before the decision: set request_body_mode to NONE");
            }
        } else if (phase == Phase.FORWARDED || phase == Phase.ANSWERED) {
            send(trailers ? Answers.REQUEST_TRAILERS : Answers.REQUEST_BODY);
        }
    }

    private void responseHeaders(ProcessingRequest message) {
        if (phase == Phase.START) {
            wrong("response_headers before request_headers: set request_header_mode to SEND");
            return;
        }
        if (phase == Phase.ASKED) {
            wrong("response_headers before the decision: a request must not go on before it has one; "
                    + "set failure_mode_allow to false");
            return;
        }
        Headers headers = new Headers(message.getResponseHeaders().getHeaders());
        int status = headers.number(Headers.STATUS);
        if (status < 100 || status > 599) {
            wrong("response_headers without a sound :status");
            return;
        }
        boolean again = phase == Phase.ANSWERED;
        phase = Phase.ANSWERED;
        if (status < 200) {
            phase = Phase.FORWARDED;
            send(Answers.RESPONSE_HEADERS); // 1xx: the answer is still to come
            return;
        }
        String details = believesDetails || ask != null && !ask.unsafe() ? details(message) : null;
        Outcome outcome = Outcomes.of(status, "1".equals(headers.apply(Headers.TURNED_AWAY)), details);
        if (again) {
            send(Answers.RESPONSE_HEADERS);
            return;
        }
        processor.outcome(ask, outcome, reports.read(headers));
        int instead = Outcomes.instead(outcome, status, ask.unsafe());
        if (instead == 0) {
            send(Answers.RESPONSE_HEADERS);
        } else if (instead == 503) {
            finish(Answers.refuse(503, 0, "the request was not begun; trying again is harmless"));
        } else {
            finish(Answers.fail(instead, "the request may have run; its answer is lost"));
        }
    }

    /** What the proxy says of how the answer came about, if it sends that attribute. */
    private static String details(ProcessingRequest message) {
        for (Struct attributes : message.getAttributesMap().values()) {
            Value value = attributes.getFieldsMap().get("response.code_details");
            if (value != null && value.hasStringValue()) {
                return value.getStringValue();
            }
        }
        return null;
    }

    private void responsePart(ProcessingResponse answer, String what) {
        if (phase != Phase.ANSWERED) {
            wrong(what + " before response_headers: set response_header_mode to SEND");
        } else {
            send(answer);
        }
    }

    @Override
    public void onCompleted() {
        gone();
        if (phase != Phase.CLOSED) {
            phase = Phase.CLOSED;
            out.onCompleted();
        }
    }

    @Override
    public void onError(Throwable fault) {
        gone();
    }

    /** The proxy has ended its side, or the stream broke. */
    private void gone() {
        Processor.OpenAsk left = ask;
        ask = null;
        if (left != null) {
            if (phase == Phase.ASKED) {
                phase = Phase.CLOSED;
                if (!out.isCancelled()) {
                    out.onError(Status.CANCELLED.withDescription("ended before its decision").asRuntimeException());
                }
            }
            processor.left(left, this);
        }
    }

    // ---- What the proxy is told -------------------------------------------------------------------------

    @Override
    public void forward(Endpoint to, long remainingMs, boolean unsafe) {
        phase = Phase.FORWARDED;
        send(answers.forward(Answers.text(to.address()), remainingMs, unsafe));
        for (; early > 0; early--) {
            send(Answers.REQUEST_BODY);
        }
        if (earlyTrailers) {
            send(Answers.REQUEST_TRAILERS);
        }
    }

    @Override
    public void refuse(long retryAfterNs) {
        finish(Answers.refuse(429, retryAfterNs, "refused; trying again is harmless"));
    }

    @Override
    public void fail(int status, String why) {
        finish(Answers.fail(status, why));
    }

    @Override
    public void deny(Authorizer.Denial denial) {
        finish(Answers.deny(denial));
    }

    @Override
    public void malformed(String what) {
        finish(Answers.malformed(what));
    }

    private void send(ProcessingResponse answer) {
        if (!out.isCancelled()) {
            out.onNext(answer);
        }
    }

    private void finish(ProcessingResponse last) {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.CLOSED;
        if (!out.isCancelled()) {
            out.onNext(last);
            out.onCompleted();
        }
        Processor.OpenAsk left = ask;
        ask = null;
        if (left != null) {
            processor.left(left, this); // what was handed out on this stream may still be under way
        }
    }

    /** Out of order, or of a mode that isn't served: what was asked here so far is given up. */
    private void wrong(String what) {
        end(Status.INVALID_ARGUMENT, what);
    }

    private void end(Status status, String what) {
        processor.complain("stream ended: " + what);
        Processor.OpenAsk left = ask;
        ask = null;
        phase = Phase.CLOSED;
        if (left != null) {
            processor.left(left, this);
        }
        if (!out.isCancelled()) {
            out.onError(status.withDescription(what).asRuntimeException());
        }
    }
}
