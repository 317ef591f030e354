package nettletrail.control.shard;

import java.util.HashMap;
import java.util.Map;
import nettletrail.protocol.ConfirmReply;
import nettletrail.protocol.Member;
import nettletrail.protocol.ShardVersion;

/**
 * Quorum reads of one shard: up to which instant is it certain that no version was committed beyond
 * the one this process knows?
 *
 * <p>A replica that reported an accepted sequence of at most s, when asked at t or later, had not
 * accepted any committed version above s before t. So the majority-th latest instant at which
 * members of the known version's group were asked and reported no more than the known sequence is
 * confirmed. The next version's group shares a member with each majority of this one, so a change
 * of the group does not slip through. A higher version that is accepted but not committed holds
 * this up until the owner settles it.
 */
final class QuorumReads {

  private final Map<String, Report> latestReports = new HashMap<>();
  private long confirmedAt = ReplicaGroup.NEVER;

  /** What a member said last. */
  private record Report(long requestedAt, VersionStamp accepted) {}

  /** Takes the answer of a member; answers to earlier rounds than one already heard are dropped. */
  void onReply(ConfirmReply reply) {
    Report before = latestReports.get(reply.getSender());
    if (before != null && before.requestedAt() >= reply.getSentAt()) {
      return;
    }
    VersionStamp accepted =
        new VersionStamp(reply.getAcceptedProposal(), reply.getAcceptedSequence());
    latestReports.put(reply.getSender(), new Report(reply.getSentAt(), accepted));
  }

  /** Works out what is confirmed now for the newest committed version. */
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

  /** Keeps the reports of these members only, so that memory stays bounded. */
  void retain(ReplicaGroup group) {
    latestReports.keySet().removeIf(id -> !group.contains(id));
  }

  /** The latest confirmed instant on the own steady clock, or {@link ReplicaGroup#NEVER}. */
  long confirmedAt() {
    return confirmedAt;
  }
}
