package nettletrail.store;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;

/**
 * A folder of the local file system for inspection: every operation that would change it fails.
 * Names come sorted, so that reports are the same at each run.
 */
final class ReadOnlyDirectory implements Directory {

  private final Path path;

  /** A folder that exists. */
  ReadOnlyDirectory(Path path) {
    this.path = path;
  }

  /** The names of the folders in this one, sorted. */
  List<String> listFolders() throws StorageException {
    return sorted(Files::isDirectory);
  }

  /** The names of everything else in this folder, sorted. */
  @Override
  public List<String> list() throws StorageException {
    return sorted(entry -> !Files.isDirectory(entry));
  }

  private List<String> sorted(Predicate<Path> included) throws StorageException {
    List<String> names = LocalFiles.list(path, included);
    names.sort(null);
    return names;
  }

  @Override
  public byte[] read(String name) throws StorageException {
    return LocalFiles.read(path.resolve(name));
  }

  @Override
  public void write(String name, byte[] content) throws StorageException {
    throw rejected(StorageException.Step.WRITE, name);
  }

  @Override
  public void sync(String name) throws StorageException {
    throw rejected(StorageException.Step.SYNC, name);
  }

  @Override
  public void rename(String from, String to) throws StorageException {
    throw rejected(StorageException.Step.RENAME, from);
  }

  @Override
  public void remove(String name) throws StorageException {
    throw rejected(StorageException.Step.REMOVE, name);
  }

  @Override
  public void syncDirectory() throws StorageException {
    throw rejected(StorageException.Step.SYNC_DIRECTORY, "");
  }

  /** The folder of that name; not created if it doesn't exist. */
  @Override
  public ReadOnlyDirectory subdirectory(String name) {
    return new ReadOnlyDirectory(path.resolve(name));
  }

  private StorageException rejected(StorageException.Step step, String name) {
    return new StorageException(step, path.resolve(name).toString(), "read-only", null);
  }
}
