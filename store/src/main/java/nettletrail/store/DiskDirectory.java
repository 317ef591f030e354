package nettletrail.store;

import static java.nio.file.StandardOpenOption.CREATE;
import static java.nio.file.StandardOpenOption.READ;
import static java.nio.file.StandardOpenOption.TRUNCATE_EXISTING;
import static java.nio.file.StandardOpenOption.WRITE;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;

/** A folder of the local file system. */
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
      throw failed(StorageException.Step.CREATE_DIRECTORY, path, failure);
    }
    return new DiskDirectory(path);
  }

  @Override
  public List<String> list() throws StorageException {
    List<String> names = new ArrayList<>();
    try (DirectoryStream<Path> entries = Files.newDirectoryStream(path)) {
      for (Path entry : entries) {
        if (Files.isRegularFile(entry)) {
          names.add(entry.getFileName().toString());
        }
      }
    } catch (IOException failure) {
      throw failed(StorageException.Step.LIST, path, failure);
    }
    return names;
  }

  @Override
  public byte[] read(String name) throws StorageException {
    Path file = path.resolve(name);
    try {
      return Files.readAllBytes(file);
    } catch (IOException failure) {
      throw failed(StorageException.Step.READ, file, failure);
    }
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
      throw failed(StorageException.Step.WRITE, file, failure);
    }
  }

  @Override
  public void sync(String name) throws StorageException {
    Path file = path.resolve(name);
    try (FileChannel channel = FileChannel.open(file, WRITE)) {
      channel.force(true);
    } catch (IOException failure) {
      throw failed(StorageException.Step.SYNC, file, failure);
    }
  }

  @Override
  public void rename(String from, String to) throws StorageException {
    Path source = path.resolve(from);
    try {
      Files.move(source, path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException failure) {
      throw failed(StorageException.Step.RENAME, source, failure);
    }
  }

  @Override
  public void remove(String name) throws StorageException {
    Path file = path.resolve(name);
    try {
      Files.deleteIfExists(file);
    } catch (IOException failure) {
      throw failed(StorageException.Step.REMOVE, file, failure);
    }
  }

  @Override
  public void syncDirectory() throws StorageException {
    try (FileChannel channel = FileChannel.open(path, READ)) {
      channel.force(true);
    } catch (IOException failure) {
      throw failed(StorageException.Step.SYNC_DIRECTORY, path, failure);
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

  private static StorageException failed(
      StorageException.Step step, Path file, IOException failure) {
    return new StorageException(step, file.toString(), failure.toString(), failure);
  }
}
