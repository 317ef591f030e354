package nettletrail.store;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A folder of the local file system that is only looked at: everything that would change it fails.
 */
final class ReadOnlyDirectory implements Directory {

  private final Path path;

  ReadOnlyDirectory(Path path) {
    this.path = path;
  }

  /** Whether the folder is there. */
  boolean exists() {
    return Files.isDirectory(path);
  }

  /** The names of the folders in this one. */
  List<String> listFolders() throws StorageException {
    return list(true);
  }

  @Override
  public List<String> list() throws StorageException {
    return list(false);
  }

  private List<String> list(boolean folders) throws StorageException {
    List<String> names = new ArrayList<>();
    try (DirectoryStream<Path> entries = Files.newDirectoryStream(path)) {
      for (Path entry : entries) {
        if (Files.isDirectory(entry) == folders) {
          names.add(entry.getFileName().toString());
        }
      }
    } catch (IOException failure) {
      throw new StorageException(
          StorageException.Step.LIST, path.toString(), failure.toString(), failure);
    }
    names.sort(null);
    return names;
  }

  @Override
  public byte[] read(String name) throws StorageException {
    Path file = path.resolve(name);
    try {
      return Files.readAllBytes(file);
    } catch (IOException failure) {
      throw new StorageException(
          StorageException.Step.READ, file.toString(), failure.toString(), failure);
    }
  }

  @Override
  public void write(String name, byte[] content) throws StorageException {
    throw refused(StorageException.Step.WRITE, name);
  }

  @Override
  public void sync(String name) throws StorageException {
    throw refused(StorageException.Step.SYNC, name);
  }

  @Override
  public void rename(String from, String to) throws StorageException {
    throw refused(StorageException.Step.RENAME, from);
  }

  @Override
  public void remove(String name) throws StorageException {
    throw refused(StorageException.Step.REMOVE, name);
  }

  @Override
  public void syncDirectory() throws StorageException {
    throw refused(StorageException.Step.SYNC_DIRECTORY, "");
  }

  @Override
  public ReadOnlyDirectory subdirectory(String name) {
    return new ReadOnlyDirectory(path.resolve(name));
  }

  private StorageException refused(StorageException.Step step, String name) {
    return new StorageException(step, path.resolve(name).toString(), "only looked at", null);
  }
}
