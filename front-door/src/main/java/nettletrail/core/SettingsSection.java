package nettletrail.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One section of the operator file: its keys, each with type, range, default and a help line. A
 * subsystem builds its settings record from the values that {@link #read} returns. Independent of
 * files and of TOML.
 */
public final class SettingsSection {

  /** Type of a key's value. */
  public enum Kind {
    BOOLEAN,
    INTEGER,
    STRING,
    ADDRESS
  }

  /**
   * One key.
   *
   * @param min smallest whole number, or fewest characters of a text; otherwise unused
   * @param max largest whole number, or most characters of a text; otherwise unused
   * @param defaultValue the value if the file has none
   * @param help help line for operators, with the unit
   */
  public record Key(String name, Kind kind, long min, long max, Object defaultValue, String help) {
    /** The allowed values in words. */
    public String range() {
      return switch (kind) {
        case BOOLEAN -> "true or false";
        case INTEGER -> "a whole number from " + min + " to " + max;
        case STRING -> "a text of " + min + " to " + max + " characters";
        case ADDRESS -> "IP:PORT in quotes, or \"\" for none";
      };
    }
  }

  /**
   * An invalid key or value.
   *
   * @param key the key's name, without the section's name
   * @param message the rule that the value breaks, and what to do
   */
  public record Fault(String key, String message) {}

  private final String name;
  private final String help;
  private final Map<String, Key> keys = new LinkedHashMap<>();

  public SettingsSection(String name, String help) {
    this.name = name;
    this.help = help;
  }

  public SettingsSection flag(String key, boolean defaultValue, String help) {
    return add(new Key(key, Kind.BOOLEAN, 0, 0, defaultValue, help));
  }

  public SettingsSection integer(String key, long min, long max, long defaultValue, String help) {
    return add(new Key(key, Kind.INTEGER, min, max, defaultValue, help));
  }

  public SettingsSection text(String key, int min, int max, String defaultValue, String help) {
    return add(new Key(key, Kind.STRING, min, max, defaultValue, help));
  }

  /** Adds a key for {@code IP:PORT}, or an empty text for none. */
  public SettingsSection address(String key, String defaultValue, String help) {
    return add(new Key(key, Kind.ADDRESS, 0, 0, defaultValue, help));
  }

  private SettingsSection add(Key key) {
    keys.put(key.name(), key);
    return this;
  }

  public String name() {
    return name;
  }

  public String help() {
    return help;
  }

  public List<Key> keys() {
    return List.copyOf(keys.values());
  }

  /**
   * Returns the section's values, with defaults for absent and invalid ones.
   *
   * @param configured values by key; numbers as {@link Long}, texts as {@link String}, flags as
   *     {@link Boolean}
   * @param faults receives each unknown key and each value that breaks its rule
   */
  public Values read(Map<String, Object> configured, Consumer<Fault> faults) {
    Map<String, Object> values = new LinkedHashMap<>();
    keys.values().forEach(key -> values.put(key.name(), key.defaultValue()));
    configured.forEach(
        (key, value) -> {
          Key known = keys.get(key);
          if (known == null) {
            faults.accept(
                new Fault(
                    key, "is no key of [" + name + "]: it has " + String.join(", ", names())));
          } else if (isValid(known, value)) {
            values.put(key, value);
          } else {
            faults.accept(new Fault(key, "must be " + known.range() + " (" + known.help() + ")"));
          }
        });
    return new Values(values);
  }

  private List<String> names() {
    return new ArrayList<>(keys.keySet());
  }

  private static boolean isValid(Key key, Object value) {
    return switch (key.kind()) {
      case BOOLEAN -> value instanceof Boolean;
      case INTEGER -> value instanceof Long number && number >= key.min() && number <= key.max();
      case STRING ->
          value instanceof String text && text.length() >= key.min() && text.length() <= key.max();
      case ADDRESS ->
          value instanceof String text && (text.isEmpty() || Endpoint.parseAddress(text) != null);
    };
  }

  /** Validated values by key. */
  public record Values(Map<String, Object> values) {
    public Values {
      values = Map.copyOf(values);
    }

    public boolean flag(String key) {
      return (Boolean) values.get(key);
    }

    public long integer(String key) {
      return (Long) values.get(key);
    }

    public String text(String key) {
      return (String) values.get(key);
    }
  }
}
