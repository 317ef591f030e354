package nettletrail.fleet.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;

/** Reads files that are named on the command line. */
final class InputFile {
  private InputFile() {}

  /**
   * The content of a file.
   *
   * @throws CommandException if it can't be read
   */
  static byte[] read(String name) throws CommandException {
    try {
      return Files.readAllBytes(Path.of(name));
    } catch (IOException | InvalidPathException failure) {
      throw new CommandException(
          ExitCode.USAGE, CommandStep.READ, name, failure.toString(), failure);
    }
  }

  /**
   * Warns if the configuration requires no keys, so that its routes are open to everyone.
   *
   * @param json whether the warning is written as JSON
   */
  static void warnOfOpenRoutes(ConfigurationDocument document, boolean json, Console console) {
    if (!document.keysRequired()) {
      String routes = String.join(", ", document.routesWithoutKey());
      console.printWarning("without senders these routes are open to everyone: " + routes, json);
    }
  }

  /**
   * The configuration in a file, of any edition.
   *
   * @throws CommandException if the file can't be read or the configuration is invalid
   */
  static ConfigurationDocument readConfiguration(String name) throws CommandException {
    byte[] json = read(name);
    try {
      ConfigurationDocument document = ConfigurationDocument.parse(json);
      document.requireValidAfter(document.edition() - 1);
      return document;
    } catch (ConfigurationException failure) {
      throw new CommandException(
          ExitCode.DIFFERENT, CommandStep.CHECK, name, failure.getMessage(), failure);
    }
  }
}
