package nettletrail.extproc;

import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * The headers of a message that this processor reads, by case-insensitive name; all others are
 * ignored. A known header that is repeated, or has a CR, LF or NUL in its value, is an error,
 * because two parsers could interpret it differently (RFC 9113 sections 8.2.1 and 8.3.1).
 */
final class KnownHeaders implements Function<CharSequence, String> {
  static final String METHOD = ":method";
  static final String PATH = ":path";
  private static final String AUTHORITY = ":authority";
  private static final String HOST = "host";
  static final String STATUS = ":status";
  static final String ATTEMPT_COUNT = "x-envoy-attempt-count";
  static final String NOT_STARTED = "x-turned-away";
  private static final Set<String> KNOWN_NAMES =
      Set.of(
          METHOD,
          PATH,
          AUTHORITY,
          HOST,
          STATUS,
          ATTEMPT_COUNT,
          NOT_STARTED,
          "x-txn",
          "x-lane",
          "x-plan",
          "x-customer",
          "x-remaining-ms",
          "x-quota",
          "x-quota-used",
          "x-units-charged",
          "x-pressure",
          "authorization");

  /** A longer value is invalid for each of the known headers and is read as empty. */
  private static final int MAX_VALUE_BYTES = 4_096;

  private final Map<String, String> values = new HashMap<>();
  private String error;

  KnownHeaders(HeaderMap from) {
    for (HeaderValue header : from.getHeadersList()) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (KNOWN_NAMES.contains(name)) {
        // Envoy sets raw_value since 1.29, value in earlier versions.
        String value =
            header.getRawValue().isEmpty()
                ? header.getValue()
                : header.getRawValue().size() > MAX_VALUE_BYTES
                    ? ""
                    : header.getRawValue().toStringUtf8();
        if (values.put(name, value) != null) {
          error = name + " is there twice: it must be there once";
        } else if (hasControlCharacter(value)) {
          error = name + " holds a line's end or a NUL: a value is one line";
        }
      }
    }
  }

  private static boolean hasControlCharacter(String value) {
    return value.indexOf('\r') >= 0 || value.indexOf('\n') >= 0 || value.indexOf('\0') >= 0;
  }

  /** Description of the error in the headers, or null if there is none. */
  String error() {
    return error;
  }

  @Override
  public String apply(CharSequence name) {
    return values.get(name.toString().toLowerCase(Locale.ROOT));
  }

  /**
   * The header's value as a whole number of at most 9 digits, or -1 if it is absent or not such a
   * number.
   */
  int nonNegativeInt(String name) {
    String value = values.get(name);
    if (value == null
        || value.isEmpty()
        || value.length() > 9
        || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
      return -1;
    }
    return Integer.parseInt(value);
  }
}
