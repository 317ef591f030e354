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
 * Reads the ledger of one incarnation: which segments count, how many of their bytes, which entries
 * are valid in them, and what is damaged.
 *
 * <p>The newest segment with a valid header, by fencing token and then by number, names its
 * predecessor and how many of its bytes count; that one names its own, and so on. Bytes behind
 * those that count were never confirmed: they were abandoned after a failed sync, or written by a
 * process that had been taken for dead. Of the newest segment all valid frames count.
 */
public final class LedgerReader {
  private static final Pattern SEGMENT = Pattern.compile("seg-(\\d{10})-(\\d{10})");
  private static final Pattern FENCE = Pattern.compile("fence-(\\d{10})");

  /**
   * Bytes that were skipped.
   *
   * @param lost whether they counted, so that entries are missing
   * @param changed whether they counted and differ from what was written
   */
  public record SegmentDamage(
      String segment, long at, long bytes, boolean lost, boolean changed, String description) {
    /** Whether an operator must look into it: a process that dies leaves nothing of this kind. */
    public boolean isSerious() {
      return lost || changed;
    }
  }

  /**
   * What a ledger contains.
   *
   * @param door the front door that wrote it; null if there is no segment
   * @param last sequence of the last entry, 0 if there is none
   * @param token the highest fencing token that any process acquired
   * @param missing how many entries counted and can't be read
   */
  public record LedgerContents(
      String door,
      String life,
      long last,
      long token,
      long lastNumber,
      Frames.Predecessor end,
      long missing,
      List<SegmentDamage> damages,
      List<String> segments) {
    /** SHA-256 over the newest segment, which contains that of its predecessor; hexadecimal. */
    public String chain() {
      return HexFormat.of().formatHex(end.sha256());
    }
  }

  private record Segment(String name, Frames.SegmentHeader opening, byte[] bytes, int entriesAt) {}

  /** A segment of the chain and how many of its bytes count. */
  private record CountedSegment(Segment segment, int end) {}

  private final Disk disk;
  private final List<SegmentDamage> damages = new ArrayList<>();
  private long last;
  private long missing;

  private LedgerReader(Disk disk) {
    this.disk = disk;
  }

  /** Reads a ledger; passes its entries on in the order of their sequences. */
  public static LedgerContents read(Disk disk, Consumer<Entry> entries) throws IOException {
    return new LedgerReader(disk).readAll(entries);
  }

  static String segmentName(long token, long number) {
    return String.format("seg-%010d-%010d", token, number);
  }

  static String fenceName(long token) {
    return String.format("fence-%010d", token);
  }

  /** The highest fencing token that any process acquired; 0 for none. */
  static long token(Disk disk) throws IOException {
    long token = 0;
    for (String name : disk.names()) {
      Matcher fence = FENCE.matcher(name);
      token = fence.matches() ? Math.max(token, Long.parseLong(fence.group(1))) : token;
    }
    return token;
  }

  private LedgerContents readAll(Consumer<Entry> entries) throws IOException {
    Map<String, Segment> segments = new HashMap<>();
    Segment newest = openAll(segments);
    long token = token(disk);
    if (newest == null) {
      Frames.Predecessor none = new Frames.Predecessor("", 0, new byte[0]);
      return new LedgerContents(null, null, 0, token, 0, none, 0, List.copyOf(damages), List.of());
    }
    Deque<CountedSegment> chain = chainOf(newest, segments);
    List<String> names = new ArrayList<>();
    int end = 0;
    while (!chain.isEmpty()) {
      CountedSegment next = chain.removeFirst();
      names.add(next.segment().name());
      end = entries(next.segment(), next.end(), chain.isEmpty(), entries);
    }
    Frames.SegmentHeader header = newest.opening();
    return new LedgerContents(
        header.door(),
        header.life(),
        last,
        token,
        header.number(),
        new Frames.Predecessor(newest.name(), end, sha256(newest.bytes(), end)),
        missing,
        List.copyOf(damages),
        names);
  }

  /** Opens all segments with a valid header; returns the newest, or null if there is none. */
  private Segment openAll(Map<String, Segment> segments) throws IOException {
    Segment newest = null;
    for (String name : disk.names()) {
      Segment segment = SEGMENT.matcher(name).matches() ? open(name) : null;
      if (segment != null) {
        segments.put(name, segment);
        newest = newest == null || name.compareTo(newest.name()) > 0 ? segment : newest;
      }
    }
    return newest;
  }

  /** The newest segment and its predecessors, the oldest first. */
  private Deque<CountedSegment> chainOf(Segment newest, Map<String, Segment> segments) {
    Deque<CountedSegment> chain = new ArrayDeque<>();
    Frames.Predecessor named = null;
    for (Segment each = newest; each != null; ) {
      int end = named == null ? each.bytes().length : counted(each, named);
      chain.addFirst(new CountedSegment(each, end));
      named = each.opening().before();
      Segment before = segments.get(named.name());
      if (before == null && !named.name().isEmpty()) {
        // Deleted or lost: the sequences show what is missing.
        last = each.opening().first() - 1;
      }
      each = before;
    }
    return chain;
  }

  private Segment open(String name) throws IOException {
    byte[] bytes = disk.read(name);
    int length = Frames.validContentLength(bytes, 0, bytes.length);
    if (length < 0) {
      // Its writer died while it wrote the header: nothing in it was ever confirmed, or the next
      // segment would name it.
      damages.add(new SegmentDamage(name, 0, bytes.length, false, false, "does not begin soundly"));
      return null;
    }
    try {
      return new Segment(
          name, Frames.decodeHeader(bytes, 0, length), bytes, Frames.FRAME_OVERHEAD_BYTES + length);
    } catch (InvalidProtocolBufferException e) {
      throw new IOException(name + ": " + e.getMessage(), e);
    }
  }

  /** How many bytes of a segment count by its successor; reports damage to them. */
  private int counted(Segment segment, Frames.Predecessor of) {
    byte[] bytes = segment.bytes();
    int end = (int) Math.min(of.bytes(), bytes.length);
    if (of.bytes() > bytes.length) {
      damages.add(
          new SegmentDamage(
              segment.name(),
              bytes.length,
              of.bytes() - bytes.length,
              true,
              true,
              "is shorter than it was"));
    } else if (!Arrays.equals(sha256(bytes, end), of.sha256())) {
      damages.add(
          new SegmentDamage(
              segment.name(),
              0,
              end,
              false,
              true,
              "is not what it was when the next segment was begun"));
    }
    if (bytes.length > end) {
      damages.add(
          new SegmentDamage(
              segment.name(), end, bytes.length - end, false, false, "was never confirmed"));
    }
    return end;
  }

  /** Passes on the valid entries; returns where the last of them ends. */
  private int entries(Segment segment, int end, boolean newest, Consumer<Entry> consumer)
      throws IOException {
    byte[] bytes = segment.bytes();
    int validEnd = segment.entriesAt();
    int at = validEnd;
    while (at < end) {
      int length = Frames.validContentLength(bytes, at, end);
      if (length < 0) {
        int next = nextValidFrame(bytes, at + 1, end);
        if (newest && (next < 0 || confirmedBehind(segment, next, end) <= last)) {
          // Blocks of one write reach a disk in any order: what no later frame says to be
          // confirmed never was.
          damages.add(new SegmentDamage(segment.name(), at, end - at, false, false, "a torn end"));
          return validEnd;
        }
        int until = next < 0 ? end : next;
        damages.add(new SegmentDamage(segment.name(), at, until - at, true, true, "can't be read"));
        at = until;
        continue;
      }
      Entry entry;
      try {
        entry = Frames.decodeEntry(bytes, at, length);
      } catch (InvalidProtocolBufferException e) {
        throw new IOException(segment.name() + " at " + at + ": " + e.getMessage(), e);
      }
      at += Frames.FRAME_OVERHEAD_BYTES + length;
      validEnd = at;
      if (entry != null) {
        missing += Math.max(0, entry.sequence() - last - 1);
        last = Math.max(last, entry.sequence());
        consumer.accept(entry);
      } else {
        last++; // of a later version: its number is taken
      }
    }
    return validEnd;
  }

  /** Up to which entry the last valid frame from here on says that everything is durable. */
  private static long confirmedBehind(Segment segment, int from, int end) throws IOException {
    long confirmed = 0;
    for (int at = from; at >= 0 && at < end; ) {
      int length = Frames.validContentLength(segment.bytes(), at, end);
      if (length < 0) {
        at = nextValidFrame(segment.bytes(), at + 1, end);
      } else {
        confirmed = Math.max(confirmed, Frames.confirmed(segment.bytes(), at, length));
        at += Frames.FRAME_OVERHEAD_BYTES + length;
      }
    }
    return confirmed;
  }

  private static int nextValidFrame(byte[] bytes, int from, int end) {
    for (int at = from; at + Frames.FRAME_OVERHEAD_BYTES <= end; at++) {
      if (Frames.validContentLength(bytes, at, end) >= 0) {
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
