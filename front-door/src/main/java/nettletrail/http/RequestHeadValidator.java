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
 * Checks of a request head that the decoder does not make, for each server that speaks HTTP/1.1. A
 * head that two parsers could interpret differently is rejected: a proxy in front of this process
 * may have checked another customer or host than the one that would be used here.
 *
 * <p>Sources: RFC 9112 sections 2.2 and 5.2 (white space and folded lines, checked by {@link
 * RequestDecoder}), 2.3 (version), 3.2 (request target and Host); RFC 9110 section 5.3 (a field
 * that is not a list occurs once).
 */
public final class RequestHeadValidator {
  private static final AsciiString HOST = AsciiString.cached("Host");
  private static final AsciiString[] SINGLE_HEADERS = {
    RequestValidator.TXN,
    RequestValidator.LANE,
    RequestValidator.PLAN,
    RequestValidator.CUSTOMER,
    RequestValidator.REMAINING,
    RequestValidator.QUOTA,
    RequestValidator.AUTHORIZATION,
    HOST
  };
  private static final String ABSOLUTE_PREFIX = "http://";

  /**
   * Characters besides letters and digits that a host with a port may contain (RFC 3986 section
   * 3.2.2), without the comma.
   */
  private static final String HOST_PUNCTUATION = "-._~!$&'()*+;=%:[]";

  /**
   * Why a head is rejected.
   *
   * @param message the error and what to do about it; contains nothing that the client sent
   * @param endKnown whether the end of the request is known for certain, so that the connection can
   *     be reused
   */
  public record HeadError(HttpResponseStatus status, String message, boolean endKnown) {}

  private static final HeadError UNSUPPORTED_VERSION =
      new HeadError(
          HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED,
          "the version must be HTTP/1.1 or HTTP/1.0",
          false);
  private static final HeadError UNREADABLE =
      badRequest("the request can't be read as HTTP/1.1", false);
  private static final HeadError MISSING_HOST =
      badRequest("Host is missing: an HTTP/1.1 request names it once", true);
  private static final HeadError INVALID_HOST =
      badRequest("Host: it must be one host, with or without a port", true);
  private static final HeadError INVALID_TARGET =
      badRequest("the target must be a path, or http:// with a host and a path", true);

  private RequestHeadValidator() {}

  private static HeadError badRequest(String message, boolean endKnown) {
    return new HeadError(HttpResponseStatus.BAD_REQUEST, message, endKnown);
  }

  /**
   * Returns the first error of the head, or null if it has none; checks the headers of the front
   * door.
   */
  public static HeadError findError(HttpRequest request) {
    return findError(request, SINGLE_HEADERS);
  }

  /** Returns these headers and Host, for {@link #findError(HttpRequest, AsciiString[])}. */
  public static AsciiString[] singleHeaders(AsciiString... names) {
    AsciiString[] all = Arrays.copyOf(names, names.length + 1);
    all[names.length] = HOST;
    return all;
  }

  /**
   * Returns the first error of the head, or null if it has none.
   *
   * @param singleHeaders the headers that may occur only once, made by {@link #singleHeaders}; at
   *     most 32
   */
  public static HeadError findError(HttpRequest request, AsciiString[] singleHeaders) {
    if (request.decoderResult().isFailure()) {
      return request.decoderResult().cause() instanceof StrictFraming.HeadFormatException format
          ? badRequest(format.getMessage(), false)
          : UNREADABLE;
    }
    HttpVersion version = request.protocolVersion();
    if (version != HttpVersion.HTTP_1_1
        && (version.majorVersion() != 1 || !version.protocolName().equals("HTTP"))) {
      return UNSUPPORTED_VERSION;
    }
    int seen = 0;
    Iterator<Map.Entry<CharSequence, CharSequence>> all = request.headers().iteratorCharSequence();
    while (all.hasNext()) {
      int bit = headerBit(all.next().getKey(), singleHeaders);
      if ((seen & bit) != 0) {
        return badRequest(
            singleHeaders[Integer.numberOfTrailingZeros(bit)]
                + " is there twice: it must be there once",
            true);
      }
      seen |= bit;
    }
    if ((seen & 1 << singleHeaders.length - 1) == 0) {
      if (version.minorVersion() > 0) {
        return MISSING_HOST;
      }
    } else if (!isHost(request.headers().get(HOST))) {
      return INVALID_HOST;
    }
    return normalizeTarget(request.method(), request.uri()) == null ? INVALID_TARGET : null;
  }

  /**
   * Returns the bit of a header that may occur only once, or 0 for any other. Compares lengths
   * first, as most names match none of them.
   */
  private static int headerBit(CharSequence name, AsciiString[] singleHeaders) {
    for (int i = 0; i < singleHeaders.length; i++) {
      if (singleHeaders[i].length() == name.length()
          && singleHeaders[i].contentEqualsIgnoreCase(name)) {
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
      if (port >= 0 && i > port
          ? !digit
          : !digit && !letter && HOST_PUNCTUATION.indexOf(each) < 0) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the request target as path and query, without the scheme and host of the absolute form
   * (RFC 9112 section 3.2.2). {@code *} is valid for OPTIONS only. Null if the target is not valid
   * for this server.
   */
  public static String normalizeTarget(HttpMethod method, String uri) {
    if (uri.startsWith("/")) {
      return uri;
    }
    if (uri.regionMatches(true, 0, ABSOLUTE_PREFIX, 0, ABSOLUTE_PREFIX.length())) {
      int slash = uri.indexOf('/', ABSOLUTE_PREFIX.length());
      int query = uri.indexOf('?', ABSOLUTE_PREFIX.length());
      int end = slash < 0 ? uri.length() : slash;
      boolean host = query < 0 || query > end;
      return !host
              || end == ABSOLUTE_PREFIX.length()
              || !isHost(uri.substring(ABSOLUTE_PREFIX.length(), end))
          ? null
          : slash < 0 ? "/" : uri.substring(slash);
    }
    return uri.equals("*") && method.equals(HttpMethod.OPTIONS) ? uri : null;
  }

  /** Returns the first of these names that occurs more than once in the headers, or null. */
  public static String findRepeated(HttpHeaders headers, Iterable<String> names) {
    for (String name : names) {
      if (headers.getAll(name).size() > 1) {
        return name;
      }
    }
    return null;
  }
}
