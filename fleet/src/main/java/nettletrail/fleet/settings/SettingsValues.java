package nettletrail.fleet.settings;

import io.netty.util.NetUtil;
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
 * The lines of a settings file, read value by value; collects the faults met on the way.
 *
 * <p>A key with an empty value counts as absent. Where a value is at fault, a stand-in is returned
 * so that the reading goes on.
 */
final class SettingsValues {
  private static final int HIGHEST_PORT = 65_535;
  private static final BigDecimal LARGEST_NUMBER = BigDecimal.valueOf(1L << 52);

  private final Map<String, String> values = new LinkedHashMap<>();
  private final List<SettingsFault> faults = new ArrayList<>();

  /** Cuts a file into its lines; blank lines and those that begin with {@code #} are left out. */
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

  /** All faults so far. */
  List<SettingsFault> faults() {
    return faults;
  }

  /** Notes a fault of a key. */
  void fault(String key, String remedy) {
    faults.add(new SettingsFault(key, values.getOrDefault(key, ""), remedy));
  }

  boolean isPresent(String key) {
    return !values.getOrDefault(key, "").isEmpty();
  }

  boolean isNamed(String key) {
    return values.containsKey(key);
  }

  String text(String key, String otherwise) {
    return isPresent(key) ? values.get(key) : otherwise;
  }

  String requiredText(String key, String remedy) {
    if (!isPresent(key)) {
      fault(key, remedy);
    }
    return text(key, "");
  }

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

  boolean flag(String key, boolean otherwise) {
    if (!isPresent(key)) {
      return otherwise;
    }
    String value = values.get(key);
    if (!value.equals("true") && !value.equals("false")) {
      fault(key, "write true or false");
    }
    return value.equals("true");
  }

  /** A number of 0 or more. */
  double fraction(String key, double otherwise) {
    return number(key, BigDecimal.valueOf(otherwise)).doubleValue();
  }

  /** A number of 0 or more, without its fraction. */
  long wholeNumber(String key, long otherwise) {
    return number(key, BigDecimal.valueOf(otherwise)).longValue();
  }

  /** A number of 0 or more that fits an int, without its fraction. */
  int smallNumber(String key, int otherwise) {
    long value = wholeNumber(key, otherwise);
    if (value > Integer.MAX_VALUE) {
      fault(key, "write a number below " + Integer.MAX_VALUE);
      return otherwise;
    }
    return (int) value;
  }

  Duration seconds(String key, long otherwise) {
    return duration(key, otherwise, Duration.ofSeconds(1));
  }

  Duration millis(String key, long otherwise) {
    return duration(key, otherwise, Duration.ofMillis(1));
  }

  private Duration duration(String key, long otherwise, Duration unit) {
    BigDecimal units = number(key, BigDecimal.valueOf(otherwise));
    BigDecimal nanos = units.multiply(BigDecimal.valueOf(unit.toNanos()));
    if (nanos.compareTo(BigDecimal.valueOf(Long.MAX_VALUE)) > 0) {
      fault(key, "write a shorter time");
      return unit.multipliedBy(otherwise);
    }
    return Duration.ofNanos(nanos.setScale(0, RoundingMode.HALF_UP).longValue());
  }

  private BigDecimal number(String key, BigDecimal otherwise) {
    if (!isPresent(key)) {
      return otherwise;
    }
    try {
      BigDecimal value = new BigDecimal(values.get(key));
      if (value.signum() >= 0 && value.compareTo(LARGEST_NUMBER) <= 0) {
        return value;
      }
    } catch (NumberFormatException notANumber) {
      // Named below, together with numbers out of range.
    }
    fault(key, "write a number from 0 to " + LARGEST_NUMBER);
    return otherwise;
  }

  /** An optional {@code ip:port}. */
  Optional<String> address(String key) {
    if (!isPresent(key)) {
      return Optional.empty();
    }
    if (!isAddress(values.get(key))) {
      fault(key, "write ip:port");
    }
    return Optional.of(values.get(key));
  }

  /** A list of {@code ip:port}. */
  List<String> addresses(String key) {
    List<String> found = list(key);
    if (!found.stream().allMatch(SettingsValues::isAddress)) {
      fault(key, "write ip:port, joined by commas");
    }
    return found;
  }

  /** Two ports, the first not above the second. */
  PortRange portRange(String key) {
    List<Integer> ports = list(key).stream().map(SettingsValues::port).toList();
    if (ports.size() == 2 && ports.get(0) > 0 && ports.get(0) <= ports.get(1)) {
      return new PortRange(ports.get(0), ports.get(1));
    }
    fault(key, "write the first and the last port, joined by a comma");
    return new PortRange(1, 1);
  }

  static boolean isIp(String text) {
    return NetUtil.isValidIpV4Address(text);
  }

  private static boolean isAddress(String text) {
    int colon = text.lastIndexOf(':');
    return colon > 0 && isIp(text.substring(0, colon)) && port(text.substring(colon + 1)) >= 0;
  }

  /** A port from 0 to 65535, or -1. */
  private static int port(String text) {
    try {
      int port = Integer.parseInt(text);
      return port >= 0 && port <= HIGHEST_PORT ? port : -1;
    } catch (NumberFormatException notANumber) {
      return -1;
    }
  }
}
