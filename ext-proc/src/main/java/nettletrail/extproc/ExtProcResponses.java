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

/** Builds the gRPC responses sent to a proxy. Responses that never change are shared constants. */
final class ExtProcResponses {
  /**
   * Response header that states this processor's decision, for whoever inspects the client's
   * response.
   */
  static final String DECISION_HEADER = "x-gateway-decision";

  static final ProcessingResponse REQUEST_BODY =
      ProcessingResponse.newBuilder().setRequestBody(BodyResponse.getDefaultInstance()).build();
  static final ProcessingResponse REQUEST_TRAILERS =
      ProcessingResponse.newBuilder()
          .setRequestTrailers(TrailersResponse.getDefaultInstance())
          .build();
  static final ProcessingResponse RESPONSE_HEADERS =
      ProcessingResponse.newBuilder()
          .setResponseHeaders(HeadersResponse.getDefaultInstance())
          .build();
  static final ProcessingResponse RESPONSE_BODY =
      ProcessingResponse.newBuilder().setResponseBody(BodyResponse.getDefaultInstance()).build();
  static final ProcessingResponse RESPONSE_TRAILERS =
      ProcessingResponse.newBuilder()
          .setResponseTrailers(TrailersResponse.getDefaultInstance())
          .build();
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final ExtProcSettings settings;

  ExtProcResponses(ExtProcSettings settings) {
    this.settings = settings;
  }

  /** Formats the address as {@code IP:port}, with an IPv6 address in brackets. */
  static String hostPort(SocketAddress address) {
    InetSocketAddress socket = (InetSocketAddress) address;
    String host = socket.getAddress().getHostAddress();
    return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + socket.getPort();
  }

  /**
   * Builds the response that forwards the request.
   *
   * @param hostPort address of the endpoint, as {@link #hostPort} formats it
   * @param remainingMs how long this server waits for the outcome, in ms
   * @param unsafe whether the request must not run twice
   */
  ProcessingResponse forward(String hostPort, long remainingMs, boolean unsafe) {
    HeaderMutation.Builder headers = HeaderMutation.newBuilder();
    if (!settings.destinationHeader().isEmpty()) {
      headers.addSetHeaders(overwriteHeader(settings.destinationHeader(), hostPort));
    }
    if (!settings.originalDstHeader().isEmpty()) {
      headers.addSetHeaders(overwriteHeader(settings.originalDstHeader(), hostPort));
    }
    headers.addSetHeaders(overwriteHeader("x-remaining-ms", Long.toString(remainingMs)));
    if (unsafe && settings.suppressRetries()) {
      // Retries and hedges by Envoy's router filter don't pass through this processor, so they are
      // disabled.
      headers.addSetHeaders(overwriteHeader("x-envoy-max-retries", "0"));
      headers.addRemoveHeaders("x-envoy-retry-on");
      headers.addRemoveHeaders("x-envoy-retry-grpc-on");
      headers.addRemoveHeaders("x-envoy-hedge-on-per-try-timeout");
    }
    ProcessingResponse.Builder response =
        ProcessingResponse.newBuilder()
            .setRequestHeaders(
                HeadersResponse.newBuilder()
                    .setResponse(CommonResponse.newBuilder().setHeaderMutation(headers)));
    if (!settings.metadataNamespace().isEmpty() && !settings.destinationHeader().isEmpty()) {
      Struct.Builder namespaceFields =
          Struct.newBuilder()
              .putFields(
                  settings.destinationHeader(),
                  Value.newBuilder().setStringValue(hostPort).build());
      response.setDynamicMetadata(
          Struct.newBuilder()
              .putFields(
                  settings.metadataNamespace(),
                  Value.newBuilder().setStructValue(namespaceFields).build()));
    }
    return response.build();
  }

  /**
   * Builds the response for a request that was not forwarded and may be retried.
   *
   * @param retryAfterNanos delay before a retry, in ns; 0 sends no {@code retry-after} header
   */
  static ProcessingResponse refuse(int status, long retryAfterNanos, String reason) {
    return withRetryAfter(immediate(status, "refuse", reason), retryAfterNanos);
  }

  private static ProcessingResponse withRetryAfter(
      ImmediateResponse.Builder response, long retryAfterNanos) {
    if (retryAfterNanos > 0) {
      response
          .getHeadersBuilder()
          .addSetHeaders(overwriteHeader("retry-after", retryAfterSeconds(retryAfterNanos)));
    }
    return ProcessingResponse.newBuilder().setImmediateResponse(response).build();
  }

  /**
   * Formats a delay in ns as whole seconds (RFC 9110 section 10.2.3), rounded up so that the client
   * never retries too early.
   */
  static String retryAfterSeconds(long nanos) {
    return Long.toString(Math.max(1, (nanos + NANOS_PER_SECOND - 1) / NANOS_PER_SECOND));
  }

  /**
   * Builds the response for a request that may have run already: 502 or 504, with the reason as
   * text.
   */
  static ProcessingResponse fail(int status, String reason) {
    return ProcessingResponse.newBuilder()
        .setImmediateResponse(immediate(status, "fail", reason))
        .build();
  }

  /** Builds the response for a request whose credentials were denied. */
  static ProcessingResponse deny(Authorizer.Denial denial) {
    ImmediateResponse.Builder response = immediate(denial.status(), "deny", denial.message());
    if (!denial.challenge().isEmpty()) {
      response
          .getHeadersBuilder()
          .addSetHeaders(overwriteHeader("www-authenticate", denial.challenge()));
    }
    return withRetryAfter(response, denial.retryAfterNanos());
  }

  /** Builds the response for an invalid request; the problem is its text. */
  static ProcessingResponse malformed(String problem) {
    return ProcessingResponse.newBuilder()
        .setImmediateResponse(immediate(400, "malformed", problem))
        .build();
  }

  private static ImmediateResponse.Builder immediate(int status, String decision, String reason) {
    return ImmediateResponse.newBuilder()
        .setStatus(HttpStatus.newBuilder().setCode(StatusCode.forNumber(status)))
        .setHeaders(
            HeaderMutation.newBuilder()
                .addSetHeaders(overwriteHeader(DECISION_HEADER, decision))
                .addSetHeaders(overwriteHeader("content-type", "text/plain; charset=utf-8")))
        .setBody(ByteString.copyFromUtf8(reason + "\n"))
        .setDetails("nettletrail_" + decision);
  }

  private static HeaderValueOption overwriteHeader(String name, String value) {
    return HeaderValueOption.newBuilder()
        .setHeader(
            HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)))
        .setAppendAction(HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD)
        .build();
  }
}
