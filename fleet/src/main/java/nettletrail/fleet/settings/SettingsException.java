package nettletrail.fleet.settings;

import java.util.List;
import java.util.stream.Collectors;

/** A settings file that can't be used; names all its faults at once. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String source;
  private final transient List<SettingsFault> faults;

  /**
   * An error with at least one fault.
   *
   * @param source the file, or what else was read
   */
  public SettingsException(String source, List<SettingsFault> faults) {
    super(
        "Settings of "
            + source
            + " can't be used: "
            + faults.stream().map(SettingsFault::toString).collect(Collectors.joining("; ")));
    this.source = source;
    this.faults = List.copyOf(faults);
  }

  /** What was read. */
  public String source() {
    return source;
  }

  /** All faults, in the order of the checks. */
  public List<SettingsFault> faults() {
    return faults;
  }
}
