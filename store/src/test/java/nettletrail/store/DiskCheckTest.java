package nettletrail.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** {@link DiskCheck} finds what a start would find, and changes no file. */
class DiskCheckTest {
  private static final String ADDRESS = "10.0.0.1:7680";
  private static final int SHARDS = 2;
  private static final String NEWEST = "shard-0/version-0000000000000002";
  private static final String OLDER = "shard-0/version-0000000000000001";

  @TempDir private Path disk;

  @BeforeEach
  void writeTwoVersions() throws StorageException {
    CoreStore store = CoreStore.open(DiskDirectory.open(disk), ADDRESS, true, SHARDS, 7);
    store.storePromise(0, new ProposalNumber(3L, store.self().getId()));
    store.storeVersion(0, version(store, 1));
    store.storeVersion(0, version(store, 2));
  }

  private static ShardVersion version(CoreStore store, long sequence) {
    ProposalNumber proposal = new ProposalNumber(3L, store.self().getId());
    ByteBuffer value = ByteBuffer.wrap(new byte[] {1, 2, 3});
    return new ShardVersion(proposal, sequence, List.of(store.self()), value);
  }

  private void corrupt(String name) throws IOException {
    byte[] bytes = Files.readAllBytes(disk.resolve(name));
    bytes[bytes.length - 1] ^= 1;
    Files.write(disk.resolve(name), bytes);
  }

  private TreeMap<String, Integer> contents() throws IOException {
    TreeMap<String, Integer> contents = new TreeMap<>();
    try (Stream<Path> files = Files.walk(disk)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        contents.put(file.toString(), Arrays.hashCode(Files.readAllBytes(file)));
      }
    }
    return contents;
  }

  /** The check's report; the disk is the same afterwards, and a start agrees on its health. */
  private DiskReport check() throws IOException {
    TreeMap<String, Integer> before = contents();
    DiskReport report = DiskCheck.check(disk, SHARDS);
    assertEquals(before, contents());
    CoreStore started = CoreStore.open(DiskDirectory.open(disk), ADDRESS, false, SHARDS, 99);
    assertEquals(report.isHealthy(), started.self().getId().equals(ADDRESS + "#0"));
    return report;
  }

  @Test
  void healthyDiskHasNoFindings() throws IOException {
    DiskReport report = check();
    assertEquals(List.of(), report.findings());
    assertEquals(ADDRESS + "#0", report.identity());
    assertEquals(SHARDS, report.shards().size());
    assertEquals(2, report.shards().get(0).newest().getSequence());
    assertEquals(2, report.shards().get(0).completeVersions());
    assertEquals(3, report.shards().get(0).promised().getTerm());
    assertNull(report.shards().get(1).newest());
  }

  @Test
  void damagedNewestVersionIsAFaultAndTheOlderIsShown() throws IOException {
    corrupt(NEWEST);
    DiskReport report = check();
    assertFalse(report.isHealthy());
    assertEquals(NEWEST, report.findings().get(0).file());
    assertEquals(1, report.shards().get(0).newest().getSequence());
  }

  @Test
  void damagedOlderVersionIsHarmless() throws IOException {
    corrupt(OLDER);
    DiskReport report = check();
    assertTrue(report.isHealthy());
    assertEquals(OLDER, report.findings().get(0).file());
  }

  @Test
  void damagedPromiseIsAFault() throws IOException {
    corrupt("shard-0/promise");
    assertFalse(check().isHealthy());
  }

  @Test
  void damagedIdentityIsAFault() throws IOException {
    corrupt("identity");
    assertFalse(check().isHealthy());
  }

  @Test
  void unfinishedAndForeignFilesAreHarmless() throws IOException {
    Files.write(disk.resolve("shard-0/version-0000000000000003.tmp"), new byte[] {1});
    Files.write(disk.resolve("notes"), new byte[] {1});
    Files.createDirectory(disk.resolve("lost+found"));
    DiskReport report = check();
    assertTrue(report.isHealthy());
    assertEquals(3, report.findings().size());
  }

  @Test
  void foreignVersionNameIsAFault() throws IOException {
    Files.write(disk.resolve("shard-0/version-x"), new byte[] {1});
    assertFalse(check().isHealthy());
  }
}
