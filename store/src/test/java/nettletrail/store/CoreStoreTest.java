package nettletrail.store;

import static nettletrail.store.ExampleVersions.version;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import nettletrail.protocol.ProposalNumber;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** {@link CoreStore} on the disk of the machine that runs the tests. */
class CoreStoreTest {

  private static final String ADDRESS = ExampleVersions.ADDRESS;

  @TempDir Path folder;

  private CoreStore open(boolean firstRun) throws StorageException {
    return CoreStore.open(DiskDirectory.open(folder), ADDRESS, firstRun, 2, 0xabcL);
  }

  private List<Path> versionFiles(int shard) throws IOException {
    try (Stream<Path> files = Files.list(folder.resolve("shard-" + shard))) {
      return files
          .filter(file -> file.getFileName().toString().startsWith("version"))
          .sorted()
          .toList();
    }
  }

  @Test
  void givenEmptyDisk_whenOpened_thenNothingIsStored() throws StorageException {
    CoreStore store = open(true);
    assertEquals(ADDRESS + "#0", store.self().getId());
    assertTrue(store.storedShards().get(0).isEmpty());
    assertTrue(store.storedShards().get(1).isEmpty());
  }

  @Test
  void givenIdentity_whenOpenedAgain_thenItIsKept() throws StorageException {
    open(true);
    assertEquals(ADDRESS + "#0", open(false).self().getId());
  }

  @Test
  void givenLostDisk_whenOpened_thenTheIdentityIsFresh() throws StorageException {
    assertEquals(ADDRESS + "#rabc", open(false).self().getId());
    assertEquals(ADDRESS + "#rabc", open(false).self().getId());
  }

  @Test
  void givenPromiseAndVersions_whenOpenedAgain_thenTheNewestAreRead()
      throws StorageException, IOException {
    CoreStore store = open(true);
    store.storePromise(0, new ProposalNumber(3L, "a"));
    store.storePromise(0, new ProposalNumber(9L, "b"));
    for (long sequence = 0; sequence < 10; sequence++) {
      store.storeVersion(0, version(sequence));
    }
    assertEquals(VersionStore.KEPT_VERSIONS, versionFiles(0).size());
    StoredShard stored = open(false).storedShards().get(0);
    assertEquals(new ProposalNumber(9L, "b"), stored.promised());
    assertEquals(version(9), stored.version());
    assertTrue(stored.damagedFiles().isEmpty());
  }

  @Test
  void givenStoredVersions_whenOpenedAgain_thenNumberingGoesOn() throws StorageException {
    open(true).storeVersion(1, version(5));
    open(false).storeVersion(1, version(4));
    assertEquals(version(4), open(false).storedShards().get(1).version());
  }

  @Test
  void givenUnfinishedFile_whenOpened_thenItIsRemoved() throws StorageException, IOException {
    open(true).storeVersion(0, version(1));
    Path unfinished = folder.resolve("shard-0").resolve("version-00000000000000ff.tmp");
    Files.write(unfinished, new byte[] {1, 2, 3});
    assertEquals(version(1), open(false).storedShards().get(0).version());
    assertFalse(Files.exists(unfinished));
  }

  @Test
  void givenDamagedNewestVersion_whenOpened_thenReportedAndTheIdentityIsFresh()
      throws StorageException, IOException {
    CoreStore store = open(true);
    store.storeVersion(0, version(1));
    store.storeVersion(0, version(2));
    Path newest = versionFiles(0).get(1);
    byte[] content = Files.readAllBytes(newest);
    content[content.length - 1] ^= 1;
    Files.write(newest, content);
    CoreStore reopened = open(false);
    assertEquals(
        List.of(newest.getFileName().toString()), reopened.storedShards().get(0).damagedFiles());
    assertEquals(version(1), reopened.storedShards().get(0).version());
    assertNotEquals(store.self().getId(), reopened.self().getId());
    assertEquals(reopened.self(), open(false).self());
    assertTrue(open(false).storedShards().get(0).damagedFiles().isEmpty());
  }

  @Test
  void givenTornPromise_whenOpened_thenReported() throws StorageException, IOException {
    open(true).storePromise(0, new ProposalNumber(3L, "a"));
    Files.write(folder.resolve("shard-0").resolve("promise"), new byte[5]);
    StoredShard stored = open(false).storedShards().get(0);
    assertNull(stored.promised());
    assertEquals(List.of("promise"), stored.damagedFiles());
  }
}
