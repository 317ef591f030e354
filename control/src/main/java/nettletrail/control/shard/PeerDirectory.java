package nettletrail.control.shard;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import nettletrail.protocol.ConfirmReply;
import nettletrail.protocol.Member;

/**
 * What a core process knows of the others beyond the groups that its own replicas hold: seeds, and
 * what answers to queries tell.
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
   * The owner of the configuration shard as another process named it at most maximumAge ago, else
   * empty.
   */
  String reportedOwner(long now, long maximumAge) {
    boolean fresh = now - reportedOwnerAt <= maximumAge;
    return fresh ? reportedOwner : "";
  }

  /** The accepted sequence that came with {@link #reportedGroup}, or -1. */
  long reportedSequence() {
    return reportedSequence;
  }

  /** The newest group of the configuration shard that another process reported. */
  ReplicaGroup reportedGroup() {
    return new ReplicaGroup(reportedMembers);
  }

  /** Every address that may lead to the owner of a shard. */
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
