package nettletrail.store;

import static nettletrail.store.ExampleVersions.version;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import nettletrail.protocol.ShardVersion;
import org.junit.jupiter.api.Test;

/** {@link VersionStore} on a simulated disk that fails. */
class VersionStoreTest {

  @Test
  void givenFullDisk_whenVersionsFail_thenUnfinishedFilesDontGather() throws StorageException {
    InMemoryDirectory disk = new InMemoryDirectory(new Random(1));
    VersionStore store = new VersionStore(disk);
    store.load();
    disk.failWith(1);
    for (long sequence = 1; sequence <= 50; sequence++) {
      ShardVersion version = version(sequence);
      assertThrows(StorageException.class, () -> store.storeVersion(version));
    }
    assertTrue(disk.list().size() <= 1, disk.list().toString());
    disk.failWith(0);
    store.storeVersion(version(51));
    assertEquals(version(51), new VersionStore(disk).load().version());
  }

  @Test
  void givenOldFilesThatCantBeRemoved_whenVersionsAreStored_thenTheyAreDurableAndOldOnesGoLater()
      throws StorageException {
    InMemoryDirectory disk = new InMemoryDirectory(new Random(2));
    VersionStore store = new VersionStore(disk);
    store.load();
    for (long sequence = 1; sequence <= VersionStore.KEPT_VERSIONS; sequence++) {
      store.storeVersion(version(sequence));
    }
    disk.failRemovals(true);
    store.storeVersion(version(5));
    store.storeVersion(version(6));
    disk.failRemovals(false);
    disk.losePower();
    VersionStore restarted = new VersionStore(disk);
    assertEquals(version(6), restarted.load().version());
    restarted.storeVersion(version(7));
    assertEquals(VersionStore.KEPT_VERSIONS, disk.list().size());
  }

  @Test
  void givenDiskThatFillsUpAndEmptiesAgain_whenManyVersionsAreStored_thenOnlyTheKeptFilesStay()
      throws StorageException {
    InMemoryDirectory disk = new InMemoryDirectory(new Random(3));
    VersionStore store = new VersionStore(disk);
    store.load();
    for (long sequence = 1; sequence <= 400; sequence++) {
      disk.failWith(sequence % 10 == 0 ? 1 : 0);
      storeIfPossible(store, version(sequence));
      assertTrue(disk.list().size() <= VersionStore.KEPT_VERSIONS + 2, disk.list().toString());
    }
    disk.failWith(0);
    store.storeVersion(version(401));
    assertEquals(version(401), new VersionStore(disk).load().version());
    assertEquals(VersionStore.KEPT_VERSIONS, disk.list().size());
  }

  private static void storeIfPossible(VersionStore store, ShardVersion version) {
    try {
      store.storeVersion(version);
    } catch (StorageException full) {
      assertTrue(full.getMessage().endsWith("injected"));
    }
  }
}
