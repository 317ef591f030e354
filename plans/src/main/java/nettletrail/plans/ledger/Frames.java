package nettletrail.plans.ledger;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.zip.CRC32C;
import nettletrail.plans.ledger.wire.Head;
import nettletrail.plans.ledger.wire.Use;

/**
 * Encodes and decodes the frames of a segment: a magic number, a length, a CRC32C over length and
 * content, and the content (protobuf). The first frame is the {@link Head}, the others are entries.
 */
final class Frames {
  /** Magic number (2 bytes), length (4), checksum (4). */
  static final int FRAME_OVERHEAD_BYTES = 10;

  /** Frames with longer content are invalid. */
  static final int MAX_CONTENT_BYTES = 4_096;

  static final int VERSION = 1;
  private static final short MAGIC = (short) 0xE71A;

  private Frames() {}

  /** How much of the segment before counts, with the hash chain over it. */
  record Predecessor(String name, long bytes, byte[] sha256) {}

  /** A segment's first frame. */
  record SegmentHeader(
      String door,
      String life,
      long token,
      long number,
      long first,
      Predecessor before,
      long wallMs) {}

  static byte[] frame(MessageLite content) {
    byte[] body = content.toByteArray();
    if (body.length > MAX_CONTENT_BYTES) {
      throw new IllegalArgumentException(
          "an entry of " + body.length + " bytes; " + MAX_CONTENT_BYTES + " at most");
    }
    ByteBuffer frame =
        ByteBuffer.allocate(FRAME_OVERHEAD_BYTES + body.length).order(ByteOrder.LITTLE_ENDIAN);
    frame.putShort(MAGIC).putInt(body.length).putInt(checksum(body, 0, body.length)).put(body);
    return frame.array();
  }

  private static int checksum(byte[] from, int start, int length) {
    CRC32C sum = new CRC32C();
    sum.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
    sum.update(from, start, length);
    return (int) sum.getValue();
  }

  /** The content length of the valid frame that begins here, or -1 if there is none. */
  static int validContentLength(byte[] bytes, int at, int end) {
    if (end - at < FRAME_OVERHEAD_BYTES) {
      return -1;
    }
    ByteBuffer head =
        ByteBuffer.wrap(bytes, at, FRAME_OVERHEAD_BYTES).order(ByteOrder.LITTLE_ENDIAN);
    short magic = head.getShort();
    int length = head.getInt();
    int sum = head.getInt();
    boolean complete =
        magic == MAGIC
            && length >= 0
            && length <= MAX_CONTENT_BYTES
            && length <= end - at - FRAME_OVERHEAD_BYTES;
    return complete && checksum(bytes, at + FRAME_OVERHEAD_BYTES, length) == sum ? length : -1;
  }

  static byte[] encodeHeader(SegmentHeader opening) {
    return frame(
        Head.newBuilder()
            .setVersion(VERSION)
            .setDoor(opening.door())
            .setLife(opening.life())
            .setToken(opening.token())
            .setNumber(opening.number())
            .setFirst(opening.first())
            .setBefore(opening.before().name())
            .setCounted(opening.before().bytes())
            .setBeforeSha256(ByteString.copyFrom(opening.before().sha256()))
            .setWallMs(opening.wallMs())
            .build());
  }

  /**
   * Decodes a header.
   *
   * @throws InvalidProtocolBufferException if it is malformed or of an unknown version
   */
  static SegmentHeader decodeHeader(byte[] bytes, int at, int length)
      throws InvalidProtocolBufferException {
    Head head = Head.parser().parseFrom(bytes, at + FRAME_OVERHEAD_BYTES, length);
    if (head.getVersion() != VERSION) {
      throw new InvalidProtocolBufferException(
          "version " + head.getVersion() + "; this program reads " + VERSION);
    }
    return new SegmentHeader(
        head.getDoor(),
        head.getLife(),
        head.getToken(),
        head.getNumber(),
        head.getFirst(),
        new Predecessor(head.getBefore(), head.getCounted(), head.getBeforeSha256().toByteArray()),
        head.getWallMs());
  }

  private static Use encodeUse(Entry.Use use) {
    return Use.newBuilder()
        .setRequest(use.request())
        .setCustomer(use.customer())
        .setPlan(use.plan())
        .setPlanNumber(use.planNumber())
        .setRequestClass(use.requestClass())
        .setGuessMilli(use.guessMilli())
        .build();
  }

  private static Entry.Use decodeUse(Use use) {
    return new Entry.Use(
        use.getRequest(),
        use.getCustomer(),
        use.getPlan(),
        use.getPlanNumber(),
        use.getRequestClass(),
        use.getGuessMilli());
  }

  static byte[] encodeEntry(Entry entry, long confirmed) {
    var made =
        nettletrail.plans.ledger.wire.Entry.newBuilder()
            .setSequence(entry.sequence())
            .setWallMs(entry.wallMs())
            .setMonoNs(entry.monoNs())
            .setConfirmed(confirmed);
    Entry.Event what = entry.event();
    if (what instanceof Entry.Sent sent) {
      made.getSentBuilder().setUse(encodeUse(sent.use()));
    } else if (what instanceof Entry.Used used) {
      made.getUsedBuilder()
          .setSent(used.sent())
          .setUse(encodeUse(used.use()))
          .setMilli(used.milli())
          .setSettled(used.settled());
    } else if (what instanceof Entry.Unknown unknown) {
      made.getUnknownBuilder()
          .setSent(unknown.sent())
          .setUse(encodeUse(unknown.use()))
          .setWhy(unknown.why())
          .setMilli(unknown.milli());
    } else if (what instanceof Entry.Unused unused) {
      made.getUnusedBuilder().setSent(unused.sent());
    } else if (what instanceof Entry.Settled settled) {
      made.getSettledBuilder()
          .setSent(settled.sent())
          .setUse(encodeUse(settled.use()))
          .setBeforeMilli(settled.beforeMilli())
          .setMilli(settled.milli());
    } else if (what instanceof Entry.BatchBoundary cut) {
      made.getCutBuilder().setFrom(cut.from()).setTo(cut.to());
    } else if (what instanceof Entry.BatchAcknowledged acked) {
      made.getAckedBuilder().setTo(acked.to());
    } else if (what instanceof Entry.BatchRejected shelved) {
      made.getShelvedBuilder().setTo(shelved.to()).setWhy(shelved.why());
    } else if (what instanceof Entry.Credit credit) {
      made.getCreditBuilder()
          .setCustomer(credit.customer())
          .setPlan(credit.plan())
          .setMilli(credit.milli())
          .setText(credit.text())
          .setAuthor(credit.author());
    }
    return frame(made.build());
  }

  /** Up to which entry everything was durable before this one was written. */
  static long confirmed(byte[] bytes, int at, int length) throws InvalidProtocolBufferException {
    return nettletrail.plans.ledger.wire.Entry.parser()
        .parseFrom(bytes, at + FRAME_OVERHEAD_BYTES, length)
        .getConfirmed();
  }

  /** The entry, or null if its kind is unknown here. */
  static Entry decodeEntry(byte[] bytes, int at, int length) throws InvalidProtocolBufferException {
    var read =
        nettletrail.plans.ledger.wire.Entry.parser()
            .parseFrom(bytes, at + FRAME_OVERHEAD_BYTES, length);
    Entry.Event what =
        switch (read.getWhatCase()) {
          case SENT -> new Entry.Sent(decodeUse(read.getSent().getUse()));
          case USED ->
              new Entry.Used(
                  read.getUsed().getSent(),
                  decodeUse(read.getUsed().getUse()),
                  read.getUsed().getMilli(),
                  read.getUsed().getSettled());
          case UNKNOWN ->
              new Entry.Unknown(
                  read.getUnknown().getSent(),
                  decodeUse(read.getUnknown().getUse()),
                  read.getUnknown().getWhy(),
                  read.getUnknown().getMilli());
          case UNUSED -> new Entry.Unused(read.getUnused().getSent());
          case SETTLED ->
              new Entry.Settled(
                  read.getSettled().getSent(),
                  decodeUse(read.getSettled().getUse()),
                  read.getSettled().getBeforeMilli(),
                  read.getSettled().getMilli());
          case CUT -> new Entry.BatchBoundary(read.getCut().getFrom(), read.getCut().getTo());
          case ACKED -> new Entry.BatchAcknowledged(read.getAcked().getTo());
          case SHELVED ->
              new Entry.BatchRejected(read.getShelved().getTo(), read.getShelved().getWhy());
          case CREDIT ->
              new Entry.Credit(
                  read.getCredit().getCustomer(),
                  read.getCredit().getPlan(),
                  read.getCredit().getMilli(),
                  read.getCredit().getText(),
                  read.getCredit().getAuthor());
          case WHAT_NOT_SET -> null;
        };
    return what == null
        ? null
        : new Entry(read.getSequence(), read.getWallMs(), read.getMonoNs(), what);
  }
}
