package nettletrail.plans.ledger;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Writes the ledger of one incarnation. Appended entries are <b>confirmed</b> by {@link #commit}:
 * written, synced, and no higher fencing token found afterwards. One thread.
 *
 * <p><b>Why in this order.</b> A process that takes a ledger over first makes the name of a higher
 * token durable and then reads. If a writer finds no higher token after its sync, what it wrote was
 * there before the token, so whoever reads later has it. What is written after a token may be read
 * or not: it is not confirmed, and {@link #reclaim} finds out.
 *
 * <p><b>A sync that fails</b> may have discarded the pages, and a second one would report success
 * (Rebello et al., "Can Applications Recover from fsync Failures?", 2020). So the segment is left
 * as it was at its last successful sync, and everything since then is written again into the next
 * one, whose header says how much of the former counts.
 */
public final class Ledger {
  /** Another process has taken the ledger over. Nothing since the last commit is confirmed. */
  public static final class Fenced extends IOException {
    private static final long serialVersionUID = 1;

    private Fenced(long token) {
      super("another process took this ledger over with token " + token);
    }
  }

  private final Disk disk;
  private final String door;
  private final String life;
  private final long segmentBytes;
  private long token;
  private long number;

  /** Up to where everything is synced: segment, bytes, and the hash over them. */
  private Synced synced = new Synced("", 0, LedgerReader.sha256());

  /** The segment that is being written; null if the next commit must start one. */
  private Disk.File file;

  private Synced writing;
  private long last;
  private long lastConfirmed;

  /** Appended entries that are not confirmed yet. */
  private final List<Entry> open = new ArrayList<>();

  /** How many entries of {@link #open} are written into {@link #file}. */
  private int written;

  private long wallMs;

  /**
   * Another process has taken over, and the ledger isn't reclaimed yet: nothing is written
   * meanwhile, or the other one could use the same sequences.
   */
  private boolean fenced;

  private record Synced(String name, long bytes, MessageDigest digest) {
    Synced and(byte[] more) {
      MessageDigest next = copy(digest);
      next.update(more);
      return new Synced(name, bytes + more.length, next);
    }
  }

  private Ledger(Disk disk, String door, String life, long segmentBytes) {
    this.disk = disk;
    this.door = door;
    this.life = life;
    this.segmentBytes = segmentBytes;
  }

  /**
   * Starts the ledger of a new incarnation in an empty folder.
   *
   * @param segmentBytes after which a new segment is started
   * @throws java.nio.file.FileAlreadyExistsException if another process has started one there
   */
  public static Ledger begin(Disk disk, String door, String life, long segmentBytes, long wallMs)
      throws IOException {
    Ledger ledger = new Ledger(disk, door, life, segmentBytes);
    ledger.token = 1;
    ledger.wallMs = wallMs;
    disk.create(LedgerReader.fenceName(1)).close();
    return ledger;
  }

  /**
   * Takes over the ledger of another process, dead or not, which confirms nothing from here on.
   *
   * @param entries gets all entries that count
   * @return null if there is nothing to take over
   */
  public static Ledger adopt(
      Disk disk,
      long segmentBytes,
      long wallMs,
      Consumer<Entry> entries,
      Consumer<LedgerReader.LedgerContents> found)
      throws IOException {
    long token = fence(disk);
    LedgerReader.LedgerContents read = LedgerReader.read(disk, entries);
    found.accept(read);
    if (read.door() == null) {
      return null;
    }
    Ledger ledger = new Ledger(disk, read.door(), read.life(), segmentBytes);
    ledger.resume(read, token, wallMs);
    return ledger;
  }

  /** Acquires a fencing token that is higher than all others. */
  private static long fence(Disk disk) throws IOException {
    while (true) {
      long token = LedgerReader.token(disk) + 1;
      try {
        disk.create(LedgerReader.fenceName(token)).close();
        return token;
      } catch (java.nio.file.FileAlreadyExistsException e) {
        continue; // another process was quicker
      }
    }
  }

  private void resume(LedgerReader.LedgerContents read, long ownToken, long now)
      throws IOException {
    token = ownToken;
    number = read.lastNumber();
    MessageDigest digest = LedgerReader.sha256();
    if (!read.end().name().isEmpty()) {
      // A process that was killed may have written it without a sync: what the new header says to
      // count has to be durable first.
      disk.sync(read.end().name());
      digest.update(disk.read(read.end().name()), 0, (int) read.end().bytes());
    }
    synced = new Synced(read.end().name(), read.end().bytes(), digest);
    wallMs = now;
    startSegment(read.last() + 1);
    try {
      // At once, or what a fenced writer appends to the old segment would still count.
      file.sync();
    } catch (IOException e) {
      close();
      throw e;
    }
    synced = writing;
    last = read.last();
    lastConfirmed = last;
    fenced = false;
  }

  /**
   * Takes the ledger back after {@link Fenced}. Entries about uses that weren't confirmed and don't
   * count are appended again under new sequences. Entries of the export are not: it decides anew
   * from what counts.
   *
   * @param entries gets all entries that count
   * @return the new sequence of each re-appended Sent, by its former one
   */
  public Map<Long, Long> reclaim(long now, Consumer<Entry> entries) throws IOException {
    close();
    fenced = true;
    long ownToken = fence(disk);
    List<Entry> there = new ArrayList<>();
    LedgerReader.LedgerContents read =
        LedgerReader.read(
            disk,
            entry -> {
              if (entry.sequence() > lastConfirmed) {
                there.add(entry);
              }
              entries.accept(entry);
            });
    resume(read, ownToken, now);
    // Not before: if the disk fails, everything is retried.
    List<Entry> mine = new ArrayList<>(open);
    open.clear();
    Map<Long, Long> newSequences = new HashMap<>();
    for (Entry each : mine) {
      if (!there.contains(each)) {
        appendAgain(each, newSequences);
      }
    }
    return newSequences;
  }

  /** Appends an entry about a use again, with the new sequence of its Sent. */
  private void appendAgain(Entry entry, Map<Long, Long> newSequences) {
    Entry.Event event = entry.event();
    if (event instanceof Entry.Sent) {
      newSequences.put(entry.sequence(), put(event, entry.wallMs(), entry.monoNs()));
    } else if (event instanceof Entry.Used used) {
      long sent = newSequences.getOrDefault(used.sent(), used.sent());
      Entry.Event again = new Entry.Used(sent, used.use(), used.milli(), used.settled());
      put(again, entry.wallMs(), entry.monoNs());
    } else if (event instanceof Entry.Unknown unknown) {
      long sent = newSequences.getOrDefault(unknown.sent(), unknown.sent());
      Entry.Event again = new Entry.Unknown(sent, unknown.use(), unknown.why(), unknown.milli());
      put(again, entry.wallMs(), entry.monoNs());
    } else if (event instanceof Entry.Unused unused) {
      long sent = newSequences.getOrDefault(unused.sent(), unused.sent());
      put(new Entry.Unused(sent), entry.wallMs(), entry.monoNs());
    } else if (event instanceof Entry.Settled || event instanceof Entry.Credit) {
      put(event, entry.wallMs(), entry.monoNs());
    }
  }

  /** Appends an entry, which the next {@link #commit} confirms. Returns its sequence. */
  public long put(Entry.Event what, long wall, long mono) {
    open.add(new Entry(++last, wall, mono, what));
    wallMs = wall;
    return last;
  }

  /** How many entries are appended and not confirmed. */
  public int unconfirmed() {
    return open.size();
  }

  /** All entries up to this sequence are confirmed. */
  public long confirmed() {
    return lastConfirmed;
  }

  /** The sequence of the last appended entry. */
  public long last() {
    return last;
  }

  /** The front door that writes it. */
  public String door() {
    return door;
  }

  /** The incarnation of the front door. */
  public String life() {
    return life;
  }

  /** The fencing token of this process. */
  public long token() {
    return token;
  }

  /**
   * Confirms all appended entries.
   *
   * @return the entries that this call confirmed, in order
   * @throws Fenced if another process has the ledger
   * @throws IOException if the disk fails; everything is kept, and the next call retries in a new
   *     segment
   */
  public List<Entry> commit() throws IOException {
    if (fenced) {
      throw new Fenced(token + 1);
    }
    if (open.isEmpty()) {
      return List.of();
    }
    if (file == null || writing.bytes() >= segmentBytes && written == 0) {
      startSegment(lastConfirmed + 1);
    }
    try {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (Entry each : open.subList(written, open.size())) {
        all.writeBytes(Frames.encodeEntry(each, lastConfirmed));
      }
      writing = writing.and(all.toByteArray());
      written = open.size();
      file.write(all.toByteArray());
      file.sync();
      synced = writing;
    } catch (IOException e) {
      close();
      throw e;
    }
    if (isFenced()) {
      fenced = true;
      throw new Fenced(token + 1);
    }
    List<Entry> confirmed = List.copyOf(open);
    open.clear();
    written = 0;
    lastConfirmed = last;
    return confirmed;
  }

  /** Whether another process has taken over; to be polled by a process without commits. */
  public boolean isFenced() throws IOException {
    return fenced || disk.exists(LedgerReader.fenceName(token + 1));
  }

  /** Starts a new segment after what counts of the one before. */
  private void startSegment(long first) throws IOException {
    close();
    // A number that failed is not used again: what it left is not part of the chain.
    number++;
    String name = LedgerReader.segmentName(token, number);
    Frames.Predecessor before =
        new Frames.Predecessor(synced.name(), synced.bytes(), copy(synced.digest()).digest());
    byte[] opening =
        Frames.encodeHeader(
            new Frames.SegmentHeader(door, life, token, number, first, before, wallMs));
    Disk.File ledger = disk.create(name);
    try {
      ledger.write(opening);
    } catch (IOException e) {
      ledger.close();
      throw e;
    }
    file = ledger;
    writing = new Synced(name, 0, LedgerReader.sha256()).and(opening);
  }

  private static MessageDigest copy(MessageDigest of) {
    try {
      return (MessageDigest) of.clone();
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException("the JDK's SHA-256 can be cloned", e);
    }
  }

  /** Closes the segment; what isn't confirmed stays so. */
  public void close() {
    written = 0;
    if (file != null) {
      try {
        file.close();
      } catch (IOException e) {
        // Everything that counts of it is synced.
      }
      file = null;
    }
  }
}
