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
 * A replica that runs an election: a pre-vote, which changes nothing at the voters, then phase 1 of
 * Paxos under the same proposal number.
 *
 * <p>The election is won with promises of a majority of the group that the newest version among the
 * replies names. A reply may name a newer version with a new group, whose members then have to be
 * asked too.
 */
final class CandidateState implements ReplicaState {

  /** The phase in progress. */
  enum Phase {
    /** Asks voters whether they would promise, without any effect (Ongaro, 9.6). */
    PRE_VOTE,
    /** Asks voters for promises (Paxos, phase 1). */
    PREPARE
  }

  private final int shard;
  private final ProposalNumber proposal;
  private final Set<String> grants = new HashSet<>();
  private final Set<String> rejections = new HashSet<>();
  private final Set<String> requested = new HashSet<>();
  private Phase phase;
  private long deadline;
  private ShardVersion newestVersion;
  private ProposalNumber highestSeen;

  /**
   * Starts an election.
   *
   * @param accepted the newest version that the candidate itself has accepted
   * @param deadline when the first phase times out
   */
  CandidateState(
      int shard, Phase phase, ProposalNumber proposal, ShardVersion accepted, long deadline) {
    this.shard = shard;
    this.phase = phase;
    this.proposal = proposal;
    this.newestVersion = accepted;
    this.highestSeen = proposal;
    this.deadline = deadline;
  }

  @Override
  public String role() {
    return "candidate";
  }

  Phase phase() {
    return phase;
  }

  ProposalNumber proposal() {
    return proposal;
  }

  /** True if the phase in progress has timed out. */
  boolean isExpired(long now) {
    return now >= deadline;
  }

  /** The highest proposal number that any reply named. */
  ProposalNumber highestSeen() {
    return highestSeen;
  }

  /** The newest accepted version among the replies and the candidate's own. */
  ShardVersion newestVersion() {
    return newestVersion;
  }

  /** The group whose majority decides the election. */
  ReplicaGroup group() {
    return new ReplicaGroup(newestVersion.getMembers());
  }

  /** Sends the request of the phase in progress to each member that has not got it yet. */
  void sendRequests(ActionQueue actionQueue) {
    for (Member member : addUnrequestedMembers()) {
      actionQueue.send(member.getAddress(), request(member));
    }
  }

  private List<Member> addUnrequestedMembers() {
    List<Member> unrequested = new ArrayList<>();
    for (Member member : newestVersion.getMembers()) {
      if (requested.add(member.getId())) {
        unrequested.add(member);
      }
    }
    return unrequested;
  }

  private SpecificRecord request(Member member) {
    return phase == Phase.PRE_VOTE
        ? new PreVote(shard, member.getId(), proposal)
        : new Prepare(shard, member.getId(), proposal);
  }

  /** Counts a reply if it belongs to the pre-vote in progress. */
  void onPreVoteReply(PreVoteReply reply) {
    highestSeen = ProposalNumbers.max(highestSeen, reply.getPromised());
    if (phase == Phase.PRE_VOTE && reply.getProposal().equals(proposal)) {
      countVote(reply.getSender(), reply.getGranted());
    }
  }

  /** Counts a reply if it belongs to the prepare phase in progress. */
  void onPrepareReply(PrepareReply reply) {
    highestSeen = ProposalNumbers.max(highestSeen, reply.getPromised());
    if (phase != Phase.PREPARE || !reply.getProposal().equals(proposal)) {
      return;
    }
    countVote(reply.getSender(), reply.getGranted());
    if (reply.getGranted() && VersionStamp.compare(reply.getAccepted(), newestVersion) > 0) {
      newestVersion = reply.getAccepted();
    }
  }

  private void countVote(String sender, boolean granted) {
    (granted ? grants : rejections).add(sender);
  }

  /** True if a majority has granted the phase in progress. */
  boolean hasMajority() {
    return group().hasMajority(grants);
  }

  /** True if the members that have not rejected the request are no majority any more. */
  boolean isLost() {
    Set<String> remaining = new HashSet<>();
    newestVersion.getMembers().forEach(member -> remaining.add(member.getId()));
    remaining.removeAll(rejections);
    return !group().hasMajority(remaining);
  }

  /** Goes from pre-vote to prepare, which has its own deadline. */
  void startPrepare(long deadline) {
    this.deadline = deadline;
    phase = Phase.PREPARE;
    grants.clear();
    rejections.clear();
    requested.clear();
  }
}
