package nettletrail.fleet.settings;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The key-value pairs of a settings file, with typed access.
 *
 * <p>A key with an empty value counts as absent. An invalid value is added to {@link #faults} and
 * replaced by the default or another placeholder, so that parsing continues and finds all faults.
 */
final class SettingsValues {
  private static final BigDecimal MAX_NUMBER = BigDecimal.valueOf(1L << 52);

  private final Map<String, String> values = new LinkedHashMap<>();
  private final List<SettingsFault> faults = new ArrayList<>();

  /** Splits a text into its lines; blank lines and those that begin with {@code #} are skipped. */
  SettingsValues(String text) {
    for (String line : text.split("\\R")) {
      addLine(line.strip());
    }
  }

  private void addLine(String line) {
    if (line.isEmpty() || line.startsWith("#")) {
      return;
    }
    int equals = line.indexOf('=');
    if (equals <= 0) {
      faults.add(new SettingsFault("a line", line, "write key=value"));
      return;
    }
    values.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
  }

  /** The faults found so far, in the order in which they were found. */
  List<SettingsFault> faults() {
    return faults;
  }

  /** Adds a fault of a key. */
  void addFault(String key, String remedy) {
    faults.add(new SettingsFault(key, values.getOrDefault(key, ""), remedy));
  }

  /** Whether a key has a value that is not empty. */
  boolean hasValue(String key) {
    return !values.getOrDefault(key, "").isEmpty();
  }

  /** Whether a key is in the file, even with an empty value. */
  boolean isDefined(String key) {
    return values.containsKey(key);
  }

  /** The value of a key, or a default if it has none. */
  String text(String key, String defaultValue) {
    return hasValue(key) ? values.get(key) : defaultValue;
  }

  /** The value of a key; adds a fault and returns the empty string if it has none. */
  String requiredText(String key, String remedy) {
    if (!hasValue(key)) {
      addFault(key, remedy);
    }
    return text(key, "");
  }

  /** The items of a value, which are separated by commas; blank items are skipped. */
  List<String> list(String key) {
    return Arrays.stream(text(key, "").split(","))
        .map(String::strip)
        .filter(item -> !item.isEmpty())
        .toList();
  }

  /** The values of all keys that begin with a prefix, by the rest of the key. */
  Map<String, String> withPrefix(String prefix) {
    Map<String, String> found = new TreeMap<>();
    values.forEach(
        (key, value) -> {
          if (key.startsWith(prefix)) {
            found.put(key.substring(prefix.length()), value);
          }
        });
    return found;
  }

  /** {@code true} or {@code false}. */
  boolean booleanValue(String key, boolean defaultValue) {
    if (!hasValue(key)) {
      return defaultValue;
    }
    String value = values.get(key);
    if (!value.equals("true") && !value.equals("false")) {
      addFault(key, "write true or false");
    }
    return value.equals("true");
  }

  /** A number from 0. */
  double doubleValue(String key, double defaultValue) {
    return number(key, BigDecimal.valueOf(defaultValue)).doubleValue();
  }

  /** A number from 0, truncated to an integer. */
  long longValue(String key, long defaultValue) {
    return number(key, BigDecimal.valueOf(defaultValue)).longValue();
  }

  /** A number from 0 to {@link Integer#MAX_VALUE}, truncated to an integer. */
  int intValue(String key, int defaultValue) {
    long value = longValue(key, defaultValue);
    if (value > Integer.MAX_VALUE) {
      addFault(key, "write a number below " + Integer.MAX_VALUE);
      return defaultValue;
    }
    return (int) value;
  }

  /** A time in seconds, rounded to the nanosecond. */
  Duration seconds(String key, long defaultValue) {
    return duration(key, defaultValue, Duration.ofSeconds(1));
  }

  /** A time in milliseconds, rounded to the nanosecond. */
  Duration millis(String key, long defaultValue) {
    return duration(key, defaultValue, Duration.ofMillis(1));
  }

  private Duration duration(String key, long defaultValue, Duration unit) {
    BigDecimal units = number(key, BigDecimal.valueOf(defaultValue));
    BigDecimal nanos = units.multiply(BigDecimal.valueOf(unit.toNanos()));
    if (nanos.compareTo(BigDecimal.valueOf(Long.MAX_VALUE)) > 0) {
      addFault(key, "write a shorter time");
      return unit.multipliedBy(defaultValue);
    }
    return Duration.ofNanos(nanos.setScale(0, RoundingMode.HALF_UP).longValue());
  }

  private BigDecimal number(String key, BigDecimal defaultValue) {
    if (!hasValue(key)) {
      return defaultValue;
    }
    try {
      BigDecimal value = new BigDecimal(values.get(key));
      if (value.signum() >= 0 && value.compareTo(MAX_NUMBER) <= 0) {
        return value;
      }
    } catch (NumberFormatException notANumber) {
      // Reported below, like a number out of range.
    }
    addFault(key, "write a number from 0 to " + MAX_NUMBER);
    return defaultValue;
  }

  /** An optional {@code ip:port}; returned as it is if it is invalid. */
  Optional<String> address(String key) {
    if (!hasValue(key)) {
      return Optional.empty();
    }
    if (!Addresses.isIpAndPort(values.get(key))) {
      addFault(key, "write ip:port");
    }
    return Optional.of(values.get(key));
  }

  /** A list of {@code ip:port}; returned as it is if any is invalid. */
  List<String> addresses(String key) {
    List<String> found = list(key);
    if (!found.stream().allMatch(Addresses::isIpAndPort)) {
      addFault(key, "write ip:port, joined by commas");
    }
    return found;
  }

  /** Two ports from 1, the first not above the second. */
  PortRange portRange(String key) {
    List<Integer> ports = list(key).stream().map(Addresses::parsePort).toList();
    if (ports.size() == 2 && ports.get(0) > 0 && ports.get(0) <= ports.get(1)) {
      return new PortRange(ports.get(0), ports.get(1));
    }
    addFault(key, "write the first and the last port, joined by a comma");
    return new PortRange(1, 1);
  }
}
