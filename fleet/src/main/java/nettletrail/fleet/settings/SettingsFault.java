package nettletrail.fleet.settings;

/**
 * One fault of a settings file.
 *
 * @param key the key whose value is missing or invalid
 * @param value the value in the file; empty if there is none
 * @param remedy how to correct it, as an imperative sentence
 */
public record SettingsFault(String key, String value, String remedy) {
  @Override
  public String toString() {
    String found = value.isEmpty() ? "has no value" : "is '" + value + "'";
    return key + " " + found + ": " + remedy;
  }
}
