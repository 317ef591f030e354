package nettletrail.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import nettletrail.control.registry.BackendOrdering;
import nettletrail.control.registry.CorePeers;
import nettletrail.control.registry.DoorSessions;
import nettletrail.control.registry.DurableWithdrawals;
import nettletrail.control.registry.Feed;
import nettletrail.control.registry.PendingCalls;
import nettletrail.control.registry.PendingReplies;
import nettletrail.control.registry.RegistryAction;
import nettletrail.protocol.Backend;
import nettletrail.protocol.Member;
import nettletrail.protocol.RegistryDigest;
import nettletrail.protocol.RegistryUpdate;
import nettletrail.protocol.RegistryUpdateReply;

/**
 * Replicates changes of backends to the other core processes and the doors, and answers the calls
 * that wait for that. Not thread-safe; instants are steady nanoseconds.
 *
 * <p>The call of a draining or deregistering backend is acknowledged once its report is durable on
 * the disks of a majority of the core, and the doors know it: another core process has the report
 * and it was sent to all connected doors, or all live doors acknowledged it, or there is neither
 * another core process nor a live door. So no loss of processes, nor of as many disks as the core
 * tolerates, undoes what was acknowledged. An update of another core process is acknowledged once
 * the withdrawals in it are durable here. A process that just started knows which doors are live
 * only when the leases of its former incarnation have expired.
 */
final class ReplicationManager {
  /** Links come up within this time after a start, and are back after a short fault. */
  private static final long ISOLATED_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** What is part of no version of the withdrawals is always durable. */
  private static final long NO_VERSION = 0;

  private final String self;
  private final ShardOwnership ownership;
  private final Feed feed;
  private final DoorSessions doors;
  private final CorePeers peers;
  private final DurableWithdrawals withdrawals;
  private final PendingReplies pendingReplies;
  private final PendingCalls pendingCalls = new PendingCalls();
  private Set<String> members = Set.of();
  private long lastContactAt;

  ReplicationManager(
      CoreRegistrySettings settings,
      ShardOwnership ownership,
      Feed feed,
      DoorSessions doors,
      DurableWithdrawals withdrawals,
      long now) {
    this.self = settings.address();
    this.lastContactAt = now;
    this.ownership = ownership;
    this.feed = feed;
    this.doors = doors;
    this.withdrawals = withdrawals;
    this.peers = new CorePeers(self, settings.feed());
    this.pendingReplies = new PendingReplies(self);
  }

  /** Sends a changed record to the other core processes and to the doors. */
  void publish(Backend backend) {
    updateMembers();
    peers.replicate(backend);
    follow(backend);
  }

  /** Sends the doors a changed record that another core process replicates. */
  void follow(Backend backend) {
    if (BackendOrdering.isWithdrawn(backend)) {
      withdrawals.changed();
    }
    feed.append(backend);
  }

  /**
   * Answers a call once its report may be acknowledged, or at its deadline. A repeated call waits
   * on its own; its report is replicated again, so that there is an acknowledgement to wait for.
   * Doors have to read the feed only up to the newest withdrawal: entries after it may still wait
   * to be sent in a batch.
   */
  void acknowledgeWhenReplicated(long call, Backend backend, long now) {
    updateMembers();
    peers.replicate(backend);
    pendingCalls.add(call, backend, feed.lastWithdrawalOffset(), withdrawals.version(), now);
  }

  /** A peer acknowledged an update. */
  void acknowledged(String address, RegistryUpdateReply reply) {
    peers
        .acknowledged(address, reply)
        .forEach(backend -> pendingCalls.replicated(address, backend));
  }

  /** Acknowledges an update of a peer, at once or when the withdrawals in it are durable. */
  void acknowledgeWhenDurable(String peer, RegistryUpdate update) {
    boolean withdraws = update.getBackends().stream().anyMatch(BackendOrdering::isWithdrawn);
    pendingReplies.add(peer, update.getUpdate(), withdraws ? withdrawals.version() : NO_VERSION);
  }

  /** A write of withdrawals to this process's disk has ended. */
  void withdrawalsStored(long version, boolean durable, long now) {
    withdrawals.stored(version, durable, now);
  }

  /** A link to a peer is up; {@code contents} are all records that it has to know. */
  void peerUp(String address, List<Backend> contents, long now) {
    peers.linkUp(address, contents, now);
  }

  /** The link to a peer is down. */
  void peerDown(String address) {
    pendingReplies.linkDown(address);
    peers.linkDown(address);
  }

  /** Takes over the current members of the core. */
  void updateMembers() {
    Set<String> addresses = new HashSet<>();
    for (Member member : ownership.members()) {
      addresses.add(member.getAddress());
    }
    members = addresses;
    peers.updateMembers(addresses);
  }

  /** Sends a digest to each connected peer. */
  List<RegistryAction> broadcast(RegistryDigest digest) {
    return peers.broadcast(digest);
  }

  /**
   * All messages, answers and writes that are due; the cost grows with the number of doors and
   * peers. A write comes last, since its outcome may come before the next action.
   */
  List<RegistryAction> sendDue(long now) {
    List<RegistryAction> actions = new ArrayList<>(peers.updatesDue(now));
    actions.addAll(pendingReplies.due(withdrawals::isDurable));
    actions.addAll(doors.push(now));
    actions.addAll(answerDue(now));
    withdrawals.writeDue(now).ifPresent(actions::add);
    return actions;
  }

  /** The answers to calls that may be acknowledged or have reached their deadline. */
  List<RegistryAction> answerDue(long now) {
    return pendingCalls.answerDue(this::mayAcknowledge, now);
  }

  private boolean mayAcknowledge(PendingCalls.Call call, long now) {
    return isDurableOnMajority(call) && isKnownToDoors(call, now);
  }

  /** Of the members' disks, this process's own included. */
  private boolean isDurableOnMajority(PendingCalls.Call call) {
    boolean durableHere = members.contains(self) && withdrawals.isDurable(call.withdrawalVersion());
    long elsewhere = call.replicas().stream().filter(members::contains).count();
    return 2 * (elsewhere + (durableHere ? 1 : 0)) > members.size();
  }

  private boolean isKnownToDoors(PendingCalls.Call call, long now) {
    return !call.replicas().isEmpty() && doors.isSentToAllConnected(call.feedOffset())
        || doors.isAcknowledgedByAllLive(call.feedOffset(), now)
        || isOnlyCore() && doors.isNoneLive(now);
  }

  /** Notes whether any other process is linked; to be called about every 50 ms. */
  void trackContact(long now) {
    if (peers.isAnyConnected() || doors.isAnyConnected() || isOnlyCore()) {
      lastContactAt = now;
    }
  }

  /**
   * Whether reports would reach nobody from here: neither another core process nor a door has been
   * linked for a while, though there are other core processes.
   */
  boolean isIsolated(long now) {
    return now - lastContactAt > ISOLATED_AFTER_NANOS;
  }

  /** Whether this is the only core process; false while the membership isn't known. */
  private boolean isOnlyCore() {
    return peers.isEmpty() && !ownership.members().isEmpty();
  }
}
