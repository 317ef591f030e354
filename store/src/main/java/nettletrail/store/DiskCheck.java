package nettletrail.store;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

/**
 * Inspects a core's data directory with the checks that a start would make, and changes nothing.
 * The process that owns the directory should not run meanwhile: files come and go while it writes.
 */
public final class DiskCheck {

  private final ReadOnlyDirectory root;
  private final int shardCount;
  private final DiskFindings findings = new DiskFindings();

  private DiskCheck(ReadOnlyDirectory root, int shardCount) {
    this.root = root;
    this.shardCount = shardCount;
  }

  /**
   * Checks a directory. Blocking.
   *
   * @param shardCount how many shards the system has
   * @throws StorageException if the directory or a file in it can't be read at all
   */
  public static DiskReport check(Path dataDirectory, int shardCount) throws StorageException {
    DiskCheck check = new DiskCheck(new ReadOnlyDirectory(dataDirectory), shardCount);
    String identity = check.checkRootFiles();
    List<DiskReport.Shard> shards = check.checkFolders();
    return new DiskReport(identity, shards, check.findings.list());
  }

  private String checkRootFiles() throws StorageException {
    String identity = "";
    for (String name : root.list()) {
      if (name.equals(StateLayout.IDENTITY_FILE)) {
        identity = NodeIdentity.read(root);
        if (identity.isEmpty()) {
          findings.fault(name, "damaged; a start takes a fresh identity");
        }
      } else if (name.equals(StateLayout.WITHDRAWALS_FILE)) {
        checkWithdrawals();
      } else {
        findings.unexpectedFile(name, name);
      }
    }
    if (identity.isEmpty() && findings.isEmpty()) {
      findings.harmless(StateLayout.IDENTITY_FILE, "missing; a start makes one");
    }
    return identity;
  }

  private void checkWithdrawals() throws StorageException {
    try {
      WithdrawalFile.read(root);
    } catch (StorageException failure) {
      failure.requireDamage();
      findings.harmless(
          StateLayout.WITHDRAWALS_FILE,
          failure.getMessage() + "; a start reads none and learns them from other core processes");
    }
  }

  private List<DiskReport.Shard> checkFolders() throws StorageException {
    List<DiskReport.Shard> shards = new ArrayList<>();
    for (String folder : root.listFolders()) {
      OptionalInt shard = StateLayout.shardNumber(folder);
      if (shard.isPresent() && shard.getAsInt() >= 0 && shard.getAsInt() < shardCount) {
        ShardCheck check = new ShardCheck(root.subdirectory(folder), folder, findings);
        shards.add(check.check(shard.getAsInt()));
      } else {
        findings.harmless(folder, "not a folder of this version's; it is left alone");
      }
    }
    return shards;
  }
}
