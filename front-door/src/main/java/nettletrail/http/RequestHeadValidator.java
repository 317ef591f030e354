package nettletrail.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.Arrays;
import java.util.Iterator;
import java.util.Map;
import nettletrail.core.RequestValidator;
import nettletrail.upstream.StrictFraming;

/**
 * What a request's head must be beyond what its decoder holds it to, at every front that speaks HTTP/1.1. Where two readers
 * could take it in two ways it is refused: the one in front of us may have checked another customer, or another host, than
 * the one that we would go by.
 *
 * <p>Sources: RFC 9112 sections 2.2 and 5.2 (white space and folded lines, by {@link RequestDecoder}), 2.3 (version), 3.2
 * (target and Host); RFC 9110 section 5.3 (a field that is no list is there once).
 */
public final class RequestHeadValidator {
    private static final AsciiString HOST = AsciiString.cached("Host");
    private static final AsciiString[] ONCE = {RequestValidator.TXN, RequestValidator.LANE, RequestValidator.PLAN,
            RequestValidator.CUSTOMER, RequestValidator.REMAINING,
        RequestValidator.QUOTA, RequestValidator.AUTHORIZATION, HOST};
    private static final String CUT_OFF = "http://";
    /** Beside letters and digits, what a host and its port are made of (RFC 3986 section 3.2.2), without the comma. */
    private static final String HOST_MARKS = "-._~!$&'()*+;=%:[]";

    /**
     * Why a head is refused.
     *
     * @param message what is wrong and what to do; nothing of what the client sent
     * @param endKnown whether the request's end is beyond doubt, so that the connection can go on
     */
    public record HeadError(HttpResponseStatus status, String message, boolean endKnown) { }

    private static final HeadError VERSION = new HeadError(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED,
            "the version must be HTTP/1.1 or HTTP/1.0", false);
    private static final HeadError UNREADABLE = bad("the request can't be read as HTTP/1.1", false);
    private static final HeadError NO_HOST = bad("Host is missing: an HTTP/1.1 request names it once", true);
    private static final HeadError HOST_VALUE = bad("Host: it must be one host, with or without a port", true);
    private static final HeadError TARGET = bad("the target must be a path, or http:// with a host and a path", true);

    private RequestHeadValidator() { }

    private static HeadError bad(String message, boolean endKnown) {
        return new HeadError(HttpResponseStatus.BAD_REQUEST, message, endKnown);
    }

    /** The first fault of the head, or null; for the headers of the front door in service. */
    public static HeadError findError(HttpRequest request) {
        return findError(request, ONCE);
    }

    /** The headers that may be there once: these and Host. For {@link #findError(HttpRequest, AsciiString[])}. */
    public static AsciiString[] singleHeaders(AsciiString... names) {
        AsciiString[] all = Arrays.copyOf(names, names.length + 1);
        all[names.length] = HOST;
        return all;
    }

    /**
     * The first fault of the head, or null.
     *
     * @param once the headers that may be there once, made by {@link #singleHeaders}; at most 32
     */
    public static HeadError findError(HttpRequest request, AsciiString[] once) {
        if (request.decoderResult().isFailure()) {
            return request.decoderResult().cause() instanceof StrictFraming.HeadFormatException refused ? bad(refused.getMessage(), false)
                    : UNREADABLE;
        }
        HttpVersion version = request.protocolVersion();
        if (version != HttpVersion.HTTP_1_1 && (version.majorVersion() != 1 || !version.protocolName().equals("HTTP"))) {
            return VERSION;
        }
        int seen = 0;
        Iterator<Map.Entry<CharSequence, CharSequence>> all = request.headers().iteratorCharSequence();
        while (all.hasNext()) {
            int bit = bit(all.next().getKey(), once);
            if ((seen & bit) != 0) {
                return bad(once[Integer.numberOfTrailingZeros(bit)] + " is there twice: it must be there once", true);
            }
            seen |= bit;
        }
        if ((seen & 1 << once.length - 1) == 0) {
            if (version.minorVersion() > 0) {
                return NO_HOST;
            }
        } else if (!isHost(request.headers().get(HOST))) {
            return HOST_VALUE;
        }
        return normalizeTarget(request.method(), request.uri()) == null ? TARGET : null;
    }

    /** A bit of its own for each name that may be there once, or 0. By the length first: most names are none of them. */
    private static int bit(CharSequence name, AsciiString[] once) {
        for (int i = 0; i < once.length; i++) {
            if (once[i].length() == name.length() && once[i].contentEqualsIgnoreCase(name)) {
                return 1 << i;
            }
        }
        return 0;
    }

    private static boolean isHost(String value) {
        int port = value.indexOf(':', value.lastIndexOf(']') + 1);
        for (int i = 0; i < value.length(); i++) {
            char each = value.charAt(i);
            boolean digit = each >= '0' && each <= '9';
            boolean letter = each >= 'a' && each <= 'z' || each >= 'A' && each <= 'Z';
            if (port >= 0 && i > port ? !digit : !digit && !letter && HOST_MARKS.indexOf(each) < 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * The target as path and query: what follows scheme and host if it has them (RFC 9112 section 3.2.2). {@code *} is one for
     * OPTIONS only. Null if it is no target for a front door.
     */
    public static String normalizeTarget(HttpMethod method, String uri) {
        if (uri.startsWith("/")) {
            return uri;
        }
        if (uri.regionMatches(true, 0, CUT_OFF, 0, CUT_OFF.length())) {
            int slash = uri.indexOf('/', CUT_OFF.length());
            int query = uri.indexOf('?', CUT_OFF.length());
            int end = slash < 0 ? uri.length() : slash;
            boolean host = query < 0 || query > end;
            return !host || end == CUT_OFF.length() || !isHost(uri.substring(CUT_OFF.length(), end)) ? null
                    : slash < 0 ? "/" : uri.substring(slash);
        }
        return uri.equals("*") && method.equals(HttpMethod.OPTIONS) ? uri : null;
    }

    /** For a front's own headers: the one of these that is there twice, or null. */
    public static String findRepeated(HttpHeaders headers, Iterable<String> names) {
        for (String name : names) {
            if (headers.getAll(name).size() > 1) {
                return name;
            }
        }
        return null;
    }
}
