package nettletrail.core;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.function.Function;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * Validates requests from every frontend. All values are checked against the settings before the
 * decision module sees the request: a single request with absurd units would shift the module's
 * averages and with them every customer's quota.
 */
public final class RequestValidator {
  public static final AsciiString TXN = AsciiString.cached("X-Txn");
  public static final AsciiString REMAINING = AsciiString.cached("X-Remaining-Ms");
  public static final AsciiString LANE = AsciiString.cached("X-Lane");
  public static final AsciiString PLAN = AsciiString.cached("X-Plan");
  public static final AsciiString CUSTOMER = AsciiString.cached("X-Customer");
  public static final AsciiString QUOTA = AsciiString.cached("X-Quota");
  public static final AsciiString AUTHORIZATION = AsciiString.cached("Authorization");
  private static final int ID_DIGITS = 16;
  private static final long CUSTOMER_LIMIT = 1L << 33;
  private static final long MAX_REMAINING_MS = 3_600_000;
  private static final long NANOS_PER_MS = 1_000_000L;

  private final List<String> classes;
  private final List<String> plans;
  private final Gateway.Settings settings;
  private final double maxUnits;

  public RequestValidator(GatewaySettingsReader reader, Gateway.Settings settings) {
    this.settings = settings;
    classes = reader.names("Services");
    plans = reader.names("TiersOfService");
    maxUnits =
        reader.maxUnitsPerRequest() > 0
            ? reader.maxUnitsPerRequest()
            : largestPlanCapacity(settings.plans());
  }

  /**
   * Without a largest request in the settings, units above the largest plan's capacity are invalid.
   */
  private static double largestPlanCapacity(List<Gateway.Plan> plans) {
    return plans.stream()
        .mapToDouble(plan -> Math.max(plan.burstUnits(), plan.maxConcurrency()))
        .max()
        .orElse(1);
  }

  /**
   * Returns the validated request, or null if it is malformed.
   *
   * @param headers by name; an absent header is null
   * @param body put into the request as it is, not retained
   * @param receivedAtNanos {@link System#nanoTime} of the request's arrival
   */
  public InboundRequest validate(
      HttpMethod method,
      String uri,
      Function<CharSequence, String> headers,
      ByteBuf body,
      long receivedAtNanos) {
    String requestId = headers.apply(TXN);
    int requestClass = classes.indexOf(headers.apply(LANE));
    int plan = plans.indexOf(headers.apply(PLAN));
    long customer = parseHex(headers.apply(CUSTOMER));
    long remaining = HeaderPairs.wholeNumber(headers.apply(REMAINING));
    String quota = headers.apply(QUOTA);
    if (!isRequestId(requestId)
        || requestClass < 0
        || plan < 0
        || customer < 0
        || customer >= CUSTOMER_LIMIT
        || quota == null
        || remaining < 0
        || remaining > MAX_REMAINING_MS
        || !method.equals(requiredMethod(requestClass))) {
      return null;
    }
    double units = HeaderPairs.number(quota, "units");
    long spread = HeaderPairs.wholeNumber(HeaderPairs.value(quota, "spread"));
    long first = HeaderPairs.wholeNumber(HeaderPairs.value(quota, "first"));
    int gateways = settings.gatewayCount();
    boolean duplicated =
        HeaderPairs.isDuplicated(quota, "units")
            || HeaderPairs.isDuplicated(quota, "spread")
            || HeaderPairs.isDuplicated(quota, "first");
    if (duplicated
        || !(units > 0 && units <= maxUnits)
        || spread < 1
        || spread > gateways
        || first < 0
        || first >= gateways) {
      return null;
    }
    long remainingMs = remaining - (System.nanoTime() - receivedAtNanos) / NANOS_PER_MS;
    return new InboundRequest(
        method,
        uri,
        requestId,
        requestClass,
        plan,
        customer,
        units,
        (int) spread,
        Math.max(0, remainingMs),
        body,
        Long.MAX_VALUE,
        headers.apply(AUTHORIZATION));
  }

  /**
   * Describes the error of a request that {@link #validate} rejects: the header and what it must
   * be. Header values are not repeated: they come from the client, and the text goes into logs and
   * responses.
   */
  public String describeFault(HttpMethod method, Function<CharSequence, String> headers) {
    if (!isRequestId(headers.apply(TXN))) {
      return describeFault(
          TXN, headers, "must be " + ID_DIGITS + " hex digits, new with every request");
    }
    int requestClass = classes.indexOf(headers.apply(LANE));
    if (requestClass < 0) {
      return describeFault(
          LANE, headers, "must name a class: one of " + String.join(", ", classes));
    }
    if (!method.equals(requiredMethod(requestClass))) {
      return "the method of class "
          + classes.get(requestClass)
          + " must be "
          + requiredMethod(requestClass);
    }
    if (plans.indexOf(headers.apply(PLAN)) < 0) {
      return describeFault(PLAN, headers, "must name a plan: one of " + String.join(", ", plans));
    }
    long customer = parseHex(headers.apply(CUSTOMER));
    if (customer < 0 || customer >= CUSTOMER_LIMIT) {
      return describeFault(
          CUSTOMER, headers, "must be " + ID_DIGITS + " hex digits, a number below 2^33");
    }
    long remaining = HeaderPairs.wholeNumber(headers.apply(REMAINING));
    if (remaining < 0 || remaining > MAX_REMAINING_MS) {
      return describeFault(
          REMAINING, headers, "must be whole milliseconds from 0 to " + MAX_REMAINING_MS);
    }
    return describeFault(
        QUOTA,
        headers,
        "must be units=U,spread=N,first=F, each once, with U above 0 and at most "
            + maxUnits
            + ", N from 1 to "
            + settings.gatewayCount()
            + ", F from 0 to "
            + (settings.gatewayCount() - 1));
  }

  private static String describeFault(
      AsciiString name, Function<CharSequence, String> headers, String rule) {
    return name + (headers.apply(name) == null ? " is missing: it " : ": it ") + rule;
  }

  /** Whether the request must not be executed twice. */
  public boolean isNotRepeatable(InboundRequest request) {
    return settings.classes().get(request.requestClass()).idempotency()
        != Gateway.Idempotency.IDEMPOTENT;
  }

  /**
   * The method that a class requires. Any other is malformed, since the method tells whether a
   * request may be retried.
   */
  public HttpMethod requiredMethod(int requestClass) {
    boolean repeatable =
        settings.classes().get(requestClass).idempotency() == Gateway.Idempotency.IDEMPOTENT;
    return repeatable ? HttpMethod.GET : HttpMethod.POST;
  }

  /** Index of the class that a request names, or -1. */
  public int requestClassOf(Function<CharSequence, String> headers) {
    return classes.indexOf(headers.apply(LANE));
  }

  /** Whether the text is a valid request id: 16 hex digits. */
  public static boolean isRequestId(String text) {
    if (text == null || text.length() != ID_DIGITS) {
      return false;
    }
    for (int i = 0; i < ID_DIGITS; i++) {
      if (hexDigit(text.charAt(i)) < 0) {
        return false;
      }
    }
    return true;
  }

  /**
   * The value of an ASCII hex digit; negative for any other character, also for digits of other
   * scripts.
   */
  private static int hexDigit(char each) {
    if (each >= '0' && each <= '9') {
      return each - '0';
    }
    int letter = each | 0x20;
    return letter >= 'a' && letter <= 'f' && each < 0x80 ? letter - 'a' + 10 : -1;
  }

  /** Parses 16 hex digits; negative if the text is anything else, also with a sign. */
  private static long parseHex(String text) {
    if (text == null || text.length() != ID_DIGITS) {
      return -1;
    }
    long number = 0;
    for (int i = 0; i < ID_DIGITS; i++) {
      int digit = hexDigit(text.charAt(i));
      if (digit < 0) {
        return -1;
      }
      number = number << 4 | digit;
    }
    return number;
  }
}
