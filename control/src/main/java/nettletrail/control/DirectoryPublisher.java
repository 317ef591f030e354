package nettletrail.control;

import java.util.ArrayList;
import java.util.List;
import nettletrail.protocol.Directory;
import nettletrail.protocol.Member;

/**
 * The directory of core processes and shard owners that doors get with heartbeat replies. Not
 * thread-safe; instants are steady nanoseconds.
 */
final class DirectoryPublisher {
  /** Upper bound of what caching adds to the time until doors learn of a new owner. */
  private static final long REFRESH_INTERVAL_NANOS = 50_000_000L;

  /** An odd factor, so that multiplying loses no bit of the names before. */
  private static final long DIGEST_FACTOR = 0x9e3779b97f4a7c15L;

  private final String address;
  private final ShardOwnership ownership;
  private Directory directory;
  private long refreshedAt;

  /** {@code address}: this process's address, listed where it owns a shard. */
  DirectoryPublisher(String address, ShardOwnership ownership) {
    this.address = address;
    this.ownership = ownership;
  }

  /** The directory, at most 50 ms old. */
  Directory directory(long now) {
    if (directory == null || now - refreshedAt >= REFRESH_INTERVAL_NANOS) {
      List<Member> members = ownership.members();
      List<String> owners = owners(now);
      directory = new Directory(digest(members, owners), members, owners);
      refreshedAt = now;
    }
    return directory;
  }

  /** Above 0: doors send 0 while they have no directory. */
  private static long digest(List<Member> members, List<String> owners) {
    long digest = 1;
    for (Member member : members) {
      digest = DIGEST_FACTOR * digest + member.getId().hashCode();
      digest = DIGEST_FACTOR * digest + member.getAddress().hashCode();
    }
    for (String owner : owners) {
      digest = DIGEST_FACTOR * digest + owner.hashCode();
    }
    return Math.max(1, digest & Long.MAX_VALUE);
  }

  private List<String> owners(long now) {
    List<String> owners = new ArrayList<>();
    for (int shard = 0; shard < ownership.shardCount(); shard++) {
      owners.add(ownership.owns(shard, now) ? address : ownership.ownerAddress(shard));
    }
    return owners;
  }
}
