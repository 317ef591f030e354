package nettletrail.extproc;

import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption.HeaderAppendAction;
import io.envoyproxy.envoy.service.ext_proc.v3.BodyResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.CommonResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.HeaderMutation;
import io.envoyproxy.envoy.service.ext_proc.v3.HeadersResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.ImmediateResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.TrailersResponse;
import io.envoyproxy.envoy.type.v3.HttpStatus;
import io.envoyproxy.envoy.type.v3.StatusCode;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import nettletrail.core.Authorizer;

/** The messages that go to a proxy over gRPC. Those that never change are made once. */
final class Answers {
    /** Tells whoever reads the client's answer what this processor decided. */
    static final String DECISION = "x-gateway-decision";
    static final ProcessingResponse REQUEST_BODY = ProcessingResponse.newBuilder()
            .setRequestBody(BodyResponse.getDefaultInstance()).build();
    static final ProcessingResponse REQUEST_TRAILERS = ProcessingResponse.newBuilder()
            .setRequestTrailers(TrailersResponse.getDefaultInstance()).build();
    static final ProcessingResponse RESPONSE_HEADERS = ProcessingResponse.newBuilder()
            .setResponseHeaders(HeadersResponse.getDefaultInstance()).build();
    static final ProcessingResponse RESPONSE_BODY = ProcessingResponse.newBuilder()
            .setResponseBody(BodyResponse.getDefaultInstance()).build();
    static final ProcessingResponse RESPONSE_TRAILERS = ProcessingResponse.newBuilder()
            .setResponseTrailers(TrailersResponse.getDefaultInstance()).build();
    private static final long SECOND = 1_000_000_000L;

    private final ExtProcSettings settings;

    Answers(ExtProcSettings settings) {
        this.settings = settings;
    }

    /** The address as proxies read it. */
    static String text(SocketAddress address) {
        InetSocketAddress socket = (InetSocketAddress) address;
        String host = socket.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + socket.getPort();
    }

    ProcessingResponse forward(String node, long remainingMs, boolean unsafe) {
        HeaderMutation.Builder headers = HeaderMutation.newBuilder();
        if (!settings.destination().isEmpty()) {
            headers.addSetHeaders(header(settings.destination(), node));
        }
        if (!settings.originalDst().isEmpty()) {
            headers.addSetHeaders(header(settings.originalDst(), node));
        }
        headers.addSetHeaders(header("x-remaining-ms", Long.toString(remainingMs)));
        if (unsafe && settings.stopRetries()) {
            // The router's own tries are not asked about here.
            headers.addSetHeaders(header("x-envoy-max-retries", "0"));
            headers.addRemoveHeaders("x-envoy-retry-on");
            headers.addRemoveHeaders("x-envoy-retry-grpc-on");
            headers.addRemoveHeaders("x-envoy-hedge-on-per-try-timeout");
        }
        ProcessingResponse.Builder answer = ProcessingResponse.newBuilder().setRequestHeaders(
                HeadersResponse.newBuilder().setResponse(CommonResponse.newBuilder().setHeaderMutation(headers)));
        if (!settings.namespace().isEmpty() && !settings.destination().isEmpty()) {
            Struct.Builder inner = Struct.newBuilder().putFields(settings.destination(),
                    Value.newBuilder().setStringValue(node).build());
            answer.setDynamicMetadata(Struct.newBuilder().putFields(settings.namespace(),
                    Value.newBuilder().setStructValue(inner).build()));
        }
        return answer.build();
    }

    /** 0 ns: no word on when to come again. */
    static ProcessingResponse refuse(int status, long retryAfterNs, String why) {
        return comeAgain(immediate(status, "refuse", why), retryAfterNs);
    }

    private static ProcessingResponse comeAgain(ImmediateResponse.Builder answer, long retryAfterNs) {
        if (retryAfterNs > 0) {
            answer.getHeadersBuilder().addSetHeaders(header("retry-after", retryAfter(retryAfterNs)));
        }
        return ProcessingResponse.newBuilder().setImmediateResponse(answer).build();
    }

    /** Whole seconds, as RFC 9110 section 10.2.3 has it; never too early. */
    static String retryAfter(long ns) {
        return Long.toString(Math.max(1, (ns + SECOND - 1) / SECOND));
    }

    static ProcessingResponse fail(int status, String why) {
        return ProcessingResponse.newBuilder().setImmediateResponse(immediate(status, "fail", why)).build();
    }

    static ProcessingResponse deny(Authorizer.Denial denial) {
        ImmediateResponse.Builder answer = immediate(denial.status(), "deny", denial.message());
        if (!denial.challenge().isEmpty()) {
            answer.getHeadersBuilder().addSetHeaders(header("www-authenticate", denial.challenge()));
        }
        return comeAgain(answer, denial.retryAfterNanos());
    }

    static ProcessingResponse malformed(String what) {
        return ProcessingResponse.newBuilder().setImmediateResponse(immediate(400, "malformed", what)).build();
    }

    private static ImmediateResponse.Builder immediate(int status, String decision, String why) {
        return ImmediateResponse.newBuilder()
                .setStatus(HttpStatus.newBuilder().setCode(StatusCode.forNumber(status)))
                .setHeaders(HeaderMutation.newBuilder().addSetHeaders(header(DECISION, decision))
                        .addSetHeaders(header("content-type", "text/plain; charset=utf-8")))
                .setBody(ByteString.copyFromUtf8(why + "\n"))
                .setDetails("nettletrail_" + decision);
    }

    private static HeaderValueOption header(String name, String value) {
        return HeaderValueOption.newBuilder()
                .setHeader(HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)))
                .setAppendAction(HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD).build();
    }
}
