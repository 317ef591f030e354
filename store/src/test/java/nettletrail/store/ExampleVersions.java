package nettletrail.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/** Versions of a shard with one replica, for tests. */
final class ExampleVersions {
  /** Where the only replica is dialled. */
  static final String ADDRESS = "10.0.0.1:8665";

  private ExampleVersions() {}

  /** The version with this sequence number; versions differ by their value too. */
  static ShardVersion version(long sequence) {
    ByteBuffer value = ByteBuffer.wrap(("value " + sequence).getBytes(StandardCharsets.UTF_8));
    List<Member> members = List.of(new Member(ADDRESS + "#0", ADDRESS));
    return new ShardVersion(new ProposalNumber(7L, ADDRESS + "#0"), sequence, members, value);
  }
}
