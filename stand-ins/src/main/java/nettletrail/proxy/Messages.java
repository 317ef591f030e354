package nettletrail.proxy;

import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import java.util.Map;

/** What a proxy says to an external processor, and reads of it. */
public final class Messages {
    private Messages() { }

    /** Headers as Envoy sends them: lower case, raw values. */
    public static HeaderMap headers(Map<String, String> headers) {
        HeaderMap.Builder map = HeaderMap.newBuilder();
        headers.forEach((name, value) -> map.addHeaders(HeaderValue.newBuilder().setKey(name)
                .setRawValue(ByteString.copyFromUtf8(value))));
        return map.build();
    }

    public static ProcessingRequest requestHeaders(Map<String, String> headers) {
        return ProcessingRequest.newBuilder().setRequestHeaders(HttpHeaders.newBuilder().setHeaders(headers(headers))
                .setEndOfStream(true)).build();
    }

    /** An answer's headers; details as the attribute of that name, or null. */
    public static ProcessingRequest responseHeaders(Map<String, String> headers, String details) {
        ProcessingRequest.Builder message = ProcessingRequest.newBuilder().setResponseHeaders(
                HttpHeaders.newBuilder().setHeaders(headers(headers)));
        if (details != null) {
            message.putAttributes("envoy.filters.http.ext_proc", Struct.newBuilder().putFields(
                    "response.code_details", Value.newBuilder().setStringValue(details).build()).build());
        }
        return message.build();
    }

    /** A header that a decision sets on the request, or null. */
    public static String set(ProcessingResponse decision, String name) {
        for (HeaderValueOption option : decision.getRequestHeaders().getResponse().getHeaderMutation()
                .getSetHeadersList()) {
            if (option.getHeader().getKey().equals(name)) {
                return option.getHeader().getRawValue().toStringUtf8();
            }
        }
        return null;
    }
}
