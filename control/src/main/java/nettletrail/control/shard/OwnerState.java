package nettletrail.control.shard;

import java.nio.ByteBuffer;
import java.util.ArrayList;
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
 * The owner's half of a replica, for as long as it writes under one ballot: first it writes again
 * the version that its election found, then one new version at a time. A version is committed once
 * a majority of the group that it names has it durably.
 *
 * <p>The lease holds until the majority-th latest grant, counted from before it was asked, plus the
 * lease, less the margin. While a change of the group is in flight, both groups must grant.
 */
final class OwnerState implements MemberContacts {

  /** The committed sequence that is told before anything is committed under the ballot. */
  static final long NO_COMMITTED_SEQUENCE = -1;

  /** What the owner knows of one member. */
  private static final class Progress {
    long grantRequestedAt = ReplicaGroup.NEVER;
    long lastContactAt;
    boolean hasContact;
    final VersionTransfer transfer;

    Progress(long lastContactAt, ShardSettings settings) {
      this.lastContactAt = lastContactAt;
      this.transfer = new VersionTransfer(settings);
    }

    void heard(long at) {
      lastContactAt = at;
      hasContact = true;
    }
  }

  private final int shard;
  private final ProposalNumber proposal;
  private final ShardSettings settings;
  private final ActionQueue actionQueue;
  private final long startedAt;
  private final Map<String, Progress> progressOf = new HashMap<>();
  private final Set<String> acknowledged = new HashSet<>();
  private ShardVersion committed;
  private ShardVersion inFlightVersion;

  /** Begins by writing the version found by the election again, under the own ballot. */
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
    propose(found.getSequence(), found, new ReplicaGroup(found.getMembers()), now);
  }

  ProposalNumber proposal() {
    return proposal;
  }

  /** The newest version committed under the own ballot, or null. */
  ShardVersion committed() {
    return committed;
  }

  /** The version in flight, or null. */
  ShardVersion inFlightVersion() {
    return inFlightVersion;
  }

  /** True when something was committed under the own ballot and no write is in flight. */
  boolean settled() {
    return committed != null && inFlightVersion == null;
  }

  /** The newest version, committed or in flight. */
  ShardVersion newest() {
    return inFlightVersion != null ? inFlightVersion : committed;
  }

  /** The members of the newest group. */
  List<Member> members() {
    return newest().getMembers();
  }

  /** Writes a new version; only when {@link #settled}. */
  ShardVersion write(ByteBuffer value, ReplicaGroup group, long now) {
    if (!settled()) {
      throw new IllegalStateException("a write is in flight");
    }
    startTrackingJoiners(group, now);
    ShardVersion changed =
        new ShardVersion(proposal, committed.getSequence(), group.members(), value);
    propose(committed.getSequence() + 1, changed, group, now);
    return inFlightVersion;
  }

  /**
   * A member that is new to the group has just asked to join. Nothing older counts: neither the
   * start of the ownership as the last time that it was heard of, nor what an earlier membership
   * left.
   */
  private void startTrackingJoiners(ReplicaGroup group, long now) {
    ReplicaGroup before = new ReplicaGroup(committed.getMembers());
    for (Member member : group.members()) {
      if (!before.contains(member.getId())) {
        progressOf.remove(member.getId());
        progress(member.getId()).heard(now);
      }
    }
  }

  private void propose(long sequence, ShardVersion from, ReplicaGroup group, long now) {
    inFlightVersion = new ShardVersion(proposal, sequence, group.members(), from.getValue());
    acknowledged.clear();
    for (Member member : group.members()) {
      if (!progress(member.getId()).transfer.isInFlight()) {
        sendVersion(member, now);
      }
    }
  }

  private void sendVersion(Member member, long now) {
    progress(member.getId()).transfer.start(VersionStamp.of(newest()), now);
    actionQueue.send(member.getAddress(), new Accept(shard, member.getId(), proposal, newest()));
  }

  /** Returns true if this committed the version in flight. */
  boolean onAcceptReply(AcceptReply reply, long now) {
    Progress progress = progress(reply.getSender());
    progress.heard(now);
    if (!reply.getAccepted()) {
      return false;
    }
    VersionStamp held = new VersionStamp(reply.getProposal(), reply.getSequence());
    progress.transfer.onAcknowledged(held);
    boolean behind = isBehind(reply.getSender(), held);
    if (behind && !progress.transfer.isInFlight()) {
      sendVersion(member(reply.getSender()), now);
    }
    return acknowledge(reply.getSender(), held);
  }

  /** Returns true if this committed the version in flight. */
  boolean onHeartbeatReply(String sender, long askedAt, ShardHeartbeatReply reply, long now) {
    Progress progress = progress(sender);
    progress.heard(now);
    if (!reply.getGranted()) {
      return false;
    }
    progress.grantRequestedAt = Math.max(progress.grantRequestedAt, askedAt);
    VersionStamp held = new VersionStamp(reply.getAcceptedProposal(), reply.getAcceptedSequence());
    progress.transfer.onAcknowledged(held);
    if (isBehind(sender, held) && progress.transfer.isDue(askedAt, now)) {
      sendVersion(member(sender), now);
    }
    return acknowledge(sender, held);
  }

  /** True for a member of the newest group that holds less than the newest version. */
  private boolean isBehind(String id, VersionStamp held) {
    return member(id) != null && held.compareTo(VersionStamp.of(newest())) < 0;
  }

  private Member member(String id) {
    return new ReplicaGroup(members()).find(id);
  }

  private boolean acknowledge(String sender, VersionStamp held) {
    if (inFlightVersion == null || !VersionStamp.of(inFlightVersion).equals(held)) {
      return false;
    }
    acknowledged.add(sender);
    if (!new ReplicaGroup(inFlightVersion.getMembers()).hasMajority(acknowledged)) {
      return false;
    }
    committed = inFlightVersion;
    inFlightVersion = null;
    return true;
  }

  /**
   * Tells when the former owner was last heard of, which the silence of a member is counted from.
   */
  void recordFormerOwnerContact(String id, long lastContactAt) {
    progress(id).heard(lastContactAt);
  }

  /**
   * The instant up to which no other replica can own the shard; {@link ReplicaGroup#NEVER} if it
   * holds no lease.
   */
  long leaseUntil() {
    long askedAt = leaseRequestedAt(newest());
    if (inFlightVersion != null && committed != null) {
      askedAt = Math.min(askedAt, leaseRequestedAt(committed));
    }
    if (askedAt == ReplicaGroup.NEVER) {
      return ReplicaGroup.NEVER;
    }
    return askedAt + settings.lease() - settings.leaseMargin();
  }

  private long leaseRequestedAt(ShardVersion version) {
    return new ReplicaGroup(version.getMembers())
        .majorityInstant(member -> grantRequestedAt(member.getId()));
  }

  @Override
  public long lastContactAt(String id) {
    return progress(id).lastContactAt;
  }

  @Override
  public boolean hasContact(String id) {
    return progress(id).hasContact;
  }

  @Override
  public long grantRequestedAt(String id) {
    return progress(id).grantRequestedAt;
  }

  /** This shard's part of a heartbeat, for one member. */
  ShardHeartbeat heartbeat(Member member) {
    long sequence = committed == null ? NO_COMMITTED_SEQUENCE : committed.getSequence();
    return new ShardHeartbeat(shard, member.getId(), proposal, sequence);
  }

  /** The members that heartbeats go to. */
  List<Member> heartbeatTargets() {
    return new ArrayList<>(members());
  }

  private Progress progress(String id) {
    Progress progress = progressOf.get(id);
    if (progress == null) {
      progress = new Progress(startedAt, settings);
      progressOf.put(id, progress);
    }
    return progress;
  }
}
