package nettletrail.control.shard;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import nettletrail.protocol.ConfigurationChange;
import nettletrail.protocol.OrderForward;

/**
 * The orders that were taken, the oldest first, each with the edition that it made. Immutable.
 *
 * <p>Editions only rise, and each order builds on the edition of the one before, the first on 0. So
 * at most one order was taken on top of an edition, and whether a given order was is a fact that
 * later changes don't touch. The history is stored with every version of the configuration, so it
 * is bounded: at {@value #DIGEST_BYTES} bytes and some three to five for edition and length, an
 * order takes about 20 bytes, {@value #MAX_ORDERS} of them some 80 KB. An order that may have been
 * dropped from it is neither taken nor refused: {@link Outcome#UNKNOWN}.
 */
final class AppliedChanges {

  /** How many orders that were taken are remembered. */
  static final int MAX_ORDERS = 4_096;

  /** How much of an order's SHA-256 is stored; earlier versions stored the whole of it. */
  static final int DIGEST_BYTES = 16;

  /** What is known of an order. */
  enum Outcome {
    /** Exactly this order was taken. */
    APPLIED,
    /** It was not taken on top of the edition that it names. */
    NOT_APPLIED,
    /** It builds on an edition from before the history: nobody knows whether it was taken. */
    UNKNOWN
  }

  private final List<ConfigurationChange> changes;

  AppliedChanges(List<ConfigurationChange> changes) {
    this.changes = List.copyOf(changes);
  }

  /** The orders, the oldest first. */
  List<ConfigurationChange> changes() {
    return changes;
  }

  /** What is known of the order with this digest, which builds on this edition. */
  Outcome outcomeOf(long ifMatch, ByteBuffer digest) {
    int next = indexAfter(ifMatch);
    if (next == changes.size()) {
      return Outcome.NOT_APPLIED;
    }
    if (sameDigest(changes.get(next).getDigest(), digest)) {
      return Outcome.APPLIED;
    }
    boolean dropped = next == 0 && changes.size() >= MAX_ORDERS;
    return dropped ? Outcome.UNKNOWN : Outcome.NOT_APPLIED;
  }

  /** The edition that the order which was taken on top of this one made. */
  long editionAfter(long ifMatch) {
    return changes.get(indexAfter(ifMatch)).getEdition();
  }

  /** The history with one order more; the oldest is dropped beyond the bound. */
  AppliedChanges with(long edition, ByteBuffer digest) {
    int first = Math.max(0, changes.size() + 1 - MAX_ORDERS);
    List<ConfigurationChange> longer = new ArrayList<>(changes.subList(first, changes.size()));
    longer.add(new ConfigurationChange(edition, digest));
    return new AppliedChanges(longer);
  }

  /** The index of the first order that made a higher edition, or the count if there is none. */
  private int indexAfter(long edition) {
    int from = 0;
    int to = changes.size();
    while (from < to) {
      int middle = (from + to) >>> 1;
      if (changes.get(middle).getEdition() > edition) {
        to = middle;
      } else {
        from = middle + 1;
      }
    }
    return from;
  }

  private static boolean sameDigest(ByteBuffer stored, ByteBuffer digest) {
    return stored.remaining() >= DIGEST_BYTES
        && stored.slice(stored.position(), DIGEST_BYTES).equals(digest);
  }

  /** Tells orders apart: method, the edition that they build on, and body. */
  static ByteBuffer digest(OrderForward request, long ifMatch) {
    MessageDigest digest;
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
    String head = request.getMethod() + "\n" + ifMatch + "\n";
    digest.update(head.getBytes(StandardCharsets.UTF_8));
    digest.update(request.getBody().duplicate());
    return ByteBuffer.wrap(Arrays.copyOf(digest.digest(), DIGEST_BYTES));
  }
}
