package nettletrail.fleet.settings;

/**
 * One fault of a settings file.
 *
 * @param key the key that is missing or has a wrong value
 * @param value the value as it stands in the file; empty if there is none
 * @param remedy what would do
 */
public record SettingsFault(String key, String value, String remedy) {
  @Override
  public String toString() {
    String found = value.isEmpty() ? "has no value" : "is '" + value + "'";
    return key + " " + found + ": " + remedy;
  }
}
