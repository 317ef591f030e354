package nettletrail.emulator.simulation;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.util.List;
import nettletrail.store.Directory;
import nettletrail.store.StorageException;
import nettletrail.store.StorageException.Step;

/** The store's view of one folder of a simulated disk. */
public final class SimulatedDirectory implements Directory {
  private static final String SEPARATOR = "/";

  private final SimulatedDisk disk;
  private final String folder;

  /** The folder at the top of a disk. */
  public SimulatedDirectory(SimulatedDisk disk) {
    this(disk, "");
  }

  private SimulatedDirectory(SimulatedDisk disk, String folder) {
    this.disk = disk;
    this.folder = folder;
  }

  @Override
  public List<String> list() {
    return disk.list(folder).stream().map(name -> name.substring(folder.length())).toList();
  }

  @Override
  public byte[] read(String name) throws StorageException {
    try {
      return disk.read(folder + name);
    } catch (FileNotFoundException missing) {
      throw new StorageException(Step.READ, name, "no such file", missing);
    }
  }

  @Override
  public void write(String name, byte[] content) throws StorageException {
    try {
      disk.create(folder + name);
      disk.append(folder + name, content);
    } catch (IOException failure) {
      throw new StorageException(Step.WRITE, name, failure.getMessage(), failure);
    }
  }

  @Override
  public void sync(String name) {
    disk.sync(folder + name);
  }

  @Override
  public void rename(String from, String to) {
    disk.rename(folder + from, folder + to);
  }

  @Override
  public void remove(String name) {
    disk.remove(folder + name);
  }

  @Override
  public void syncDirectory() {
    disk.syncFolder(folder);
  }

  @Override
  public Directory subdirectory(String name) {
    return new SimulatedDirectory(disk, folder + name + SEPARATOR);
  }
}
