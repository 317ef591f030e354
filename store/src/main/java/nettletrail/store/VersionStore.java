package nettletrail.store;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/**
 * The durable state of one shard's acceptor: the highest promised proposal number and the newest
 * versions, in a folder of its own. Blocking; one thread at a time.
 *
 * <p>Each version is a new file, numbered in the order of writing; once it is durable, all but the
 * newest {@value #KEPT_VERSIONS} are removed. A file that can't be removed stays until a later
 * write, and does not make the version less durable. A write that throws may or may not be there
 * after a restart.
 */
public final class VersionStore {

  /** How many versions stay on disk. */
  public static final int KEPT_VERSIONS = 4;

  private final Directory directory;

  /** The files of versions by their write numbers. */
  private final TreeMap<Long, String> versionFiles = new TreeMap<>();

  private long lastNumber;

  /** Uses the folder; {@link #load} comes first. */
  public VersionStore(Directory directory) {
    this.directory = directory;
  }

  /**
   * Reads the stored state, removes unfinished files, and continues the numbering.
   *
   * @throws StorageException if the disk fails; damaged files don't throw, the result names them
   */
  public StoredShard load() throws StorageException {
    List<String> damaged = new ArrayList<>();
    versionFiles.clear();
    lastNumber = 0;
    ProposalNumber promised = null;
    for (String name : directory.list()) {
      if (StateLayout.isTemporaryFile(name)) {
        directory.remove(name);
      } else if (name.equals(StateLayout.PROMISE_FILE)) {
        promised = readPromise(damaged);
      } else if (StateLayout.isVersionFile(name)) {
        addVersionFile(name, damaged);
      }
    }
    ShardVersion newest = readNewest(damaged);
    Collections.sort(damaged);
    return new StoredShard(promised, newest, damaged);
  }

  /**
   * Removes files that {@link #load} could not read. Only once the disk has a fresh identity: until
   * then the damaged files are the evidence that votes may have been lost.
   */
  void discard(List<String> damaged) throws StorageException {
    for (String name : damaged) {
      directory.remove(name);
    }
    versionFiles.values().removeAll(damaged);
    directory.syncDirectory();
  }

  /** Makes the highest promised proposal number durable. */
  public void storePromise(ProposalNumber proposal) throws StorageException {
    ShardRecords.writePromise(directory, proposal);
  }

  /**
   * Makes a version durable, then removes the oldest files beyond {@link #KEPT_VERSIONS}. After a
   * failure the next write takes the same name, so a full disk does not gather unfinished files.
   */
  public void storeVersion(ShardVersion version) throws StorageException {
    long number = lastNumber + 1;
    String name = StateLayout.versionFile(number);
    ShardRecords.writeVersion(directory, name, version);
    lastNumber = number;
    versionFiles.put(number, name);
    removeOldest();
  }

  /** All readable versions on disk, the oldest first; for operators. Comes after {@link #load}. */
  public List<ShardVersion> versions() throws StorageException {
    List<ShardVersion> versions = new ArrayList<>();
    for (String name : List.copyOf(versionFiles.values())) {
      ShardVersion version = readVersion(name, new ArrayList<>());
      if (version != null) {
        versions.add(version);
      }
    }
    return versions;
  }

  private void removeOldest() {
    while (versionFiles.size() > KEPT_VERSIONS) {
      try {
        directory.remove(versionFiles.firstEntry().getValue());
      } catch (StorageException retriedAtNextWrite) {
        return;
      }
      versionFiles.pollFirstEntry();
    }
  }

  private void addVersionFile(String name, List<String> damaged) {
    OptionalLong number = StateLayout.versionNumber(name);
    if (number.isEmpty()) {
      damaged.add(name);
      return;
    }
    versionFiles.put(number.getAsLong(), name);
    lastNumber = Math.max(lastNumber, number.getAsLong());
  }

  private ShardVersion readNewest(List<String> damaged) throws StorageException {
    for (String name : versionFiles.descendingMap().values()) {
      ShardVersion version = readVersion(name, damaged);
      if (version != null) {
        return version;
      }
    }
    return null;
  }

  /** The promised proposal number; null, with its file among the damaged, if it can't be read. */
  private ProposalNumber readPromise(List<String> damaged) throws StorageException {
    try {
      return ShardRecords.readPromise(directory);
    } catch (StorageException failure) {
      failure.requireDamage();
      damaged.add(StateLayout.PROMISE_FILE);
      return null;
    }
  }

  /** The version in a file; null, with the file among the damaged, if it can't be read. */
  private ShardVersion readVersion(String name, List<String> damaged) throws StorageException {
    try {
      return ShardRecords.readVersion(directory, name);
    } catch (StorageException failure) {
      failure.requireDamage();
      damaged.add(name);
      return null;
    }
  }
}
