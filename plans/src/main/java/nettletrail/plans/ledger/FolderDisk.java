package nettletrail.plans.ledger;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A folder of the machine. */
public final class FolderDisk implements Disk {
  private final Path folder;

  /** Creates the folder if it doesn't exist. */
  public FolderDisk(Path folder) throws IOException {
    this.folder = folder;
    Files.createDirectories(folder);
  }

  @Override
  public List<String> names() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.map(each -> each.getFileName().toString()).toList();
    }
  }

  @Override
  public boolean exists(String name) {
    return Files.exists(folder.resolve(name));
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(folder.resolve(name));
  }

  @Override
  public File create(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(
            folder.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    // The name is durable only once the folder is synced.
    try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
      names.force(true);
    } catch (IOException e) {
      channel.close();
      throw e;
    }
    return new File() {
      @Override
      public void write(byte[] bytes) throws IOException {
        ByteBuffer rest = ByteBuffer.wrap(bytes);
        while (rest.hasRemaining()) {
          channel.write(rest);
        }
      }

      @Override
      public void sync() throws IOException {
        channel.force(false);
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  }

  @Override
  public void sync(String name) throws IOException {
    try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
      channel.force(true);
    }
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(folder.resolve(name));
  }

  @Override
  public long free() throws IOException {
    return Files.getFileStore(folder).getUsableSpace();
  }
}
