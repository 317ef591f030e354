package nettletrail.control.shard;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import nettletrail.protocol.ConfirmReply;
import nettletrail.protocol.Member;

/**
 * The addresses of other core processes: the seeds, the members that confirmation replies report,
 * and the groups of this process' own replicas.
 */
final class PeerDirectory {

  private final List<String> seeds;
  private List<Member> reportedMembers = List.of();
  private long reportedSequence = -1;
  private String reportedOwner = "";
  private long reportedOwnerAt;

  PeerDirectory(List<String> seeds) {
    this.seeds = List.copyOf(seeds);
  }

  /** Takes the members and the owner that another process reports. */
  void onConfirmReply(ConfirmReply reply, long now) {
    if (reply.getAcceptedSequence() >= reportedSequence && !reply.getMembers().isEmpty()) {
      reportedSequence = reply.getAcceptedSequence();
      reportedMembers = List.copyOf(reply.getMembers());
    }
    if (!reply.getOwnerAddress().isEmpty()) {
      reportedOwner = reply.getOwnerAddress();
      reportedOwnerAt = now;
    }
  }

  /**
   * The address of the configuration shard's owner, if another process reported one at most maxAge
   * nanoseconds ago, else empty.
   */
  String reportedOwner(long now, long maxAge) {
    boolean recent = now - reportedOwnerAt <= maxAge;
    return recent ? reportedOwner : "";
  }

  /** The accepted sequence that came with {@link #reportedGroup}, or -1. */
  long reportedSequence() {
    return reportedSequence;
  }

  /** The newest group of the configuration shard that another process reported. */
  ReplicaGroup reportedGroup() {
    return new ReplicaGroup(reportedMembers);
  }

  /** All known addresses, the seeds first. */
  Set<String> addresses(List<ShardReplica> replicas) {
    Set<String> addresses = new LinkedHashSet<>(seeds);
    addAll(addresses, reportedMembers);
    for (ShardReplica replica : replicas) {
      addAll(addresses, replica.group().members());
    }
    return addresses;
  }

  private static void addAll(Set<String> addresses, List<Member> members) {
    for (Member member : members) {
      addresses.add(member.getAddress());
    }
  }
}
