package nettletrail.fleet.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;

/** Files named on the command line. */
final class InputFile {
  private InputFile() {}

  /** The bytes of a file. */
  static byte[] read(String name) throws ClientException {
    try {
      return Files.readAllBytes(Path.of(name));
    } catch (IOException | InvalidPathException failure) {
      throw new ClientException(ExitCode.USAGE, ClientStep.READ, name, failure.toString());
    }
  }

  /** A file as a configuration that holds no faults, of whatever edition. */
  static ConfigurationDocument readConfiguration(String name) throws ClientException {
    byte[] json = read(name);
    try {
      ConfigurationDocument document = ConfigurationDocument.parse(json);
      document.requireValidAfter(document.edition() - 1);
      return document;
    } catch (ConfigurationException failure) {
      throw new ClientException(ExitCode.DIFFERENT, ClientStep.CHECK, name, failure.getMessage());
    }
  }
}
