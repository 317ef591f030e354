package nettletrail.store;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/** Inspects the folder of one shard for a {@link DiskCheck}. Blocking; for one use. */
final class ShardCheck {

  private final ReadOnlyDirectory directory;
  private final String folder;
  private final DiskFindings findings;
  private final List<String> versionFiles = new ArrayList<>();
  private ProposalNumber promised;
  private ShardVersion newest;
  private int completeVersions;

  /**
   * A check of one folder.
   *
   * @param folder the folder's name in the data directory, for the findings
   * @param findings takes what is not as expected
   */
  ShardCheck(ReadOnlyDirectory directory, String folder, DiskFindings findings) {
    this.directory = directory;
    this.folder = folder;
    this.findings = findings;
  }

  /** Checks all files of the folder. */
  DiskReport.Shard check(int shard) throws StorageException {
    for (String name : directory.list()) {
      checkFile(name);
    }
    checkVersions();
    return new DiskReport.Shard(shard, promised, newest, completeVersions);
  }

  private void checkFile(String name) throws StorageException {
    if (name.equals(StateLayout.PROMISE_FILE)) {
      checkPromise();
    } else if (StateLayout.versionNumber(name).isPresent()) {
      versionFiles.add(name);
    } else if (StateLayout.isVersionFile(name) && !StateLayout.isTemporaryFile(name)) {
      findings.fault(
          path(name), "not a version's name; a start takes a fresh identity and removes it");
    } else {
      findings.unexpectedFile(path(name), name);
    }
  }

  private void checkPromise() throws StorageException {
    try {
      promised = ShardRecords.readPromise(directory);
    } catch (StorageException failure) {
      failure.requireDamage();
      findings.fault(
          path(StateLayout.PROMISE_FILE),
          failure.getMessage() + "; a start takes a fresh identity");
    }
  }

  /** A start reads versions from the newest on, until one can be read; older damage is harmless. */
  private void checkVersions() throws StorageException {
    versionFiles.sort(Collections.reverseOrder());
    for (String name : versionFiles) {
      try {
        ShardVersion version = ShardRecords.readVersion(directory, name);
        newest = newest == null ? version : newest;
        completeVersions++;
      } catch (StorageException failure) {
        failure.requireDamage();
        addDamagedVersion(path(name), failure);
      }
    }
  }

  private void addDamagedVersion(String file, StorageException failure) {
    if (newest == null) {
      findings.fault(
          file, failure.getMessage() + "; a start takes a fresh identity and removes it");
    } else {
      findings.harmless(
          file, failure.getMessage() + "; a newer version is complete, so it isn't read");
    }
  }

  private String path(String name) {
    return folder + "/" + name;
  }
}
