package nettletrail.emulator.simulation;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What a simulated disk keeps and loses at kills and losses of power. */
class SimulatedDiskTest {
  private static final byte[] OLD = "old".getBytes(StandardCharsets.UTF_8);
  private static final byte[] NEW = "newer".getBytes(StandardCharsets.UTF_8);
  private static final int RUNS = 200;

  private final VirtualTime time = new VirtualTime();
  private SimulatedDisk disk = newDisk(1);

  @Test
  void keepsWhatWasSyncedWithItsName() throws IOException {
    for (int run = 0; run < RUNS; run++) {
      disk = newDisk(run);
      writeDurably("version", OLD);
      losePower();
      assertArrayEquals(OLD, disk.read("version"));
    }
  }

  @Test
  void mayLoseANameWhoseFolderWasNotSynced() throws IOException {
    Set<List<String>> outcomes = new HashSet<>();
    for (int run = 0; run < RUNS; run++) {
      disk = newDisk(run);
      disk.create("a.tmp");
      disk.append("a.tmp", OLD);
      disk.sync("a.tmp");
      disk.syncFolder("");
      disk.rename("a.tmp", "a");
      time.runUntil(disk.busyUntil());
      losePower();
      outcomes.add(disk.list(""));
    }
    assertEquals(Set.of(List.of("a"), List.of("a.tmp")), outcomes);
  }

  @Test
  void mayTearWhatWasNotSynced() throws IOException {
    Set<String> outcomes = new HashSet<>();
    for (int run = 0; run < RUNS; run++) {
      disk = newDisk(run);
      writeDurably("version", OLD);
      disk.append("version", NEW);
      time.runUntil(disk.busyUntil());
      losePower();
      outcomes.add(new String(disk.read("version"), StandardCharsets.UTF_8));
    }
    assertTrue(outcomes.containsAll(Set.of("old", "oldnewer", "oldnew", "oldn\0\0\0\0")));
  }

  @Test
  void losesAllThatWasNotSyncedWhereAskedTo() throws IOException {
    for (int run = 0; run < RUNS; run++) {
      disk = newDisk(run);
      disk.loseAllUnsynced();
      writeDurably("version", OLD);
      disk.append("version", NEW);
      disk.rename("version", "renamed");
      time.runUntil(disk.busyUntil());
      losePower();
      assertArrayEquals(OLD, disk.read("version"));
    }
  }

  @Test
  void keepsAllWrittenAtAKill() throws IOException {
    disk.create("version");
    disk.append("version", OLD);
    time.runUntil(disk.busyUntil());
    disk.stopWriting();
    assertArrayEquals(OLD, disk.read("version"));
  }

  @Test
  void doesNothingMoreAfterAKill() throws IOException {
    disk.create("version");
    time.runUntil(disk.busyUntil());
    disk.append("version", OLD);
    disk.rename("version", "renamed");
    disk.stopWriting();
    assertArrayEquals(new byte[0], disk.read("version"));
  }

  @Test
  void keepsTheFirstBytesWhenItFillsUp() throws IOException {
    disk.setFreeBytes(2);
    disk.create("version");
    assertThrows(IOException.class, () -> disk.append("version", NEW));
    assertThrows(IOException.class, () -> disk.create("other"));
    assertEquals("ne", new String(disk.read("version"), StandardCharsets.UTF_8));
    disk.setUnlimited();
    disk.append("version", NEW);
    assertEquals("nenewer", new String(disk.read("version"), StandardCharsets.UTF_8));
  }

  @Test
  void hangsUntilAnInstant() throws IOException {
    disk.hangUntil(5 * VirtualTime.SECOND);
    disk.create("version");
    assertEquals(5 * VirtualTime.SECOND, disk.busyUntil());
  }

  @Test
  void separatesFolders() throws IOException {
    writeDurably("version", OLD);
    disk.create("shard-0/version");
    assertEquals(List.of("version"), disk.list(""));
    assertEquals(List.of("shard-0/version"), disk.list("shard-0/"));
  }

  private SimulatedDisk newDisk(long seed) {
    return new SimulatedDisk(time, new SplittableRandom(seed));
  }

  private void writeDurably(String name, byte[] content) throws IOException {
    disk.create(name);
    disk.append(name, content);
    disk.sync(name);
    disk.syncFolder("");
    time.runUntil(disk.busyUntil());
  }

  private void losePower() {
    disk.stopWriting();
    disk.losePower();
  }
}
