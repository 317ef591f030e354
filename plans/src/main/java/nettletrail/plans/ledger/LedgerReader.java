package nettletrail.plans.ledger;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads one life's ledger: which segments count and how far, what is sound in them, and what is
 * not.
 *
 * <p>The newest segment that begins soundly, by token and then by number, names the one before it
 * and how many of its bytes count; that one names its own, and so on. What stands behind the bytes
 * that count was never confirmed: it was given up after a failed sync, or written by a process that
 * had been taken for dead. Of the newest, all sound frames count.
 */
public final class LedgerReader {
  private static final Pattern SEGMENT = Pattern.compile("seg-(\\d{10})-(\\d{10})");
  private static final Pattern FENCE = Pattern.compile("fence-(\\d{10})");

  /**
   * Something that was passed over.
   *
   * @param lost whether it counted, so that entries are missing
   * @param changed whether it counted and is no longer what it was
   */
  public record Damage(
      String segment, long at, long bytes, boolean lost, boolean changed, String what) {
    /** Whether staff must look into it: nothing of the kind comes of a process that died. */
    public boolean bad() {
      return lost || changed;
    }
  }

  /**
   * What there is.
   *
   * @param door whose it is; null if there is no segment
   * @param last sequence of the last entry, 0 if there is none
   * @param token the highest that anyone took
   * @param missing entries that counted and can't be read
   */
  public record Found(
      String door,
      String life,
      long last,
      long token,
      long lastNumber,
      Frames.Before end,
      long missing,
      List<Damage> damages,
      List<String> segments) {
    /** SHA-256 over the newest segment, which holds that over the one before, and so on: in hex. */
    public String chain() {
      return HexFormat.of().formatHex(end.sha256());
    }
  }

  private record Segment(String name, Frames.Opening opening, byte[] bytes, int entriesAt) {}

  private final Disk disk;
  private final List<Damage> damages = new ArrayList<>();
  private long last;
  private long missing;

  private LedgerReader(Disk disk) {
    this.disk = disk;
  }

  /** Reads all of it; entries come in the order of their sequences. */
  public static Found read(Disk disk, Consumer<Entry> entries) throws IOException {
    return new LedgerReader(disk).all(entries);
  }

  static String segmentName(long token, long number) {
    return String.format("seg-%010d-%010d", token, number);
  }

  static String fenceName(long token) {
    return String.format("fence-%010d", token);
  }

  /** The highest token that anyone took; 0 for none. */
  static long token(Disk disk) throws IOException {
    long token = 0;
    for (String name : disk.names()) {
      Matcher fence = FENCE.matcher(name);
      token = fence.matches() ? Math.max(token, Long.parseLong(fence.group(1))) : token;
    }
    return token;
  }

  private Found all(Consumer<Entry> entries) throws IOException {
    Map<String, Segment> segments = new HashMap<>();
    Segment newest = null;
    for (String name : disk.names()) {
      if (!SEGMENT.matcher(name).matches()) {
        continue;
      }
      Segment segment = open(name);
      if (segment != null) {
        segments.put(name, segment);
        newest = newest == null || name.compareTo(newest.name()) > 0 ? segment : newest;
      }
    }
    long token = token(disk);
    if (newest == null) {
      return new Found(
          null,
          null,
          0,
          token,
          0,
          new Frames.Before("", 0, new byte[0]),
          0,
          List.copyOf(damages),
          List.of());
    }
    Deque<Segment> chain = new ArrayDeque<>();
    Deque<Integer> ends = new ArrayDeque<>();
    Frames.Before of = null;
    for (Segment each = newest; each != null; ) {
      chain.addFirst(each);
      int end = of == null ? each.bytes().length : counted(each, of);
      ends.addFirst(end);
      of = each.opening().before();
      Segment before = segments.get(of.name());
      if (before == null && !of.name().isEmpty()) {
        // Kept no longer, or gone: the sequences tell what is missing.
        last = each.opening().first() - 1;
      }
      each = before;
    }
    List<String> names = new ArrayList<>();
    int end = 0;
    while (!chain.isEmpty()) {
      Segment segment = chain.removeFirst();
      names.add(segment.name());
      boolean isNewest = chain.isEmpty();
      end = entries(segment, ends.removeFirst(), isNewest, entries);
    }
    Frames.Opening opening = newest.opening();
    return new Found(
        opening.door(),
        opening.life(),
        last,
        token,
        opening.number(),
        new Frames.Before(newest.name(), end, sha256(newest.bytes(), end)),
        missing,
        List.copyOf(damages),
        names);
  }

  private Segment open(String name) throws IOException {
    byte[] bytes = disk.read(name);
    int length = Frames.soundAt(bytes, 0, bytes.length);
    if (length < 0) {
      // Its writer died while it began it: nothing in it was ever confirmed, or the one after it
      // would name it.
      damages.add(new Damage(name, 0, bytes.length, false, false, "does not begin soundly"));
      return null;
    }
    try {
      return new Segment(name, Frames.opening(bytes, 0, length), bytes, Frames.AROUND + length);
    } catch (InvalidProtocolBufferException e) {
      throw new IOException(name + ": " + e.getMessage(), e);
    }
  }

  /** How far a segment counts by what its successor says, and whether it is what it was. */
  private int counted(Segment segment, Frames.Before of) {
    byte[] bytes = segment.bytes();
    int end = (int) Math.min(of.bytes(), bytes.length);
    if (of.bytes() > bytes.length) {
      damages.add(
          new Damage(
              segment.name(),
              bytes.length,
              of.bytes() - bytes.length,
              true,
              true,
              "is shorter than it was"));
    } else if (!Arrays.equals(sha256(bytes, end), of.sha256())) {
      damages.add(
          new Damage(
              segment.name(),
              0,
              end,
              false,
              true,
              "is not what it was when the next segment was begun"));
    }
    if (bytes.length > end) {
      damages.add(
          new Damage(segment.name(), end, bytes.length - end, false, false, "was never confirmed"));
    }
    return end;
  }

  /** Tells the sound entries; returns where the last of them ends. */
  private int entries(Segment segment, int end, boolean newest, Consumer<Entry> told)
      throws IOException {
    byte[] bytes = segment.bytes();
    int sound = segment.entriesAt();
    int at = sound;
    while (at < end) {
      int length = Frames.soundAt(bytes, at, end);
      if (length < 0) {
        int next = nextSound(bytes, at + 1, end);
        if (newest && (next < 0 || confirmedBehind(segment, next, end) <= last)) {
          // Blocks of one write reach a disk in any order: what nothing behind it calls confirmed
          // never was.
          damages.add(new Damage(segment.name(), at, end - at, false, false, "a torn end"));
          return sound;
        }
        int until = next < 0 ? end : next;
        damages.add(new Damage(segment.name(), at, until - at, true, true, "can't be read"));
        at = until;
        continue;
      }
      Entry entry;
      try {
        entry = Frames.entry(bytes, at, length);
      } catch (InvalidProtocolBufferException e) {
        throw new IOException(segment.name() + " at " + at + ": " + e.getMessage(), e);
      }
      at += Frames.AROUND + length;
      sound = at;
      if (entry != null) {
        missing += Math.max(0, entry.sequence() - last - 1);
        last = Math.max(last, entry.sequence());
        told.accept(entry);
      } else {
        last++; // of a later version: it has its number
      }
    }
    return sound;
  }

  /** Up to which entry the last sound one from here on says that all lasted. */
  private static long confirmedBehind(Segment segment, int from, int end) throws IOException {
    long confirmed = 0;
    for (int at = from; at >= 0 && at < end; ) {
      int length = Frames.soundAt(segment.bytes(), at, end);
      if (length < 0) {
        at = nextSound(segment.bytes(), at + 1, end);
      } else {
        confirmed = Math.max(confirmed, Frames.confirmed(segment.bytes(), at, length));
        at += Frames.AROUND + length;
      }
    }
    return confirmed;
  }

  private static int nextSound(byte[] bytes, int from, int end) {
    for (int at = from; at + Frames.AROUND <= end; at++) {
      if (Frames.soundAt(bytes, at, end) >= 0) {
        return at;
      }
    }
    return -1;
  }

  static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has it", e);
    }
  }

  private static byte[] sha256(byte[] bytes, int end) {
    MessageDigest digest = sha256();
    digest.update(bytes, 0, end);
    return digest.digest();
  }
}
