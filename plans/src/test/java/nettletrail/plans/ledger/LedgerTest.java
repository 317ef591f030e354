package nettletrail.plans.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What was confirmed is there whatever happens, once, and what isn't is told. */
class LedgerTest {
  private static final long SMALL = 600;

  private final FaultyDisk disk = new FaultyDisk(1);
  private final List<Entry> there = new ArrayList<>();

  static Entry.Use use(long request) {
    return new Entry.Use(request, 7, "business", 1, "order-submit", 2_000);
  }

  private static Entry.Event used(long request) {
    return new Entry.Used(1, use(request), 2_000, false);
  }

  private Ledger begin() throws IOException {
    return Ledger.begin(disk, "n0", "a1", SMALL, 5);
  }

  private LedgerReader.LedgerContents read() throws IOException {
    there.clear();
    return LedgerReader.read(disk, there::add);
  }

  private List<Long> requests() throws IOException {
    read();
    return there.stream().map(entry -> ((Entry.Used) entry.event()).use().request()).toList();
  }

  private static List<Long> upTo(long last) {
    List<Long> all = new ArrayList<>();
    for (long i = 1; i <= last; i++) {
      all.add(i);
    }
    return all;
  }

  private static void commit(Ledger ledger, long from, long to) throws IOException {
    for (long i = from; i <= to; i++) {
      ledger.put(used(i), 10 + i, i);
    }
    ledger.commit();
  }

  @Test
  void eachKindOfEntryComesBackAsItWas() throws IOException {
    List<Entry.Event> all =
        List.of(
            new Entry.Sent(use(-1)),
            used(1),
            new Entry.Unknown(1, use(2), "killed", 5),
            new Entry.Unused(1),
            new Entry.Settled(1, use(3), 2_000, 2_500),
            new Entry.BatchBoundary(1, 4),
            new Entry.BatchAcknowledged(4),
            new Entry.BatchRejected(9, "bad"),
            new Entry.Credit(1L << 32, "mini", 100, "as agreed", "jh"));
    Ledger ledger = begin();
    all.forEach(each -> ledger.put(each, 10, 20));
    assertEquals(all.size(), ledger.commit().size());
    LedgerReader.LedgerContents found = read();
    assertEquals(all, there.stream().map(Entry::event).toList());
    assertEquals(new Entry(1, 10, 20, all.get(0)), there.get(0));
    assertEquals(List.of("n0", "a1"), List.of(found.door(), found.life()));
    assertEquals(all.size(), found.last());
    assertEquals(List.of(), found.damages());
  }

  @Test
  void segmentsAreChained() throws IOException {
    Ledger ledger = begin();
    for (int i = 1; i <= 40; i++) {
      commit(ledger, i, i);
    }
    LedgerReader.LedgerContents found = read();
    assertTrue(found.segments().size() > 3, found.segments().toString());
    assertEquals(upTo(40), requests());
    disk.flip(found.segments().get(1), 300);
    LedgerReader.LedgerContents after = read();
    assertTrue(
        after.damages().stream()
            .anyMatch(each -> each.description().contains("is not what it was")),
        after.toString());
    assertTrue(after.missing() >= 1, "and the entries that can't be read are counted");
    assertEquals(40 - after.missing(), there.size());
  }

  @Test
  void aTornEndIsPassedOverAndWrittenOn() throws IOException {
    Ledger ledger = begin();
    commit(ledger, 1, 3);
    ledger.put(used(4), 1, 1);
    disk.killAfter = 0;
    assertThrows(FaultyDisk.Killed.class, ledger::commit);
    disk.killAfter = -1;
    disk.powerLoss();
    List<Entry> all = new ArrayList<>();
    Ledger next = Ledger.adopt(disk, SMALL, 9, all::add, found -> assertEquals(0, found.missing()));
    assertTrue(all.size() == 3 || all.size() == 4);
    long more = all.size() + 1;
    commit(next, more, more);
    assertEquals(upTo(more), requests());
  }

  @Test
  void aFailedSyncIsNotTrustedWhenALaterOneSucceeds() throws IOException {
    Ledger ledger = begin();
    commit(ledger, 1, 3);
    disk.failSyncs = 2;
    ledger.put(used(4), 1, 1);
    assertThrows(IOException.class, ledger::commit);
    ledger.put(used(5), 1, 1);
    assertThrows(IOException.class, ledger::commit);
    assertEquals(2, ledger.unconfirmed());
    assertEquals(3, ledger.confirmed());
    assertEquals(2, ledger.commit().size(), "and nothing was forgotten meanwhile");
    disk.powerLoss();
    assertEquals(upTo(5), requests());
  }

  @Test
  void aFullDiskInMidEntryLosesNothingThatWasConfirmed() throws IOException {
    Ledger ledger = begin();
    commit(ledger, 1, 3);
    disk.room = 30;
    ledger.put(used(4), 1, 1);
    assertThrows(IOException.class, ledger::commit);
    assertThrows(IOException.class, ledger::commit, "still full");
    disk.powerLoss();
    assertEquals(upTo(3), requests());
    disk.room = Long.MAX_VALUE;
    assertEquals(1, ledger.commit().size());
    assertEquals(upTo(4), requests());
  }

  @Test
  void twoProcessesCannotBeginOne() throws IOException {
    begin();
    assertThrows(FileAlreadyExistsException.class, this::begin);
  }

  @Test
  void nothingToAdoptIsNull() throws IOException {
    assertNull(Ledger.adopt(disk, SMALL, 1, there::add, found -> {}));
  }

  /** Hard case 6: the one that was taken for dead confirms nothing, and finds out. */
  @Test
  void aFencedWriterConfirmsNothingAndCanTakeItsLedgerBack() throws IOException {
    Ledger owner = begin();
    commit(owner, 1, 3);
    Ledger adopter = Ledger.adopt(disk, SMALL, 9, there::add, found -> {});
    assertEquals(3, there.size());
    owner.put(used(5), 1, 1);
    assertThrows(Ledger.Fenced.class, owner::commit);
    assertThrows(Ledger.Fenced.class, owner::commit, "again");
    commit(adopter, 4, 4);
    assertEquals(upTo(4), requests(), "the fenced one's entry doesn't count");
    owner.reclaim(10, entry -> {});
    owner.commit();
    assertEquals(upTo(5), requests());
    adopter.put(used(6), 1, 1);
    assertThrows(Ledger.Fenced.class, adopter::commit);
    assertEquals(upTo(5), requests());
  }

  /**
   * The adopter died between taking the token and writing: what the woken one had written counts,
   * and once.
   */
  @Test
  void whatAnAdopterThatDiedHadSeenCountsOnce() throws IOException {
    Ledger owner = begin();
    commit(owner, 1, 3);
    disk.create(LedgerReader.fenceName(2)).close();
    owner.put(used(4), 1, 1);
    assertThrows(Ledger.Fenced.class, owner::commit);
    owner.reclaim(10, entry -> {});
    owner.put(used(5), 1, 1);
    owner.commit();
    assertEquals(upTo(5), requests());
  }

  @Test
  void aByteInTheMiddleOfTheNewestIsFoundOut() throws IOException {
    Ledger ledger = Ledger.begin(disk, "n0", "a1", 1 << 20, 5);
    for (int i = 1; i <= 9; i++) {
      commit(ledger, i, i);
    }
    disk.flip(read().segments().get(0), 200);
    LedgerReader.LedgerContents found = read();
    assertEquals(1, found.missing());
    assertEquals(8, there.size());
    assertTrue(found.damages().get(0).lost());
    // Taken over, it goes on, and the hole stays told.
    Ledger next = Ledger.adopt(disk, 1 << 20, 9, entry -> {}, each -> {});
    commit(next, 10, 10);
    assertEquals(1, read().missing());
    assertEquals(9, there.size());
  }

  @Test
  void aFolderOfTheMachineIsADisk(@TempDir Path folder) throws IOException {
    Disk real = new FolderDisk(folder.resolve("n0"));
    Ledger ledger = Ledger.begin(real, "n0", "a1", SMALL, 5);
    commit(ledger, 1, 20);
    commit(ledger, 21, 30);
    ledger.close();
    assertThrows(FileAlreadyExistsException.class, () -> Ledger.begin(real, "n0", "a2", SMALL, 5));
    List<Entry> all = new ArrayList<>();
    Ledger next =
        Ledger.adopt(real, SMALL, 9, all::add, found -> assertEquals(List.of(), found.damages()));
    assertEquals(30, all.size());
    assertEquals(2, next.token());
    assertFalse(real.names().isEmpty());
  }

  /**
   * 500 kill points: at each operation of a run of commits, rotations, failed syncs and adoptions,
   * with lost and torn bytes.
   */
  @Test
  void whatWasConfirmedIsThereAfterAKillAtAnyOperation() throws IOException {
    int points = 0;
    for (long seed = 1; points < 500; seed++) {
      points += killed(seed) ? 1 : 0;
      assertTrue(seed < 5_000);
    }
  }

  private static boolean killed(long seed) throws IOException {
    SplittableRandom random = new SplittableRandom(seed);
    FaultyDisk disk = new FaultyDisk(seed);
    Map<Long, Entry> confirmed = new LinkedHashMap<>();
    boolean killed = false;
    long request = 0;
    for (int life = 0; life < 4; life++) {
      disk.killAfter = 1 + random.nextInt(60);
      try {
        Map<Long, Entry> read = new LinkedHashMap<>();
        Ledger ledger =
            life == 0
                ? Ledger.begin(disk, "n0", "a", SMALL, 1)
                : Ledger.adopt(
                    disk,
                    SMALL,
                    1,
                    entry -> assertNull(read.put(entry.sequence(), entry), "twice"),
                    found -> assertEquals(0, found.missing(), "seed " + seed));
        if (ledger == null) {
          continue;
        }
        assertHolds(confirmed, read, seed);
        confirmed.putAll(read); // an adopter's own beginning makes all that it read count
        request = commitOften(ledger, disk, random, confirmed, request);
      } catch (FaultyDisk.Killed e) {
        killed = true;
        if (random.nextBoolean()) {
          disk.powerLoss();
        }
      } catch (IOException e) {
        disk.powerLoss(); // the adopter's own first sync failed: its process ends
      }
    }
    disk.killAfter = -1;
    disk.failSyncs = 0;
    Map<Long, Entry> read = new LinkedHashMap<>();
    LedgerReader.read(disk, entry -> assertNull(read.put(entry.sequence(), entry), "twice"));
    assertHolds(confirmed, read, seed);
    return killed;
  }

  /** Appends and commits, at times with a failing disk; returns the last request. */
  private static long commitOften(
      Ledger ledger,
      FaultyDisk disk,
      SplittableRandom random,
      Map<Long, Entry> confirmed,
      long lastRequest)
      throws IOException {
    long request = lastRequest;
    for (int i = 0; i < 30; i++) {
      for (int n = random.nextInt(4); n >= 0; n--) {
        ledger.put(used(++request), request, request);
      }
      disk.failSyncs = random.nextInt(8) == 0 ? 1 : 0;
      try {
        ledger.commit().forEach(entry -> assertNull(confirmed.put(entry.sequence(), entry)));
      } catch (Ledger.Fenced e) {
        throw new AssertionError("nobody else is there", e);
      } catch (IOException e) {
        continue; // tried again with the next
      }
    }
    return request;
  }

  private static void assertHolds(Map<Long, Entry> confirmed, Map<Long, Entry> read, long seed) {
    confirmed.forEach(
        (sequence, entry) ->
            assertEquals(entry, read.get(sequence), "seed " + seed + ", entry " + sequence));
  }
}
