package nettletrail.control.shard;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettletrail.protocol.Accept;
import nettletrail.protocol.AcceptReply;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardHeartbeat;
import nettletrail.protocol.ShardHeartbeatReply;
import nettletrail.protocol.ShardVersion;

/**
 * A replica that owns its shard, for as long as it writes under one proposal number (phase 2 of
 * Paxos). It first writes the version that its election found again, then one new version at a
 * time. A version is committed once a majority of the group that it names has it durably.
 *
 * <p>The owner's lease runs from the latest instant at which heartbeats were sent that a majority
 * has granted, for the length of a lease less a margin for clock drift. While a change of the group
 * is in flight, majorities of both groups must have granted.
 */
final class OwnerState implements ReplicaState, MemberContacts {

  /** The committed sequence in heartbeats before anything is committed under the proposal. */
  static final long NO_COMMITTED_SEQUENCE = -1;

  private final int shard;
  private final ProposalNumber proposal;
  private final ShardSettings settings;
  private final ActionQueue actionQueue;
  private final long startedAt;
  private final Map<String, MemberProgress> progressByMember = new HashMap<>();
  private final Set<String> acknowledged = new HashSet<>();
  private ShardVersion committed;
  private ShardVersion inFlight;

  /** Starts to write the version that the election found again, under the new proposal number. */
  OwnerState(
      int shard,
      ProposalNumber proposal,
      ShardVersion found,
      ShardSettings settings,
      ActionQueue actionQueue,
      long now) {
    this.shard = shard;
    this.proposal = proposal;
    this.settings = settings;
    this.actionQueue = actionQueue;
    this.startedAt = now;
    propose(found.getSequence(), found.getValue(), new ReplicaGroup(found.getMembers()), now);
  }

  @Override
  public String role() {
    return "owner";
  }

  @Override
  public ProposalNumber fencingToken() {
    return proposal;
  }

  @Override
  public boolean holdsLease(long now) {
    return committed != null && now < leaseUntil();
  }

  ProposalNumber proposal() {
    return proposal;
  }

  /** The newest version committed under the own proposal number, or null. */
  ShardVersion committed() {
    return committed;
  }

  /** The group of the newest committed version; only if there is one. */
  ReplicaGroup committedGroup() {
    return new ReplicaGroup(committed.getMembers());
  }

  /** True if a version was committed under the own proposal number and no write is in flight. */
  boolean isReadyToWrite() {
    return committed != null && inFlight == null;
  }

  /** The members of the newest group, committed or in flight. */
  List<Member> members() {
    return newestVersion().getMembers();
  }

  private ShardVersion newestVersion() {
    return inFlight != null ? inFlight : committed;
  }

  // Writes

  /** Writes a new version and returns it; only if {@link #isReadyToWrite}. */
  ShardVersion write(ByteBuffer value, ReplicaGroup group, long now) {
    if (!isReadyToWrite()) {
      throw new IllegalStateException("a write is in flight");
    }
    resetProgressOfJoiners(group, now);
    propose(committed.getSequence() + 1, value, group, now);
    return inFlight;
  }

  /**
   * A member that is new to the group has just asked to join, which counts as contact. Progress
   * that an earlier membership of it has left doesn't count.
   */
  private void resetProgressOfJoiners(ReplicaGroup group, long now) {
    ReplicaGroup before = committedGroup();
    for (Member member : group.members()) {
      if (!before.contains(member.getId())) {
        progressByMember.remove(member.getId());
        progress(member.getId()).onContact(now);
      }
    }
  }

  private void propose(long sequence, ByteBuffer value, ReplicaGroup group, long now) {
    inFlight = new ShardVersion(proposal, sequence, group.members(), value);
    acknowledged.clear();
    for (Member member : group.members()) {
      if (!progress(member.getId()).transfer().isInFlight()) {
        sendNewestVersion(member, now);
      }
    }
  }

  private void sendNewestVersion(Member member, long now) {
    ShardVersion version = newestVersion();
    progress(member.getId()).transfer().start(VersionStamp.of(version), now);
    actionQueue.send(member.getAddress(), new Accept(shard, member.getId(), proposal, version));
  }

  /** Takes a member's vote for a version; true if this committed the version in flight. */
  boolean onAcceptReply(AcceptReply reply, long now) {
    MemberProgress progress = progress(reply.getSender());
    progress.onContact(now);
    if (!reply.getAccepted()) {
      return false;
    }
    VersionStamp stored = new VersionStamp(reply.getProposal(), reply.getSequence());
    progress.transfer().onAcknowledged(stored);
    if (isBehind(reply.getSender(), stored) && !progress.transfer().isInFlight()) {
      sendNewestVersion(member(reply.getSender()), now);
    }
    return acknowledge(reply.getSender(), stored);
  }

  /**
   * Takes a member's answer to a heartbeat; true if this committed the version in flight.
   *
   * @param sentAt when this process sent the heartbeat
   */
  boolean onHeartbeatReply(String sender, long sentAt, ShardHeartbeatReply reply, long now) {
    MemberProgress progress = progress(sender);
    progress.onContact(now);
    if (!reply.getGranted()) {
      return false;
    }
    progress.onGrant(sentAt);
    VersionStamp stored =
        new VersionStamp(reply.getAcceptedProposal(), reply.getAcceptedSequence());
    progress.transfer().onAcknowledged(stored);
    if (isBehind(sender, stored) && progress.transfer().isDue(sentAt, now)) {
      sendNewestVersion(member(sender), now);
    }
    return acknowledge(sender, stored);
  }

  /** True for a member of the newest group that has stored less than the newest version. */
  private boolean isBehind(String id, VersionStamp stored) {
    return member(id) != null && stored.compareTo(VersionStamp.of(newestVersion())) < 0;
  }

  private Member member(String id) {
    return new ReplicaGroup(members()).find(id);
  }

  private boolean acknowledge(String sender, VersionStamp stored) {
    if (inFlight == null || !VersionStamp.of(inFlight).equals(stored)) {
      return false;
    }
    acknowledged.add(sender);
    if (!new ReplicaGroup(inFlight.getMembers()).hasMajority(acknowledged)) {
      return false;
    }
    committed = inFlight;
    inFlight = null;
    return true;
  }

  // Lease

  /** The instant until which no other replica can own the shard; NEVER if it holds no lease. */
  long leaseUntil() {
    long requestedAt = majorityGrantRequestedAt(newestVersion());
    if (inFlight != null && committed != null) {
      requestedAt = Math.min(requestedAt, majorityGrantRequestedAt(committed));
    }
    if (requestedAt == ReplicaGroup.NEVER) {
      return ReplicaGroup.NEVER;
    }
    return requestedAt + settings.leaseNanos() - settings.leaseMarginNanos();
  }

  private long majorityGrantRequestedAt(ShardVersion version) {
    return new ReplicaGroup(version.getMembers())
        .majorityInstant(member -> grantRequestedAt(member.getId()));
  }

  /** This shard's part of a heartbeat to one member. */
  ShardHeartbeat heartbeat(Member member) {
    long sequence = committed == null ? NO_COMMITTED_SEQUENCE : committed.getSequence();
    return new ShardHeartbeat(shard, member.getId(), proposal, sequence);
  }

  // Contacts

  /** The former owner was last seen at that instant, before this replica became the owner. */
  void recordFormerOwnerContact(String id, long lastSeenAt) {
    progress(id).onContact(lastSeenAt);
  }

  @Override
  public long lastContactAt(String id) {
    return progress(id).lastContactAt();
  }

  @Override
  public boolean hasContact(String id) {
    return progress(id).hasContact();
  }

  @Override
  public long grantRequestedAt(String id) {
    return progress(id).grantRequestedAt();
  }

  private MemberProgress progress(String id) {
    return progressByMember.computeIfAbsent(id, key -> new MemberProgress(startedAt, settings));
  }
}
