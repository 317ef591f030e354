package nettletrail.store;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/**
 * Looks at a core's data directory with the checks that a start would make, and changes nothing.
 * The process that owns the directory should not run meanwhile: files come and go while it writes.
 */
public final class DiskCheck {

  private static final String SHARD_PREFIX = "shard-";

  private final ReadOnlyDirectory root;
  private final int shardCount;
  private final List<DiskReport.Shard> shards = new ArrayList<>();
  private final List<DiskReport.Finding> findings = new ArrayList<>();

  private DiskCheck(ReadOnlyDirectory root, int shardCount) {
    this.root = root;
    this.shardCount = shardCount;
  }

  /**
   * Checks a directory.
   *
   * @throws StorageException if the directory or a file in it can't be read at all
   */
  public static DiskReport check(Path dataDirectory, int shardCount) throws StorageException {
    DiskCheck check = new DiskCheck(new ReadOnlyDirectory(dataDirectory), shardCount);
    String identity = check.identity();
    check.folders();
    return new DiskReport(identity, check.shards, check.findings);
  }

  private String identity() throws StorageException {
    String identity = "";
    for (String name : root.list()) {
      if (name.equals(NodeIdentity.FILE)) {
        identity = NodeIdentity.read(root);
        if (identity.isEmpty()) {
          fault(name, "damaged; a start takes a fresh identity");
        }
      } else {
        unexpected(name, name);
      }
    }
    if (identity.isEmpty() && findings.isEmpty()) {
      note(NodeIdentity.FILE, "missing; a start makes one");
    }
    return identity;
  }

  private void folders() throws StorageException {
    for (String folder : root.listFolders()) {
      int shard = shardNumber(folder);
      if (shard < 0 || shard >= shardCount) {
        note(folder, "not a folder of this version's; it is left alone");
      } else {
        shards.add(shard(shard, folder));
      }
    }
  }

  private static int shardNumber(String folder) {
    try {
      return folder.startsWith(SHARD_PREFIX)
          ? Integer.parseInt(folder.substring(SHARD_PREFIX.length()))
          : -1;
    } catch (NumberFormatException notOurs) {
      return -1;
    }
  }

  private DiskReport.Shard shard(int number, String folder) throws StorageException {
    ReadOnlyDirectory directory = root.subdirectory(folder);
    ProposalNumber promised = null;
    List<String> versions = new ArrayList<>();
    for (String name : directory.list()) {
      String file = folder + "/" + name;
      if (name.equals(VersionStore.PROMISE_FILE)) {
        promised = promise(directory, file);
      } else if (VersionStore.versionNumber(name) >= 0) {
        versions.add(name);
      } else if (name.startsWith(VersionStore.VERSION_PREFIX) && !isTemporary(name)) {
        fault(file, "not a version's name; a start takes a fresh identity and removes it");
      } else {
        unexpected(file, name);
      }
    }
    return versions(number, directory, folder, promised, versions);
  }

  private ProposalNumber promise(ReadOnlyDirectory directory, String file) throws StorageException {
    try {
      return RecordDecoder.readPromise(directory, VersionStore.PROMISE_FILE);
    } catch (StorageException failure) {
      requireDamage(failure);
      fault(file, failure.getMessage() + "; a start takes a fresh identity");
      return null;
    }
  }

  private DiskReport.Shard versions(
      int number,
      ReadOnlyDirectory directory,
      String folder,
      ProposalNumber promised,
      List<String> names)
      throws StorageException {
    names.sort(Collections.reverseOrder());
    ShardVersion newest = null;
    int complete = 0;
    for (String name : names) {
      try {
        ShardVersion version = RecordDecoder.readVersion(directory, name);
        newest = newest == null ? version : newest;
        complete++;
      } catch (StorageException failure) {
        requireDamage(failure);
        damagedVersion(folder + "/" + name, failure, newest != null);
      }
    }
    return new DiskReport.Shard(number, promised, newest, complete);
  }

  /** A start reads versions from the newest on, until one is whole. */
  private void damagedVersion(String file, StorageException failure, boolean newerIsComplete) {
    if (newerIsComplete) {
      note(file, failure.getMessage() + "; a newer version is whole, so it isn't read");
    } else {
      fault(file, failure.getMessage() + "; a start takes a fresh identity and removes it");
    }
  }

  private void unexpected(String file, String name) {
    if (isTemporary(name)) {
      note(file, "an unfinished write; nothing that was acknowledged, a start removes it");
    } else {
      note(file, "not a file of the store's; it is left alone");
    }
  }

  private static boolean isTemporary(String name) {
    return name.endsWith(RecordFile.TEMPORARY_SUFFIX);
  }

  private static void requireDamage(StorageException failure) throws StorageException {
    if (failure.step() != StorageException.Step.DECODE) {
      throw failure;
    }
  }

  private void note(String file, String what) {
    findings.add(new DiskReport.Finding(DiskReport.Severity.NOTE, file, what));
  }

  private void fault(String file, String what) {
    findings.add(new DiskReport.Finding(DiskReport.Severity.FAULT, file, what));
  }
}
