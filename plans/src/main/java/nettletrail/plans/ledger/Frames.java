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
 * A segment's bytes: frames of a mark, a length, a CRC32C over length and content, and the content
 * (protobuf). The first frame is the {@link Head}, the others are entries.
 */
final class Frames {
  /** Mark (2 bytes), length (4), checksum (4). */
  static final int AROUND = 10;

  /** Larger is no frame of ours. */
  static final int MOST = 4_096;

  static final int VERSION = 1;
  private static final short MARK = (short) 0xE71A;

  private Frames() {}

  /** How much of a predecessor counts, and the chain over it. */
  record Before(String name, long bytes, byte[] sha256) {}

  /** A segment's first frame. */
  record Opening(
      String door, String life, long token, long number, long first, Before before, long wallMs) {}

  static byte[] frame(MessageLite content) {
    byte[] body = content.toByteArray();
    if (body.length > MOST) {
      throw new IllegalArgumentException(
          "an entry of " + body.length + " bytes; " + MOST + " at most");
    }
    ByteBuffer frame = ByteBuffer.allocate(AROUND + body.length).order(ByteOrder.LITTLE_ENDIAN);
    frame.putShort(MARK).putInt(body.length).putInt(checksum(body, 0, body.length)).put(body);
    return frame.array();
  }

  private static int checksum(byte[] from, int start, int length) {
    CRC32C sum = new CRC32C();
    sum.update(length >>> 24);
    sum.update(length >>> 16);
    sum.update(length >>> 8);
    sum.update(length);
    sum.update(from, start, length);
    return (int) sum.getValue();
  }

  /** The length of the sound frame's content that begins here, or -1. */
  static int soundAt(byte[] bytes, int at, int end) {
    if (end - at < AROUND) {
      return -1;
    }
    ByteBuffer head = ByteBuffer.wrap(bytes, at, AROUND).order(ByteOrder.LITTLE_ENDIAN);
    short mark = head.getShort();
    int length = head.getInt();
    int sum = head.getInt();
    boolean whole = mark == MARK && length >= 0 && length <= MOST && length <= end - at - AROUND;
    return whole && checksum(bytes, at + AROUND, length) == sum ? length : -1;
  }

  static byte[] opening(Opening opening) {
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
   * @throws InvalidProtocolBufferException if it is none, or one of a version that is not known
   *     here
   */
  static Opening opening(byte[] bytes, int at, int length) throws InvalidProtocolBufferException {
    Head head = Head.parser().parseFrom(bytes, at + AROUND, length);
    if (head.getVersion() != VERSION) {
      throw new InvalidProtocolBufferException(
          "version " + head.getVersion() + "; this program reads " + VERSION);
    }
    return new Opening(
        head.getDoor(),
        head.getLife(),
        head.getToken(),
        head.getNumber(),
        head.getFirst(),
        new Before(head.getBefore(), head.getCounted(), head.getBeforeSha256().toByteArray()),
        head.getWallMs());
  }

  private static Use use(Entry.Use use) {
    return Use.newBuilder()
        .setRequest(use.request())
        .setCustomer(use.customer())
        .setPlan(use.plan())
        .setPlanNumber(use.planNumber())
        .setRequestClass(use.requestClass())
        .setGuessMilli(use.guessMilli())
        .build();
  }

  private static Entry.Use use(Use use) {
    return new Entry.Use(
        use.getRequest(),
        use.getCustomer(),
        use.getPlan(),
        use.getPlanNumber(),
        use.getRequestClass(),
        use.getGuessMilli());
  }

  static byte[] entry(Entry entry, long confirmed) {
    var made =
        nettletrail.plans.ledger.wire.Entry.newBuilder()
            .setSequence(entry.sequence())
            .setWallMs(entry.wallMs())
            .setMonoNs(entry.monoNs())
            .setConfirmed(confirmed);
    Entry.What what = entry.what();
    if (what instanceof Entry.Sent sent) {
      made.getSentBuilder().setUse(use(sent.use()));
    } else if (what instanceof Entry.Used used) {
      made.getUsedBuilder()
          .setSent(used.sent())
          .setUse(use(used.use()))
          .setMilli(used.milli())
          .setSettled(used.settled());
    } else if (what instanceof Entry.Unknown unknown) {
      made.getUnknownBuilder()
          .setSent(unknown.sent())
          .setUse(use(unknown.use()))
          .setWhy(unknown.why())
          .setMilli(unknown.milli());
    } else if (what instanceof Entry.Unused unused) {
      made.getUnusedBuilder().setSent(unused.sent());
    } else if (what instanceof Entry.Settled settled) {
      made.getSettledBuilder()
          .setSent(settled.sent())
          .setUse(use(settled.use()))
          .setBeforeMilli(settled.beforeMilli())
          .setMilli(settled.milli());
    } else if (what instanceof Entry.Cut cut) {
      made.getCutBuilder().setFrom(cut.from()).setTo(cut.to());
    } else if (what instanceof Entry.Acked acked) {
      made.getAckedBuilder().setTo(acked.to());
    } else if (what instanceof Entry.Shelved shelved) {
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

  /** Up to which entry all lasted before this one was written. */
  static long confirmed(byte[] bytes, int at, int length) throws InvalidProtocolBufferException {
    return nettletrail.plans.ledger.wire.Entry.parser()
        .parseFrom(bytes, at + AROUND, length)
        .getConfirmed();
  }

  /** The entry, or null if it is of a kind that is not known here. */
  static Entry entry(byte[] bytes, int at, int length) throws InvalidProtocolBufferException {
    var read = nettletrail.plans.ledger.wire.Entry.parser().parseFrom(bytes, at + AROUND, length);
    Entry.What what =
        switch (read.getWhatCase()) {
          case SENT -> new Entry.Sent(use(read.getSent().getUse()));
          case USED ->
              new Entry.Used(
                  read.getUsed().getSent(),
                  use(read.getUsed().getUse()),
                  read.getUsed().getMilli(),
                  read.getUsed().getSettled());
          case UNKNOWN ->
              new Entry.Unknown(
                  read.getUnknown().getSent(),
                  use(read.getUnknown().getUse()),
                  read.getUnknown().getWhy(),
                  read.getUnknown().getMilli());
          case UNUSED -> new Entry.Unused(read.getUnused().getSent());
          case SETTLED ->
              new Entry.Settled(
                  read.getSettled().getSent(),
                  use(read.getSettled().getUse()),
                  read.getSettled().getBeforeMilli(),
                  read.getSettled().getMilli());
          case CUT -> new Entry.Cut(read.getCut().getFrom(), read.getCut().getTo());
          case ACKED -> new Entry.Acked(read.getAcked().getTo());
          case SHELVED -> new Entry.Shelved(read.getShelved().getTo(), read.getShelved().getWhy());
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
