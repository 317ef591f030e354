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
 * Writes one life's ledger. Entries are put in and become <b>confirmed</b> by {@link #commit}:
 * written, synced, and after that no higher token found. One thread.
 *
 * <p><b>Why in that order.</b> Who takes a ledger over first makes the name of a higher token last,
 * and then reads. If a writer finds no higher token after its sync, what it wrote was there before
 * the token, so whoever reads later has it. What is written behind a token may be read or not: it
 * is not confirmed, and {@link #retake} tells which.
 *
 * <p><b>A sync that fails</b> may have thrown the pages away, and a second one would say that all
 * is well (Rebello et al., "Can Applications Recover from fsync Failures?", 2020). So the segment
 * is left as it was when it was synced last, and all since then is written anew into the next,
 * whose beginning says how much of the old one counts.
 */
public final class Ledger {
  /** Another process has this ledger now. Nothing since the last commit is confirmed. */
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

  /** Up to where all is synced: the segment, its bytes, and the chain over them. */
  private Synced synced = new Synced("", 0, LedgerReader.sha256());

  /** The segment that is written, and how far; null if the next commit must begin one. */
  private Disk.File file;

  private Synced writing;
  private long last;
  private long lastConfirmed;

  /** Not confirmed yet, with their numbers. */
  private final List<Entry> open = new ArrayList<>();

  /** Of {@link #open}, those that are written into {@link #file}. */
  private int written;

  private long wallMs;

  /**
   * Found fenced, and not taken back yet: nothing is written meanwhile, or its numbers could be
   * another's.
   */
  private boolean lost;

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
   * Begins a new life's ledger in an empty folder.
   *
   * @param segmentBytes after which a new segment is begun
   * @throws java.nio.file.FileAlreadyExistsException if another process has begun one there
   */
  public static Ledger begin(Disk disk, String door, String life, long segmentBytes, long wallMs)
      throws IOException {
    Ledger made = new Ledger(disk, door, life, segmentBytes);
    made.token = 1;
    made.wallMs = wallMs;
    disk.create(LedgerReader.fenceName(1)).close();
    return made;
  }

  /**
   * Takes over what another process wrote, dead or not: from here on it confirms nothing more.
   *
   * @param entries hears of all that counts
   * @return null if there is nothing to take over
   */
  public static Ledger adopt(
      Disk disk,
      long segmentBytes,
      long wallMs,
      Consumer<Entry> entries,
      Consumer<LedgerReader.Found> found)
      throws IOException {
    long token = fence(disk);
    LedgerReader.Found read = LedgerReader.read(disk, entries);
    found.accept(read);
    if (read.door() == null) {
      return null;
    }
    Ledger made = new Ledger(disk, read.door(), read.life(), segmentBytes);
    made.goOn(read, token, wallMs);
    return made;
  }

  /** A token of one's own, higher than all. */
  private static long fence(Disk disk) throws IOException {
    while (true) {
      long token = LedgerReader.token(disk) + 1;
      try {
        disk.create(LedgerReader.fenceName(token)).close();
        return token;
      } catch (java.nio.file.FileAlreadyExistsException e) {
        continue; // another one was quicker
      }
    }
  }

  private void goOn(LedgerReader.Found read, long ownToken, long now) throws IOException {
    token = ownToken;
    number = read.lastNumber();
    MessageDigest digest = LedgerReader.sha256();
    if (!read.end().name().isEmpty()) {
      // A process that was killed may have written it and not synced: what is said to count must
      // last first.
      disk.sync(read.end().name());
      digest.update(disk.read(read.end().name()), 0, (int) read.end().bytes());
    }
    synced = new Synced(read.end().name(), read.end().bytes(), digest);
    wallMs = now;
    begin(read.last() + 1);
    try {
      // At once, or what a fenced writer adds to the old segment would still be read as its end.
      file.sync();
    } catch (IOException e) {
      close();
      throw e;
    }
    synced = writing;
    last = read.last();
    lastConfirmed = last;
    lost = false;
  }

  /**
   * For one that was {@link Fenced}: takes its ledger back. What was put in of uses, wasn't
   * confirmed and doesn't stand in what counts is put in again, under new numbers. Cuts and what
   * else the export puts in is not: whoever exports decides that anew from what counts.
   *
   * @param entries hears of all that counts, as at an adoption
   * @return by the old number of a Sent, its new one
   */
  public Map<Long, Long> retake(long now, Consumer<Entry> entries) throws IOException {
    close();
    lost = true;
    long ownToken = fence(disk);
    List<Entry> there = new ArrayList<>();
    LedgerReader.Found read =
        LedgerReader.read(
            disk,
            entry -> {
              if (entry.sequence() > lastConfirmed) {
                there.add(entry);
              }
              entries.accept(entry);
            });
    goOn(read, ownToken, now);
    // Not before: if the disk would not, all is tried again.
    List<Entry> mine = new ArrayList<>(open);
    open.clear();
    Map<Long, Long> renumbered = new HashMap<>();
    for (Entry each : mine) {
      if (there.contains(each)) {
        continue;
      }
      Entry.What what = each.what();
      if (what instanceof Entry.Sent) {
        renumbered.put(each.sequence(), put(what, each.wallMs(), each.monoNs()));
      } else if (what instanceof Entry.Used used) {
        put(
            new Entry.Used(
                renumbered.getOrDefault(used.sent(), used.sent()),
                used.use(),
                used.milli(),
                used.settled()),
            each.wallMs(),
            each.monoNs());
      } else if (what instanceof Entry.Unknown unknown) {
        put(
            new Entry.Unknown(
                renumbered.getOrDefault(unknown.sent(), unknown.sent()),
                unknown.use(),
                unknown.why(),
                unknown.milli()),
            each.wallMs(),
            each.monoNs());
      } else if (what instanceof Entry.Unused unused) {
        put(
            new Entry.Unused(renumbered.getOrDefault(unused.sent(), unused.sent())),
            each.wallMs(),
            each.monoNs());
      } else if (what instanceof Entry.Settled || what instanceof Entry.Credit) {
        put(what, each.wallMs(), each.monoNs());
      }
    }
    return renumbered;
  }

  /** Puts an entry in; it is confirmed by the next {@link #commit}. Returns its sequence. */
  public long put(Entry.What what, long wall, long mono) {
    open.add(new Entry(++last, wall, mono, what));
    wallMs = wall;
    return last;
  }

  /** Entries put in and not confirmed. */
  public int unconfirmed() {
    return open.size();
  }

  /** All up to this sequence are confirmed. */
  public long confirmed() {
    return lastConfirmed;
  }

  /** The sequence of the entry that was put in last. */
  public long last() {
    return last;
  }

  public String door() {
    return door;
  }

  public String life() {
    return life;
  }

  public long token() {
    return token;
  }

  /**
   * Confirms all that was put in.
   *
   * @return what is confirmed by this, in order
   * @throws Fenced if another process has the ledger
   * @throws IOException if the disk would not; all is kept, and the next call tries again in a new
   *     segment
   */
  public List<Entry> commit() throws IOException {
    if (lost) {
      throw new Fenced(token + 1);
    }
    if (open.isEmpty()) {
      return List.of();
    }
    if (file == null || writing.bytes() >= segmentBytes && written == 0) {
      begin(lastConfirmed + 1);
    }
    try {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (Entry each : open.subList(written, open.size())) {
        all.writeBytes(Frames.entry(each, lastConfirmed));
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
      lost = true;
      throw new Fenced(token + 1);
    }
    List<Entry> confirmed = List.copyOf(open);
    open.clear();
    written = 0;
    lastConfirmed = last;
    return confirmed;
  }

  /**
   * Whether another process has it now. Who has nothing to commit must ask, or it would never know.
   */
  public boolean isFenced() throws IOException {
    return lost || disk.exists(LedgerReader.fenceName(token + 1));
  }

  /** A new segment, after what counts of the one before. */
  private void begin(long first) throws IOException {
    close();
    // A number that failed is not taken again: what it left is no part of the chain.
    number++;
    String name = LedgerReader.segmentName(token, number);
    Frames.Before before =
        new Frames.Before(synced.name(), synced.bytes(), copy(synced.digest()).digest());
    byte[] opening =
        Frames.opening(new Frames.Opening(door, life, token, number, first, before, wallMs));
    Disk.File made = disk.create(name);
    try {
      made.write(opening);
    } catch (IOException e) {
      made.close();
      throw e;
    }
    file = made;
    writing = new Synced(name, 0, LedgerReader.sha256()).and(opening);
  }

  private static MessageDigest copy(MessageDigest of) {
    try {
      return (MessageDigest) of.clone();
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException("the JDK's SHA-256 can be cloned", e);
    }
  }

  /** Ends the writing; what isn't confirmed stays unconfirmed. */
  public void close() {
    written = 0;
    if (file != null) {
      try {
        file.close();
      } catch (IOException e) {
        // All that counts of it is synced.
      }
      file = null;
    }
  }
}
