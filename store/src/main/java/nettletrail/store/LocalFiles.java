package nettletrail.store;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Reading of the local file system, with typed failures. */
final class LocalFiles {

  private LocalFiles() {}

  /** The names of those entries of a folder that the predicate takes, in no particular order. */
  static List<String> list(Path folder, Predicate<Path> included) throws StorageException {
    List<String> names = new ArrayList<>();
    try (DirectoryStream<Path> entries = Files.newDirectoryStream(folder)) {
      for (Path entry : entries) {
        if (included.test(entry)) {
          names.add(entry.getFileName().toString());
        }
      }
    } catch (IOException failure) {
      throw StorageException.failed(StorageException.Step.LIST, folder, failure);
    }
    return names;
  }

  /** The complete content of a file. */
  static byte[] read(Path file) throws StorageException {
    try {
      return Files.readAllBytes(file);
    } catch (IOException failure) {
      throw StorageException.failed(StorageException.Step.READ, file, failure);
    }
  }
}
