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
 * One connection of a proxy that asks over HTTP: {@code /v1/ask} in the forward-auth or {@code auth_request} form (2xx
 * with headers: forward), {@code /v1/outcome} to tell how it went. Requests on it are answered one after the other.
 */
final class HttpAsks extends SimpleChannelInboundHandler<FullHttpRequest> implements Asker {
    private static final String ASK = "/v1/ask";
    private static final String OUTCOME = "/v1/outcome";
    private static final String COUNTS = "/v1/counts";
    /** The proxy's own word on the request's method; forward-auth calls are GET whatever it is. */
    private static final List<String> METHOD = List.of("X-Forwarded-Method", "X-Original-Method");
    private static final List<String> PATH = List.of("X-Forwarded-Uri", "X-Original-URI");
    private static final String ATTEMPT = "x-envoy-attempt-count";
    private static final String DECISION = "X-Gateway-Decision";
    private static final String STATUS = "X-Gateway-Status";
    private static final String HOW = "X-Gateway-Outcome";
    /** Requests that wait behind the open one; a proxy that sends more is not answered further. */
    private static final int MOST_WAITING = 16;
    /** Beside those of {@link RequestHeadValidator}. */
    private static final List<String> ONCE = List.of(METHOD.get(0), METHOD.get(1), PATH.get(0), PATH.get(1), ATTEMPT, HOW);

    private final Processor processor;
    private final BackendReport.Reader reports;
    private final ExtProcSettings settings;
    private final Queue<FullHttpRequest> waiting = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private Processor.OpenAsk ask;
    private boolean asking;
    private boolean keepAlive;
    private boolean denyAs403;
    /** The open request is a HEAD: its answer has a body's length and no body (RFC 9110 section 9.3.2). */
    private boolean bare;

    HttpAsks(Processor processor, BackendReport.Reader reports, ExtProcSettings settings) {
        this.processor = processor;
        this.reports = reports;
        this.settings = settings;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext on, FullHttpRequest request) {
        if (asking) {
            if (waiting.size() >= MOST_WAITING) {
                processor.complain("http: over " + MOST_WAITING + " requests before an answer; connection ended");
                on.close();
            } else {
                waiting.add(request.retain());
            }
            return;
        }
        handle(request);
    }

    private void handle(FullHttpRequest request) {
        asking = true;
        keepAlive = HttpUtil.isKeepAlive(request);
        denyAs403 = false;
        bare = request.method().equals(HttpMethod.HEAD);
        RequestHeadValidator.HeadError fault = RequestHeadValidator.findError(request);
        if (fault != null) {
            keepAlive &= fault.endKnown();
            answer(fault.status().code(), "malformed", 0, fault.message());
            return;
        }
        HttpHeaders headers = request.headers();
        String twice = RequestHeadValidator.findRepeated(headers, ONCE);
        if (twice == null && (both(headers, METHOD) || both(headers, PATH))) {
            twice = "the request's method or path";
        }
        if (twice != null) {
            answer(400, "malformed", 0, twice + " is there twice: it must be there once");
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
            case ASK -> ask(headers);
            case OUTCOME -> outcome(request.method(), headers);
            case COUNTS -> counters();
            default -> answer(404, "malformed", 0, "there is " + ASK + ", " + OUTCOME + " and " + COUNTS);
        }
    }

    private void ask(HttpHeaders headers) {
        String method = first(headers, METHOD);
        String path = first(headers, PATH);
        String told = headers.get(ATTEMPT);
        int attempt = told == null ? 0 : whole(told);
        if (attempt < 0 || method != null && (method.isEmpty() || method.length() > 16
                || !method.chars().allMatch(each -> each >= 'A' && each <= 'Z'))) {
            answer(400, "malformed", 0, attempt < 0 ? ATTEMPT + " must be a whole number" : "X-Forwarded-Method must "
                    + "be the request's method");
            return;
        }
        Processor.OpenAsk made = processor.asked(this, method == null ? null : HttpMethod.valueOf(method),
                path == null ? "/" : path, headers::get, attempt);
        ask = asking ? made : null;
    }

    private static boolean both(HttpHeaders headers, List<String> names) {
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

    private static int whole(String text) {
        boolean digits = !text.isEmpty() && text.length() <= 9 && text.chars().allMatch(c -> c >= '0' && c <= '9');
        return digits ? Integer.parseInt(text) : -1;
    }

    private void outcome(HttpMethod method, HttpHeaders headers) {
        String id = headers.get(RequestValidator.TXN);
        String how = headers.get(HOW);
        int status = how == null ? -1 : whole(how);
        Outcome outcome = how == null ? null : status >= 200 && status <= 599
                ? Outcomes.of(status, "1".equals(headers.get("X-Turned-Away")), null) : Outcomes.named(how);
        if (!method.equals(HttpMethod.POST) || !RequestValidator.isRequestId(id) || outcome == null) {
            answer(400, "malformed", 0, "an outcome is a POST with X-Txn of the request and " + HOW + ": the answer's "
                    + "status, or not-sent, connect-failed, reset, timed-out or cancelled");
            return;
        }
        Processor.Told told = processor.outcome(id, outcome, reports.read(headers::get));
        switch (told) {
            case TAKEN -> answer(200, "taken", 0, "taken");
            case TOO_LATE -> answer(409, "too-late", 0, "its outcome was told before, or its time was up");
            case NO_DECISION -> answer(404, "no-decision", 0, "nothing was handed out under this id, or it is no "
                    + "longer remembered");
        }
    }

    private void counters() {
        try {
            respond(200, Unpooled.copiedBuffer(com.fasterxml.jackson.jr.ob.JSON.std.asString(processor.counters().all()),
                    StandardCharsets.UTF_8), response -> response.set(HttpHeaderNames.CONTENT_TYPE, "application/json"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- The answer to an ask ---------------------------------------------------------------------------

    @Override
    public void forward(Endpoint to, long remainingMs, boolean unsafe) {
        String node = Answers.text(to.address());
        ask = null; // the outcome comes by a call of its own
        respond(200, Unpooled.EMPTY_BUFFER, headers -> {
            headers.set(DECISION, "forward");
            headers.set("X-Remaining-Ms", Long.toString(remainingMs));
            if (!settings.destination().isEmpty()) {
                headers.set(settings.destination(), node);
            }
            if (!settings.originalDst().isEmpty()) {
                headers.set(settings.originalDst(), node);
            }
        });
    }

    @Override
    public void refuse(long retryAfterNs) {
        answer(429, "refuse", retryAfterNs, "refused; trying again is harmless");
    }

    @Override
    public void fail(int status, String why) {
        answer(status, "fail", 0, why);
    }

    @Override
    public void deny(Authorizer.Denial denial) {
        answer(denial.status(), "deny", denial.retryAfterNanos(), denial.challenge(), denial.message());
    }

    @Override
    public void malformed(String what) {
        answer(400, "malformed", 0, what);
    }

    private void answer(int status, String decision, long retryAfterNs, String why) {
        answer(status, decision, retryAfterNs, "", why);
    }

    private void answer(int status, String decision, long retryAfterNs, String challenge, String why) {
        boolean denied = denyAs403 && status >= 400;
        respond(denied ? 403 : status, Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8), headers -> {
            headers.set(DECISION, decision);
            headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
            if (denied) {
                headers.set(STATUS, Integer.toString(status));
            }
            if (!challenge.isEmpty()) {
                headers.set(HttpHeaderNames.WWW_AUTHENTICATE, challenge);
            }
            if (retryAfterNs > 0) {
                headers.set(HttpHeaderNames.RETRY_AFTER, Answers.retryAfter(retryAfterNs));
            }
        });
    }

    private void respond(int status, ByteBuf body, java.util.function.Consumer<HttpHeaders> more) {
        if (!asking) {
            body.release();
            return;
        }
        asking = false;
        ask = null;
        String length = Integer.toString(body.readableBytes());
        if (bare) {
            body.clear();
        }
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status), body);
        more.accept(response.headers());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        if (keepAlive) {
            context.writeAndFlush(response, context.voidPromise());
            next();
        } else {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void next() {
        FullHttpRequest following = waiting.poll();
        if (following != null) {
            // At the loop's next turn: a long row of them must not nest.
            context.executor().execute(() -> {
                try {
                    if (context.channel().isActive()) {
                        handle(following);
                    }
                } finally {
                    following.release();
                }
            });
            asking = true; // what comes meanwhile waits behind it
        }
    }

    /** Waits for no decision: it may be closed. */
    boolean idle() {
        return !asking && waiting.isEmpty();
    }

    @Override
    public void channelInactive(ChannelHandlerContext on) {
        waiting.forEach(FullHttpRequest::release);
        waiting.clear();
        asking = false;
        if (ask != null) {
            Processor.OpenAsk left = ask;
            ask = null;
            processor.left(left, this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
        processor.complain("http: connection ended: " + fault.getClass().getSimpleName());
        on.close();
    }
}
