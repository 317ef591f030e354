package nettletrail.store;

import static nettletrail.store.ExampleVersions.version;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
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

  private static final int SHARDS = 5;
  private static final int SEEDS = 500;

  private static ShardVersion initial(String... addresses) {
    return new ShardVersion(
        new ProposalNumber(0L, ""),
        0L,
        Stream.of(addresses).map(NodeIdentity::founding).toList(),
        ByteBuffer.allocate(0));
  }

  @Test
  void givenFounder_whenFirstOpened_thenAllShardsHaveTheInitialVersion() throws StorageException {
    ShardVersion initial = initial(ADDRESS, "10.0.0.2:7680");
    CoreStore store =
        CoreStore.open(DiskDirectory.open(folder), ADDRESS, true, SHARDS, 1L, initial);
    assertTrue(store.isFirstStart());
    for (int shard = 0; shard < SHARDS; shard++) {
      assertEquals(initial, store.storedShards().get(shard).version());
    }
    CoreStore again =
        CoreStore.open(DiskDirectory.open(folder), ADDRESS, true, SHARDS, 1L, initial);
    assertFalse(again.isFirstStart());
    assertEquals(store.storedShards(), again.storedShards());
    assertEquals(1, again.versions(0).size());
  }

  @Test
  void givenNoFounder_whenFirstOpened_thenNothingIsStored() throws StorageException {
    ShardVersion initial = initial("10.0.0.2:7680");
    CoreStore store =
        CoreStore.open(DiskDirectory.open(folder), ADDRESS, true, SHARDS, 1L, initial);
    assertTrue(store.isFirstStart());
    assertTrue(store.storedShards().get(0).isEmpty());
  }

  /** Review/7: with a founder's identity and not all first versions a shard was never founded. */
  @Test
  void givenFounder_whenItsFirstStartFailsOrLosesPower_thenItIsAFounderWhollyOrNotAtAll()
      throws StorageException {
    int founders = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      InMemoryDirectory disk = new InMemoryDirectory(new Random(seed));
      disk.failWith(0.1);
      try {
        CoreStore.open(disk, ADDRESS, true, SHARDS, 1L, initial(ADDRESS));
      } catch (StorageException injected) {
        assertTrue(injected.getMessage().contains("injected"), injected.getMessage());
      }
      disk.failWith(0);
      disk.losePower();
      CoreStore store = CoreStore.open(disk, ADDRESS, false, SHARDS, 2L, initial(ADDRESS));
      boolean founder = store.self().equals(NodeIdentity.founding(ADDRESS));
      founders += founder ? 1 : 0;
      for (int shard = 0; founder && shard < SHARDS; shard++) {
        assertEquals(initial(ADDRESS), store.storedShards().get(shard).version(), "seed " + seed);
      }
    }
    assertTrue(founders > SEEDS / 10 && founders < SEEDS, founders + " founders");
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
