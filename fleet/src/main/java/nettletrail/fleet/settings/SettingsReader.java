package nettletrail.fleet.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Finds, reads and checks settings files. An error lists every fault, not only the first. */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * The path of the settings file, from {@link FleetSettings#PATH_VARIABLE}.
   *
   * @param environment the process's environment variables
   * @throws SettingsException if the variable is not set or not a path
   */
  public static Path pathFrom(Map<String, String> environment) throws SettingsException {
    String path = environment.getOrDefault(FleetSettings.PATH_VARIABLE, "");
    try {
      if (!path.isEmpty()) {
        return Path.of(path);
      }
    } catch (InvalidPathException failure) {
      // Reported below, like a variable that is not set.
    }
    String remedy = "set it to the path of the settings file";
    SettingsFault fault = new SettingsFault(FleetSettings.PATH_VARIABLE, path, remedy);
    throw new SettingsException("the environment", List.of(fault));
  }

  /**
   * Reads a file.
   *
   * @throws SettingsException if the file can't be read or has faults
   */
  public static FleetSettings read(Path file) throws SettingsException {
    try {
      return parse(Files.readString(file), file.toString());
    } catch (IOException failure) {
      SettingsFault fault =
          new SettingsFault("the file", file.toString(), "make it readable (" + failure + ")");
      throw new SettingsException(file.toString(), List.of(fault));
    }
  }

  /** Parses the content of a file, in UTF-8; see {@link #parse(String, String)}. */
  static FleetSettings parse(byte[] content, String source) throws SettingsException {
    return parse(new String(content, StandardCharsets.UTF_8), source);
  }

  /**
   * Parses the text of a file. Unknown keys are ignored.
   *
   * @param source where the text is from, named in the error
   * @throws SettingsException with all faults
   */
  public static FleetSettings parse(String text, String source) throws SettingsException {
    return SettingsParser.parse(text, source);
  }
}
