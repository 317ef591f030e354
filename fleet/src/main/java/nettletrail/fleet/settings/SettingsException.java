package nettletrail.fleet.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for settings that can't be used; lists every fault, not only the first. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String source;
  private final transient List<SettingsFault> faults;

  /**
   * Creates an error from the faults of one source.
   *
   * @param source the file's name, or a description of what was read
   * @param faults at least one, in the order of the checks
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

  /** The file's name, or a description of what was read. */
  public String source() {
    return source;
  }

  /** All faults, in the order of the checks; never empty. */
  public List<SettingsFault> faults() {
    return faults;
  }
}
