package nettletrail.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The withdrawn backends on a core's disk. */
class WithdrawalFileTest {
  private static final String ADDRESS = ExampleVersions.ADDRESS;
  private static final int SHARDS = 1;
  private static final int STARTS = 6;
  private static final int WRITES = 6;
  private static final Path SAMPLE =
      Path.of("src", "test", "resources", "state-format-1-withdrawals");

  @TempDir Path folder;

  private CoreStore open(boolean firstRun) throws StorageException {
    return CoreStore.open(DiskDirectory.open(folder), ADDRESS, firstRun, SHARDS, 7);
  }

  private static List<Backend> withdrawals(int count) {
    List<Backend> withdrawals = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      BackendState state = index % 2 == 0 ? BackendState.GONE : BackendState.CLOSING;
      withdrawals.add(
          new Backend(
              "i-" + index,
              "desk",
              "10.0.0.9:" + (8_000 + index),
              "hall-a",
              "v1",
              32,
              state,
              150L,
              "either_way",
              List.of("m"),
              40L + index));
    }
    return withdrawals;
  }

  @Test
  void nothingIsReadFromADiskOfAnEarlierRelease() throws StorageException {
    open(true);
    assertFalse(Files.exists(folder.resolve("withdrawals")));
    assertEquals(List.of(), open(false).withdrawals());
  }

  @Test
  void eachWriteReplacesTheOneBefore() throws StorageException {
    CoreStore store = open(true);
    store.storeWithdrawals(withdrawals(3));
    store.storeWithdrawals(withdrawals(2));
    assertEquals(withdrawals(2), open(false).withdrawals());
    assertEquals("", open(false).withdrawalDamage());
  }

  @Test
  void damagedFileIsReportedAndCostsNoIdentity() throws IOException {
    CoreStore store = open(true);
    store.storeWithdrawals(withdrawals(2));
    Path file = folder.resolve("withdrawals");
    byte[] content = Files.readAllBytes(file);
    content[content.length - 1] ^= 1;
    Files.write(file, content);
    DiskReport report = DiskCheck.check(folder, SHARDS);
    assertTrue(report.isHealthy());
    assertEquals("withdrawals", report.findings().get(0).file());
    CoreStore reopened = open(false);
    assertEquals(store.self(), reopened.self());
    assertEquals(List.of(), reopened.withdrawals());
    assertNotEquals("", reopened.withdrawalDamage());
    reopened.storeWithdrawals(withdrawals(1));
    assertEquals(withdrawals(1), open(false).withdrawals());
  }

  @Test
  void soundFileHasNoFindingAndAnUnfinishedOneIsRemoved() throws IOException {
    open(true).storeWithdrawals(withdrawals(2));
    assertEquals(List.of(), DiskCheck.check(folder, SHARDS).findings());
    Path unfinished = folder.resolve("withdrawals.tmp");
    Files.write(unfinished, new byte[] {1, 2, 3});
    assertEquals(withdrawals(2), open(false).withdrawals());
    assertFalse(Files.exists(unfinished));
  }

  @Test
  void sampleIsReadAndWrittenInTheSameBytes() throws IOException {
    Path copy = folder.resolve("copy");
    DiskSamples.copy(SAMPLE, copy);
    CoreStore store = CoreStore.open(DiskDirectory.open(copy), ADDRESS, false, SHARDS, 7);
    assertEquals(withdrawals(3), store.withdrawals());
    open(true).storeWithdrawals(withdrawals(3));
    assertEquals(
        DiskSamples.contents(SAMPLE).get("withdrawals"),
        DiskSamples.contents(folder).get("withdrawals"));
  }

  @Property(tries = 500, shrinking = ShrinkingMode.OFF)
  void whatWasStoredSurvivesFailuresAndLossesOfPower(@ForAll long seed) throws StorageException {
    Random random = new Random(seed);
    InMemoryDirectory disk = new InMemoryDirectory(random);
    int stored = 0;
    int last = 0;
    for (int start = 0; start < STARTS; start++) {
      CoreStore store = CoreStore.open(disk, ADDRESS, start == 0, SHARDS, 2L);
      int found = store.withdrawals().size();
      assertEquals("", store.withdrawalDamage());
      assertTrue(found >= stored && found <= last, found + " of " + stored + " to " + last);
      stored = found;
      disk.failWith(random.nextInt(3) == 0 ? 0.2 : 0);
      for (int write = random.nextInt(WRITES); write > 0; write--) {
        last++;
        try {
          store.storeWithdrawals(withdrawals(last));
          stored = last;
        } catch (StorageException injected) {
          assertTrue(injected.getMessage().contains("injected"), injected.getMessage());
        }
      }
      disk.failWith(0);
      disk.losePower();
    }
  }
}
