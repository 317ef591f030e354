package nettletrail.control.shard;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.Accept;
import nettletrail.protocol.ConfirmReply;
import nettletrail.protocol.Member;
import nettletrail.protocol.OwnerHeartbeat;
import nettletrail.protocol.PreVote;
import nettletrail.protocol.Prepare;
import org.apache.avro.specific.SpecificRecord;

/**
 * Founds the shards' groups where the first start of the system was cut short, so that fewer than a
 * majority of the founders have what makes them founders on their disks.
 *
 * <p>States: a process is unfounded while it has no version of the configuration shard, or only
 * that of the first start. The seed with the lowest address, and no other, founds the groups of all
 * seeds with their present identities, once all of the following has held for some seconds:
 *
 * <ul>
 *   <li>all seeds answer and are unfounded;
 *   <li>the founders of the first start, as far as some seed has their version, are just the seeds,
 *       and those that have both version and identity are no majority: a majority elects an owner;
 *   <li>nothing was heard, since this process started, of another group or of a door that has a
 *       configuration.
 * </ul>
 *
 * <p>A machine that has lost its disk is answered by seeds that are founded, or isn't answered by
 * all, so it founds nothing. One process founds, so that two groups can't be founded beside each
 * other.
 */
final class BootstrapRecovery {

  /** For how long the conditions must hold: longer than a lease and a restart. */
  private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** After this time without a group operators are told why. */
  private static final long REPORT_AFTER_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final int MIN_SEEDS = 2;

  /** A seed's answer to a query that was sent at that instant. */
  private record Report(Member member, long sentAt, boolean unfounded, List<Member> founders) {
    boolean isCompleteFounder() {
      return founders.contains(member);
    }
  }

  private final List<ShardReplica> replicas;
  private final Member self;
  private final List<String> seeds;
  private final ShardSettings settings;
  private final ActionQueue actionQueue;
  private final Incarnation incarnation;
  private final Map<String, Report> reports = new HashMap<>();
  private boolean otherGroupSeen;
  private boolean reportedToOperators;
  private long unfoundedSince = ReplicaGroup.NEVER;

  BootstrapRecovery(
      List<ShardReplica> replicas,
      CoreStart start,
      ShardSettings settings,
      ActionQueue actionQueue,
      Incarnation incarnation) {
    this.replicas = replicas;
    this.self = start.self();
    this.seeds = start.seedAddresses();
    this.settings = settings;
    this.actionQueue = actionQueue;
    this.incarnation = incarnation;
  }

  /** Another core process sent a message, which may show that a group exists elsewhere. */
  void onMessage(String peerAddress, SpecificRecord message, long now) {
    if (message instanceof ConfirmReply reply) {
      onReply(peerAddress, reply, now);
    }
    boolean ofMember =
        message instanceof PreVote
            || message instanceof Prepare
            || message instanceof Accept
            || message instanceof OwnerHeartbeat;
    otherGroupSeen |= ofMember && !seeds.contains(peerAddress);
  }

  /** A door has a configuration: the system was founded some time. */
  void onConfigurationSeen() {
    otherGroupSeen = true;
  }

  private void onReply(String peerAddress, ConfirmReply reply, long now) {
    if (!incarnation.hasSent(reply.getSentAt(), now) || !seeds.contains(peerAddress)) {
      return;
    }
    boolean used =
        reply.getCommittedSequence() >= 0
            || reply.getAcceptedSequence() > 0
            || ProposalNumbers.isAbove(reply.getAcceptedProposal(), ProposalNumbers.ZERO);
    Member member = new Member(reply.getSender(), peerAddress);
    reports.put(
        peerAddress, new Report(member, reply.getSentAt(), !used, List.copyOf(reply.getMembers())));
  }

  /** Founds the groups when that is due. */
  void tick(long now) {
    if (!isUnfounded()) {
      return;
    }
    reportToOperators(now);
    if (!isAllowedToFound() || !isDue(now)) {
      unfoundedSince = ReplicaGroup.NEVER;
      return;
    }
    if (unfoundedSince == ReplicaGroup.NEVER) {
      unfoundedSince = now;
    }
    if (now - unfoundedSince >= WAIT_NANOS) {
      found(now);
    }
  }

  private boolean isUnfounded() {
    return replicas.stream().allMatch(replica -> Bootstrap.isUnused(replica.accepted()));
  }

  private boolean isAllowedToFound() {
    return !otherGroupSeen
        && seeds.size() >= MIN_SEEDS
        && Collections.min(seeds).equals(self.getAddress());
  }

  private boolean isDue(long now) {
    List<Report> founders = new ArrayList<>();
    for (String seed : seeds) {
      Report report = reports.get(seed);
      if (report == null || !isRecent(report, now) || !report.unfounded()) {
        return false;
      }
      if (!report.founders().isEmpty()) {
        founders.add(report);
      }
    }
    long complete = founders.stream().filter(Report::isCompleteFounder).count();
    return complete <= seeds.size() / 2 && founders.stream().allMatch(this::isOfTheSeeds);
  }

  private boolean isRecent(Report report, long now) {
    return now - report.sentAt() <= settings.joinRequestValidityNanos();
  }

  private boolean isOfTheSeeds(Report report) {
    Set<String> addresses = new HashSet<>();
    report.founders().forEach(member -> addresses.add(member.getAddress()));
    return addresses.equals(new HashSet<>(seeds));
  }

  private void found(long now) {
    List<Member> members = seeds.stream().map(seed -> reports.get(seed).member()).toList();
    for (ShardReplica replica : replicas) {
      replica.bootstrap(Bootstrap.recoveredVersion(members), now);
    }
    actionQueue.add(new CoreAction.GroupsFounded(members));
  }

  // Operators

  private void reportToOperators(long now) {
    if (reportedToOperators || now - incarnation.startedAt() < REPORT_AFTER_NANOS) {
      return;
    }
    reportedToOperators = true;
    List<String> silent = new ArrayList<>(seeds);
    silent.removeIf(seed -> reports.containsKey(seed) && isRecent(reports.get(seed), now));
    actionQueue.add(new CoreAction.GroupMissing(silent, otherGroupSeen));
  }
}
