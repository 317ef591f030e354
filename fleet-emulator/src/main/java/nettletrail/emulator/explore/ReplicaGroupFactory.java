package nettletrail.emulator.explore;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.control.shard.ProposalNumbers;
import nettletrail.control.shard.ShardSettings;
import nettletrail.protocol.Member;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.NodeIdentity;

/** Creates the replicas that an exploration begins with, and the settings of their deciders. */
final class ReplicaGroupFactory {
  private static final long NEVER_DUE = TimeUnit.DAYS.toNanos(1);

  private ReplicaGroupFactory() {}

  /** The address of a replica, counted from 1. */
  static String address(int number) {
    return "replica-" + number + ":1";
  }

  /** Replicas that are the founding members of an empty shard; none is started. */
  static List<SimulatedReplica> foundingGroup(int size, ShardSettings settings) {
    List<String> addresses = new ArrayList<>();
    for (int number = 1; number <= size; number++) {
      addresses.add(address(number));
    }
    List<Member> members = addresses.stream().map(NodeIdentity::founding).toList();
    ShardVersion initial =
        new ShardVersion(ProposalNumbers.ZERO, 0L, members, ByteBuffer.allocate(0));
    return members.stream()
        .map(member -> new SimulatedReplica(member, addresses, settings, initial))
        .toList();
  }

  /**
   * The default settings without confirmation rounds: they change no decision, and without them
   * there are far fewer states.
   */
  static ShardSettings settings() {
    ShardSettings defaults = ShardSettings.defaults();
    return new ShardSettings(
        defaults.leaseNanos(),
        defaults.leaseMarginNanos(),
        defaults.heartbeatIntervalNanos(),
        defaults.electionStaggerNanos(),
        defaults.electionTimeoutNanos(),
        defaults.initialResendIntervalNanos(),
        NEVER_DUE,
        defaults.joinRequestIntervalNanos(),
        defaults.joinRequestValidityNanos(),
        defaults.replaceAfterNanos(),
        defaults.replaceUnseenAfterNanos(),
        defaults.removeAfterNanos(),
        defaults.removeSurplusAfterNanos(),
        defaults.fullGroupSize(),
        defaults.bootstrapTimeoutNanos(),
        defaults.ownerDiscoveryTimeoutNanos(),
        defaults.requestTimeoutNanos(),
        defaults.requestQueueCapacity());
  }
}
