package nettletrail.store;

import static java.nio.file.StandardOpenOption.CREATE;
import static java.nio.file.StandardOpenOption.READ;
import static java.nio.file.StandardOpenOption.TRUNCATE_EXISTING;
import static java.nio.file.StandardOpenOption.WRITE;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;

/** A folder of the local file system. Blocking; failures carry the step and the full path. */
public final class DiskDirectory implements Directory {

  private final Path path;

  private DiskDirectory(Path path) {
    this.path = path;
  }

  /** Opens a folder, creating it and its parents if they do not exist. */
  public static DiskDirectory open(Path path) throws StorageException {
    try {
      Files.createDirectories(path);
    } catch (IOException failure) {
      throw StorageException.failed(StorageException.Step.CREATE_DIRECTORY, path, failure);
    }
    return new DiskDirectory(path);
  }

  @Override
  public List<String> list() throws StorageException {
    return LocalFiles.list(path, Files::isRegularFile);
  }

  @Override
  public byte[] read(String name) throws StorageException {
    return LocalFiles.read(path.resolve(name));
  }

  @Override
  public void write(String name, byte[] content) throws StorageException {
    Path file = path.resolve(name);
    try (FileChannel channel = FileChannel.open(file, CREATE, WRITE, TRUNCATE_EXISTING)) {
      ByteBuffer buffer = ByteBuffer.wrap(content);
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
    } catch (IOException failure) {
      throw StorageException.failed(StorageException.Step.WRITE, file, failure);
    }
  }

  @Override
  public void sync(String name) throws StorageException {
    Path file = path.resolve(name);
    try (FileChannel channel = FileChannel.open(file, WRITE)) {
      channel.force(true);
    } catch (IOException failure) {
      throw StorageException.failed(StorageException.Step.SYNC, file, failure);
    }
  }

  @Override
  public void rename(String from, String to) throws StorageException {
    Path source = path.resolve(from);
    try {
      Files.move(source, path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException failure) {
      throw StorageException.failed(StorageException.Step.RENAME, source, failure);
    }
  }

  @Override
  public void remove(String name) throws StorageException {
    Path file = path.resolve(name);
    try {
      Files.deleteIfExists(file);
    } catch (IOException failure) {
      throw StorageException.failed(StorageException.Step.REMOVE, file, failure);
    }
  }

  @Override
  public void syncDirectory() throws StorageException {
    try (FileChannel channel = FileChannel.open(path, READ)) {
      channel.force(true);
    } catch (IOException failure) {
      throw StorageException.failed(StorageException.Step.SYNC_DIRECTORY, path, failure);
    }
  }

  @Override
  public Directory subdirectory(String name) throws StorageException {
    Path folder = path.resolve(name);
    if (Files.isDirectory(folder)) {
      return new DiskDirectory(folder);
    }
    DiskDirectory created = open(folder);
    syncDirectory();
    return created;
  }
}
