package nettletrail.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/**
 * Random writes, failures and losses of power over a simulated disk: nothing acknowledged is lost.
 */
class PowerLossTest {

  private static final String ADDRESS = "10.0.0.1:8665";
  private static final int STARTS = 6;
  private static final int WRITES = 12;

  /** What was acknowledged to the caller, and what it attempted, for one shard. */
  private static final class Expected {
    long acknowledgedPromise;
    long lastPromise;
    long acknowledgedVersion;
    long lastVersion;
  }

  @Property(tries = 2000, shrinking = ShrinkingMode.OFF)
  void givenFailuresAndPowerLosses_whenReopened_thenAcknowledgedContentIsThere(@ForAll long seed)
      throws StorageException {
    Random random = new Random(seed);
    InMemoryDirectory disk = new InMemoryDirectory(random);
    Expected expected = new Expected();
    Member identity = CoreStore.open(disk, ADDRESS, true, 1, 1L).self();
    for (int start = 0; start < STARTS; start++) {
      CoreStore store = CoreStore.open(disk, ADDRESS, false, 1, 2L);
      assertEquals(identity, store.self());
      check(store.storedShards().get(0), expected);
      disk.failWith(random.nextInt(3) == 0 ? 0.2 : 0);
      writeSome(store, expected, random);
      disk.failWith(0);
      disk.losePower();
    }
  }

  private static void check(StoredShard stored, Expected expected) {
    assertTrue(stored.damagedFiles().isEmpty(), stored.damagedFiles().toString());
    long promise = stored.promised() == null ? 0 : stored.promised().getTerm();
    assertTrue(promise >= expected.acknowledgedPromise, "promise forgotten");
    assertTrue(promise <= expected.lastPromise, "promise out of nowhere");
    long version = stored.version() == null ? 0 : stored.version().getSequence();
    assertTrue(version >= expected.acknowledgedVersion, "version forgotten");
    assertTrue(version <= expected.lastVersion, "version out of nowhere");
    if (version > 0) {
      assertEquals(version(version), stored.version());
    }
  }

  private static void writeSome(CoreStore store, Expected expected, Random random) {
    int writes = random.nextInt(WRITES);
    for (int write = 0; write < writes; write++) {
      try {
        if (random.nextInt(3) == 0) {
          expected.lastPromise++;
          store.storePromise(0, new ProposalNumber(expected.lastPromise, "node"));
          expected.acknowledgedPromise = expected.lastPromise;
        } else {
          expected.lastVersion++;
          store.storeVersion(0, version(expected.lastVersion));
          expected.acknowledgedVersion = expected.lastVersion;
        }
      } catch (StorageException injected) {
        assertTrue(injected.getMessage().contains("injected"), injected.getMessage());
      }
    }
  }

  private static ShardVersion version(long sequence) {
    ByteBuffer value = ByteBuffer.wrap(new byte[(int) (sequence % 50)]);
    return new ShardVersion(
        new ProposalNumber(1L, "node"), sequence, List.of(new Member("m", ADDRESS)), value);
  }
}
