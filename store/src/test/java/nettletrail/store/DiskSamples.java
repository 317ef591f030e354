package nettletrail.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Reads and copies the sample directories that hold the format of the state on disk. */
final class DiskSamples {
  private DiskSamples() {}

  /** All files below a folder: their bytes in hexadecimal by their relative names. */
  static Map<String, String> contents(Path root) throws IOException {
    Map<String, String> contents = new TreeMap<>();
    try (Stream<Path> files = Files.walk(root)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        contents.put(
            root.relativize(file).toString(), HexFormat.of().formatHex(Files.readAllBytes(file)));
      }
    }
    return contents;
  }

  /** Copies all files below a folder. */
  static void copy(Path sample, Path target) throws IOException {
    for (String name : contents(sample).keySet()) {
      Path file = target.resolve(name);
      Files.createDirectories(file.getParent());
      Files.copy(sample.resolve(name), file);
    }
  }
}
