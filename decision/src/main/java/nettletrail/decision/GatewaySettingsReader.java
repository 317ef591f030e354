package nettletrail.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads a gateway's settings from lines of the form path=value: the text of the {@code start}
 * event, or the same lines made from a configuration file. Unknown keys are ignored; an absent key
 * has the default given where it is read, in most cases 0.
 */
public final class GatewaySettingsReader {
  /** Names in the settings of the load report values that the gateway uses. */
  public static final String QUEUED_REQUESTS = "pending";

  public static final String CPU_UTILIZATION = "cpu_share";
  public static final String REQUESTS_PER_SECOND = "served_ps";

  private static final long DEFAULT_MAX_DEADLINE = 3_000_000_000L;

  private final Map<String, String> values = new HashMap<>();

  /**
   * @throws InvalidInputException if a line that is not blank has no key
   */
  public GatewaySettingsReader(String text) {
    for (String line : text.split("\n")) {
      int equals = line.indexOf('=');
      if (equals > 0) {
        values.put(line.substring(0, equals), line.substring(equals + 1).strip());
      } else if (!line.isBlank()) {
        throw new InvalidInputException("settings: no '=' in line '" + line + "'");
      }
    }
  }

  /**
   * The settings of this gateway.
   *
   * @param seed seed of its random numbers
   * @throws InvalidInputException if a value is malformed
   * @throws IllegalArgumentException if a value is out of range, naming the field
   */
  public Gateway.Settings settings(long seed) {
    List<Gateway.RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < count("Services.count"); i++) {
      classes.add(requestClass("Services." + i + "."));
    }
    List<Gateway.Plan> plans = new ArrayList<>();
    for (int i = 0; i < count("TiersOfService.count"); i++) {
      plans.add(plan("TiersOfService." + i + "."));
    }
    return new Gateway.Settings(
        count("Balancers", 1),
        count("Zone"),
        seed,
        durationNanos("Step"),
        count("Ceilings.MaxAttempts", 1),
        text("Discovery", "push").equals("ask"),
        number("Obligations.ColdFrom", 1),
        durationNanos("Obligations.RampTime"),
        number("Obligations.OverloadFactor", 1),
        durationNanos("Obligations.Fall"),
        number("Charges.CrossZone", 0),
        durationNanos("FamilyInfo.Metering"),
        classes,
        plans);
  }

  /** This gateway's index among all gateways, from 0; -1 if absent or out of range. */
  public int gatewayIndex() {
    double index = number("Index", -1);
    return index >= 0 && index < count("Balancers", 1) ? (int) index : -1;
  }

  /** The aperture's settings; each absent key keeps the value of {@code defaults}. */
  public ApertureSettings aperture(ApertureSettings defaults) {
    boolean enabled =
        switch (text("Aperture.Enabled", String.valueOf(defaults.enabled()))) {
          case "true" -> true;
          case "false" -> false;
          default -> throw malformed("Aperture.Enabled");
        };
    return new ApertureSettings(
        enabled,
        count("Aperture.Least", defaults.minBackends()),
        count("Aperture.DoorsPerBackend", defaults.minGatewaysPerBackend()));
  }

  /** The names of a load report's values, in their order on the wire. */
  public List<String> loadReportFields() {
    return list("Report.Fields");
  }

  /** Maximum units of one request; 0 if the settings do not say. */
  public double maxUnitsPerRequest() {
    return number("FamilyInfo.MostUnits", 0);
  }

  /**
   * The longest client deadline over all classes, ns; 3 s, the protocol's maximum, if no class has
   * one.
   */
  public long maxDeadlineNanos() {
    long longest = 0;
    for (int i = 0; i < count("Services.count"); i++) {
      longest = Math.max(longest, durationNanos("Services." + i + ".Deadline"));
    }
    return longest > 0 ? longest : DEFAULT_MAX_DEADLINE;
  }

  /** A comma-separated list of values; empty if absent. */
  public List<String> list(String key) {
    String values = text(key, "");
    return values.isEmpty() ? List.of() : List.of(values.split(","));
  }

  /** The names of a list of objects, in order. */
  public List<String> names(String key) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count(key + ".count"); i++) {
      names.add(text(key + "." + i + ".Name", ""));
    }
    return names;
  }

  private Gateway.RequestClass requestClass(String prefix) {
    long deadline = durationNanos(prefix + "Deadline");
    Gateway.Idempotency idempotency =
        switch (text(prefix + "Effect", "single_shot")) {
          case "free" -> Gateway.Idempotency.IDEMPOTENT;
          case "guarded" -> Gateway.Idempotency.KEYED;
          case "single_shot" -> Gateway.Idempotency.NOT_IDEMPOTENT;
          default -> throw malformed(prefix + "Effect");
        };
    Gateway.DedupScope dedupScope =
        switch (text(prefix + "DedupScope", "cell")) {
          case "all" -> Gateway.DedupScope.ALL;
          case "zone" -> Gateway.DedupScope.ZONE;
          default -> Gateway.DedupScope.CELL;
        };
    long target =
        values.containsKey(prefix + "Aim")
            ? durationNanos(prefix + "Aim")
            : deadline > 0 ? deadline : DEFAULT_MAX_DEADLINE;
    return new Gateway.RequestClass(
        Math.max(1, target),
        number(prefix + "Worth", 1),
        number(prefix + "LateValue", 0),
        idempotency,
        dedupScope,
        durationNanos(prefix + "Window"));
  }

  private Gateway.Plan plan(String prefix) {
    return new Gateway.Plan(
        number(prefix + "PerSecond", 0),
        number(prefix + "Burst", 0),
        count(prefix + "MaxOut"),
        number(prefix + "NeverOverRate", 0),
        number(prefix + "HardBurst", 0),
        number(prefix + "HardSlack", 0),
        number(prefix + "ExcessCost", 0),
        number(prefix + "BeyondEarns", 0),
        number(prefix + "Pays", 1));
  }

  private String text(String key, String defaultValue) {
    return values.getOrDefault(key, defaultValue);
  }

  private int count(String key) {
    return count(key, 0);
  }

  private int count(String key, int defaultValue) {
    double value = number(key, defaultValue);
    if (value < 0 || value > 1_000_000) {
      throw malformed(key);
    }
    return (int) value;
  }

  /** A duration in ns; 0 if absent. */
  public long durationNanos(String key) {
    return (long) number(key, 0);
  }

  private double number(String key, double defaultValue) {
    String value = values.get(key);
    if (value == null) {
      return defaultValue;
    }
    try {
      double number = Double.parseDouble(value);
      if (Double.isFinite(number)) {
        return number;
      }
    } catch (NumberFormatException e) {
      throw malformed(key);
    }
    throw malformed(key);
  }

  private InvalidInputException malformed(String key) {
    return new InvalidInputException(
        "settings: malformed value '" + values.get(key) + "' of " + key);
  }
}
