package nettletrail.control.shard;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettletrail.control.ShardMap;

/** The invariants of a {@link SimulatedCluster}; a violation is an AssertionError. */
final class ClusterInvariants {

  /** A change that an operator got an acknowledgement for. */
  private record Acknowledged(long ifMatch, long edition, String document, long time) {}

  private final SimulatedCluster cluster;
  private final Map<Long, String> documentBySequence = new HashMap<>();
  private final Map<Long, String> documentByEdition = new HashMap<>();
  private final Map<Long, Acknowledged> acknowledgedByIfMatch = new HashMap<>();
  private final List<Acknowledged> acknowledged = new ArrayList<>();
  private final Set<String> rejected = new HashSet<>();

  ClusterInvariants(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  int acknowledgedCount() {
    return acknowledged.size();
  }

  /** Checks leases and quorum reads of all running processes. */
  void check() {
    for (int shard = 0; shard < SimulatedCore.SHARDS; shard++) {
      long owners = 0;
      for (SimulatedCore core : cluster.cores()) {
        owners += core.owns(shard) ? 1 : 0;
      }
      if (owners > 1) {
        throw new AssertionError("shard " + shard + " has " + owners + " owners");
      }
    }
    cluster.runningCores().forEach(this::checkConfirmation);
    checkOwnerKnowsTheNewest();
  }

  /** The owner of the configuration knows every acknowledged change. */
  private void checkOwnerKnowsTheNewest() {
    SimulatedCore owner = cluster.owner(ShardMap.CONFIGURATION_SHARD);
    if (owner == null || acknowledged.isEmpty()) {
      return;
    }
    long known = owner.announced == null ? 0 : owner.announced.edition();
    Acknowledged newest = acknowledged.get(acknowledged.size() - 1);
    if (known < newest.edition()) {
      throw new AssertionError(owner.address + " owns edition " + known + " after " + newest);
    }
  }

  private void checkConfirmation(SimulatedCore core) {
    long confirmedAt = core.shards.confirmedAt();
    if (core.frozen() || confirmedAt == ReplicaGroup.NEVER || acknowledged.isEmpty()) {
      return;
    }
    long trueInstant = core.clock.trueTime(confirmedAt);
    long known = core.announced == null ? 0 : core.announced.edition();
    for (int index = acknowledged.size() - 1; index >= 0; index--) {
      Acknowledged change = acknowledged.get(index);
      boolean before = change.time() < trueInstant - 1000;
      if (before && change.edition() > known) {
        throw new AssertionError(
            core.address
                + " confirmed edition "
                + known
                + " after the acknowledgement of "
                + change);
      }
      if (before) {
        return;
      }
    }
  }

  void onAnnounced(CoreAction.CommittedConfiguration configuration) {
    String document = text(configuration.document());
    requireSame(documentBySequence, configuration.sequence(), document);
    requireSame(documentByEdition, configuration.edition(), document);
    if (rejected.contains(document)) {
      throw new AssertionError("rejected, yet active: " + document);
    }
  }

  private static void requireSame(Map<Long, String> documents, long key, String document) {
    String before = documents.putIfAbsent(key, document);
    if (before != null && !before.equals(document)) {
      throw new AssertionError("two documents under " + key + ": " + before + " / " + document);
    }
  }

  /** An operator got 200 for a PUT. */
  void onAcknowledged(long ifMatch, long edition, String document) {
    if (rejected.contains(document)) {
      throw new AssertionError("rejected before, now applied: " + document);
    }
    Acknowledged change = new Acknowledged(ifMatch, edition, document, cluster.now());
    Acknowledged before = acknowledgedByIfMatch.putIfAbsent(ifMatch, change);
    if (before != null && !before.document().equals(document)) {
      throw new AssertionError("two winners on top of " + ifMatch + ": " + before + ", " + change);
    }
    requireSame(documentByEdition, edition, document);
    if (before == null) {
      acknowledged.add(change);
    }
  }

  /** An operator got a 4xx for a PUT. */
  void onRejected(String document) {
    rejected.add(document);
    boolean applied = acknowledged.stream().anyMatch(change -> change.document().equals(document));
    if (applied || documentByEdition.containsValue(document)) {
      throw new AssertionError("applied, yet rejected: " + document);
    }
  }

  /** The configuration that was read back must hold every acknowledged change. */
  void checkReadBack(long edition, String document) {
    for (Acknowledged change : acknowledged) {
      if (change.edition() > edition) {
        throw new AssertionError("lost: " + change + ", read back " + edition);
      }
      if (change.edition() == edition && !change.document().equals(document)) {
        throw new AssertionError("differs: " + change + ", read back " + document);
      }
    }
  }

  static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
