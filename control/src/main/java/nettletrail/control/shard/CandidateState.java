package nettletrail.control.shard;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettletrail.protocol.Member;
import nettletrail.protocol.PreVote;
import nettletrail.protocol.PreVoteReply;
import nettletrail.protocol.Prepare;
import nettletrail.protocol.PrepareReply;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import org.apache.avro.specific.SpecificRecord;

/**
 * One candidacy for one shard: a PreVote round, which changes nothing, then a Prepare round. It is
 * won with promises of a majority of the group that the newest version among the answers names.
 */
final class CandidateState {

  /** Which round is under way. */
  enum Phase {
    PRE_VOTE,
    PREPARE
  }

  private final ProposalNumber proposal;
  private long deadline;
  private final Set<String> grants = new HashSet<>();
  private final Set<String> refusals = new HashSet<>();
  private final Set<String> asked = new HashSet<>();
  private Phase phase;
  private ShardVersion newest;
  private ProposalNumber highestSeen;

  /** Starts from the newest version that the candidate itself accepted. */
  CandidateState(Phase phase, ProposalNumber proposal, ShardVersion ownAccepted, long deadline) {
    this.phase = phase;
    this.proposal = proposal;
    this.newest = ownAccepted;
    this.highestSeen = proposal;
    this.deadline = deadline;
  }

  Phase phase() {
    return phase;
  }

  ProposalNumber proposal() {
    return proposal;
  }

  long deadline() {
    return deadline;
  }

  /** The highest ballot that any answer named. */
  ProposalNumber highestSeen() {
    return highestSeen;
  }

  /** The newest accepted version among the answers and the candidate's own. */
  ShardVersion newest() {
    return newest;
  }

  ReplicaGroup group() {
    return new ReplicaGroup(newest.getMembers());
  }

  /** The members that were not asked in this phase; they count as asked from now on. */
  List<Member> takeUnasked() {
    List<Member> unasked = new ArrayList<>();
    for (Member member : newest.getMembers()) {
      if (asked.add(member.getId())) {
        unasked.add(member);
      }
    }
    return unasked;
  }

  /** What a member is asked in this phase. */
  SpecificRecord request(int shard, Member member) {
    return phase == Phase.PRE_VOTE
        ? new PreVote(shard, member.getId(), proposal)
        : new Prepare(shard, member.getId(), proposal);
  }

  void onPreVoteReply(PreVoteReply reply) {
    highestSeen = ProposalNumbers.max(highestSeen, reply.getPromised());
    if (phase == Phase.PRE_VOTE && reply.getProposal().equals(proposal)) {
      (reply.getGranted() ? grants : refusals).add(reply.getSender());
    }
  }

  void onPrepareReply(PrepareReply reply) {
    highestSeen = ProposalNumbers.max(highestSeen, reply.getPromised());
    if (phase != Phase.PREPARE || !reply.getProposal().equals(proposal)) {
      return;
    }
    (reply.getGranted() ? grants : refusals).add(reply.getSender());
    if (reply.getGranted() && VersionStamp.compare(reply.getAccepted(), newest) > 0) {
      newest = reply.getAccepted();
    }
  }

  /** True when a majority granted the phase under way. */
  boolean hasMajority() {
    return group().hasMajority(grants);
  }

  /** True when those that did not refuse are no majority any more. */
  boolean isLost() {
    Set<String> open = new HashSet<>();
    newest.getMembers().forEach(member -> open.add(member.getId()));
    open.removeAll(refusals);
    return !group().hasMajority(open);
  }

  /** Goes from PreVote to Prepare, which has a deadline of its own. */
  void startPrepare(long deadline) {
    this.deadline = deadline;
    phase = Phase.PREPARE;
    grants.clear();
    refusals.clear();
    asked.clear();
  }
}
