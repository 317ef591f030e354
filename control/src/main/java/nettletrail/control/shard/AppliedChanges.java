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
 * The configuration changes that were applied, the oldest first, each with the edition that it
 * made. Makes operators' requests idempotent: a request that is sent again is recognised by the
 * edition that it builds on and by its digest. Immutable.
 *
 * <p>Editions only rise, and each change builds on the edition of the one before, the first on 0.
 * So at most one change was applied to an edition, and whether a given request was that change is a
 * fact that later changes don't affect. The list is stored with every version of the configuration,
 * so it is bounded: with {@value #DIGEST_BYTES} bytes of digest and three to five for edition and
 * length, a change takes about 20 bytes, {@value #MAX_CHANGES} of them about 80 KB. A request that
 * may have been dropped from the list is neither acknowledged nor rejected: {@link
 * Outcome#UNKNOWN}.
 */
final class AppliedChanges {

  /** How many changes are remembered. */
  static final int MAX_CHANGES = 4_096;

  /** The stored prefix of a request's SHA-256, in bytes; earlier releases stored all of it. */
  static final int DIGEST_BYTES = 16;

  /** What is known of a request. */
  enum Outcome {
    /** Exactly this request was applied. */
    APPLIED,
    /** It was not applied to the edition that it names. */
    NOT_APPLIED,
    /** It builds on an edition older than the remembered ones: it may have been applied. */
    UNKNOWN
  }

  private final List<ConfigurationChange> changes;

  AppliedChanges(List<ConfigurationChange> changes) {
    this.changes = List.copyOf(changes);
  }

  /** The changes, the oldest first. */
  List<ConfigurationChange> changes() {
    return changes;
  }

  /** What is known of the request with this digest, which builds on the edition ifMatch. */
  Outcome outcomeOf(long ifMatch, ByteBuffer digest) {
    int next = indexAfter(ifMatch);
    if (next == changes.size()) {
      return Outcome.NOT_APPLIED;
    }
    if (sameDigest(changes.get(next).getDigest(), digest)) {
      return Outcome.APPLIED;
    }
    boolean dropped = next == 0 && changes.size() >= MAX_CHANGES;
    return dropped ? Outcome.UNKNOWN : Outcome.NOT_APPLIED;
  }

  /** The edition made by the change that was applied to this one; only if there is one. */
  long editionAfter(long ifMatch) {
    return changes.get(indexAfter(ifMatch)).getEdition();
  }

  /** The list with one more change; the oldest is dropped beyond the bound. */
  AppliedChanges with(long edition, ByteBuffer digest) {
    int first = Math.max(0, changes.size() + 1 - MAX_CHANGES);
    List<ConfigurationChange> longer = new ArrayList<>(changes.subList(first, changes.size()));
    longer.add(new ConfigurationChange(edition, digest));
    return new AppliedChanges(longer);
  }

  /** The index of the first change that made a higher edition, or the count if there is none. */
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

  /**
   * Whether two entries are the same change: the same edition, made by the same request. Entries of
   * earlier releases have longer digests.
   */
  static boolean isSame(ConfigurationChange one, ConfigurationChange other) {
    ByteBuffer digest = other.getDigest();
    return one.getEdition() == other.getEdition()
        && digest.remaining() >= DIGEST_BYTES
        && sameDigest(one.getDigest(), digest.slice(digest.position(), DIGEST_BYTES));
  }

  private static boolean sameDigest(ByteBuffer stored, ByteBuffer digest) {
    return stored.remaining() >= DIGEST_BYTES
        && stored.slice(stored.position(), DIGEST_BYTES).equals(digest);
  }

  /** The digest by which a request is recognised: of method, edition that it builds on, body. */
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
