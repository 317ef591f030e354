package nettletrail.control.shard;

import java.util.HashMap;
import java.util.Map;
import nettletrail.protocol.ConfirmReply;
import nettletrail.protocol.Member;
import nettletrail.protocol.ShardVersion;

/**
 * Evaluates quorum reads of one shard: until which instant is it certain that no version newer than
 * the one that this process knows was committed?
 *
 * <p>A replica that reports an accepted sequence of at most s, in answer to a query sent at t, had
 * not accepted any committed version above s before t. The confirmed instant is the latest one such
 * that queries sent at it or later were answered so by a majority of the known version's group,
 * with the known sequence as s. Every majority of the next version's group shares a member with
 * each majority of this one, so a change of the group is not missed. A newer version that is
 * accepted but not committed delays confirmation until the owner commits it.
 */
final class QuorumReads {

  private final Map<String, Report> latestReports = new HashMap<>();
  private long confirmedAt = ReplicaGroup.NEVER;

  /** A member's latest report. */
  private record Report(long requestedAt, VersionStamp accepted) {}

  /** Takes a member's answer; ignored if a later round's answer has come already. */
  void onReply(ConfirmReply reply) {
    Report before = latestReports.get(reply.getSender());
    if (before != null && before.requestedAt() >= reply.getSentAt()) {
      return;
    }
    VersionStamp accepted =
        new VersionStamp(reply.getAcceptedProposal(), reply.getAcceptedSequence());
    latestReports.put(reply.getSender(), new Report(reply.getSentAt(), accepted));
  }

  /** Recomputes the confirmed instant for the newest committed version, which may be null. */
  void update(ShardVersion committed) {
    if (committed == null) {
      return;
    }
    ReplicaGroup group = new ReplicaGroup(committed.getMembers());
    long sequence = committed.getSequence();
    long instant = group.majorityInstant(member -> instantOf(member, sequence));
    confirmedAt = Math.max(confirmedAt, instant);
  }

  private long instantOf(Member member, long sequence) {
    Report report = latestReports.get(member.getId());
    boolean nothingNewer = report != null && report.accepted().sequence() <= sequence;
    return nothingNewer ? report.requestedAt() : ReplicaGroup.NEVER;
  }

  /** True if a majority reported exactly this version as accepted: then it is committed. */
  boolean provesCommitted(ShardVersion version) {
    VersionStamp stamp = VersionStamp.of(version);
    ReplicaGroup group = new ReplicaGroup(version.getMembers());
    long reports = 0;
    for (Member member : group.members()) {
      Report report = latestReports.get(member.getId());
      if (report != null && report.accepted().equals(stamp)) {
        reports++;
      }
    }
    return reports >= group.majority();
  }

  /** Drops the reports of processes that are no members, so that memory stays bounded. */
  void retain(ReplicaGroup group) {
    latestReports.keySet().removeIf(id -> !group.contains(id));
  }

  /** The latest confirmed instant on the own steady clock, or {@link ReplicaGroup#NEVER}. */
  long confirmedAt() {
    return confirmedAt;
  }
}
