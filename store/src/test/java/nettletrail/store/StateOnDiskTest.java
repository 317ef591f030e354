package nettletrail.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The format of the state on disk, held by a sample directory that an earlier build wrote: this
 * build opens it, and writes the same bytes for the same state.
 */
class StateOnDiskTest {
  private static final Path SAMPLE = Path.of("src/test/resources/state-format-1");
  private static final String ADDRESS = "10.1.0.17:7680";
  private static final String IDENTITY = ADDRESS + "#0";
  private static final int SHARDS = 5;
  private static final int VERSIONS = 5;
  private static final ProposalNumber PROPOSAL = new ProposalNumber(3L, IDENTITY);

  @TempDir private Path folder;

  private static ShardVersion version(long sequence) {
    List<Member> members =
        List.of(
            new Member(IDENTITY, ADDRESS),
            new Member("10.2.0.34:7680#0", "10.2.0.34:7680"),
            new Member("10.3.0.42:7680#r1f", "10.3.0.42:7680"));
    return new ShardVersion(PROPOSAL, sequence, members, ByteBuffer.wrap(new byte[] {1, 2, 3}));
  }

  /** Writes the sample's state, as a core process would. */
  private static void writeSample(Path disk) throws StorageException {
    CoreStore store = CoreStore.open(DiskDirectory.open(disk), ADDRESS, true, SHARDS, 1);
    store.storePromise(0, PROPOSAL);
    for (long sequence = 1; sequence <= VERSIONS; sequence++) {
      store.storeVersion(0, version(sequence));
    }
    store.storePromise(4, new ProposalNumber(2L, "10.2.0.34:7680#0"));
  }

  private Path copyOfSample() throws IOException {
    Path copy = folder.resolve("copy");
    DiskSamples.copy(SAMPLE, copy);
    return copy;
  }

  @Test
  void sampleOpensWithItsIdentityPromisesAndNewestVersion() throws IOException {
    DiskDirectory disk = DiskDirectory.open(copyOfSample());
    CoreStore store = CoreStore.open(disk, ADDRESS, false, SHARDS, 99);
    assertEquals(IDENTITY, store.self().getId());
    StoredShard configuration = store.storedShards().get(0);
    assertEquals(List.of(), configuration.damagedFiles());
    assertEquals(PROPOSAL, configuration.promised());
    assertEquals(version(VERSIONS), configuration.version());
    List<Long> kept = store.versions(0).stream().map(ShardVersion::getSequence).toList();
    assertEquals(List.of(2L, 3L, 4L, 5L), kept);
    assertTrue(store.storedShards().get(1).isEmpty());
    assertEquals(2, store.storedShards().get(4).promised().getTerm());
  }

  @Test
  void sampleIsHealthy() throws IOException {
    assertEquals(List.of(), DiskCheck.check(SAMPLE, SHARDS).findings());
  }

  @Test
  void sameStateIsWrittenInTheSameBytes() throws IOException {
    Path disk = folder.resolve("written");
    writeSample(disk);
    assertEquals(DiskSamples.contents(SAMPLE), DiskSamples.contents(disk));
  }
}
