package nettletrail.emulator.explore;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import nettletrail.control.shard.ProposalNumbers;
import nettletrail.protocol.Member;
import nettletrail.protocol.ShardVersion;

/**
 * Checks on the content of the disks that a group survives losses: the surviving members of the
 * newest group, committed or not, are a majority of it, and their newest version is not older than
 * the acknowledged one.
 */
final class LossCheck {
  private static final Comparator<ShardVersion> BY_AGE =
      (left, right) -> {
        int byProposal = ProposalNumbers.compare(left.getProposal(), right.getProposal());
        return byProposal != 0 ? byProposal : Long.compare(left.getSequence(), right.getSequence());
      };

  private ShardVersion newestCommitted;
  private long acknowledgedSequence;

  /** Records the newest version that a majority of its group has on disk. */
  void observe(List<SimulatedReplica> replicas) {
    for (SimulatedReplica replica : replicas) {
      ShardVersion version = replica.version();
      boolean newer =
          version != null && (newestCommitted == null || isNewer(version, newestCommitted));
      if (newer && isCommitted(version, replicas)) {
        newestCommitted = version;
      }
    }
  }

  /** A change was acknowledged, which the newest committed version contains. */
  void acknowledged() {
    acknowledgedSequence = newestCommitted.getSequence();
  }

  private static boolean isCommitted(ShardVersion version, List<SimulatedReplica> replicas) {
    Set<String> ids =
        replicas.stream()
            .filter(replica -> replica.version() != null)
            .filter(replica -> BY_AGE.compare(replica.version(), version) == 0)
            .map(SimulatedReplica::id)
            .collect(Collectors.toSet());
    return hasMajority(version, ids);
  }

  private static boolean isNewer(ShardVersion left, ShardVersion right) {
    return BY_AGE.compare(left, right) > 0;
  }

  private static boolean hasMajority(ShardVersion version, Set<String> ids) {
    long present = version.getMembers().stream().map(Member::getId).filter(ids::contains).count();
    return present > version.getMembers().size() / 2;
  }

  /** The violation if only these replicas survive; empty if there is none. */
  String violationWithOnly(List<SimulatedReplica> survivors) {
    Set<String> ids = survivors.stream().map(SimulatedReplica::id).collect(Collectors.toSet());
    if (newestCommitted != null && !hasMajority(newestCommitted, ids)) {
      return "no majority of the committed group";
    }
    List<ShardVersion> versions = new ArrayList<>();
    survivors.stream().map(SimulatedReplica::version).filter(v -> v != null).forEach(versions::add);
    ShardVersion newest = versions.stream().max(BY_AGE).orElse(null);
    if (newest == null) {
      return "no version is left";
    }
    if (!hasMajority(newest, ids)) {
      return "no majority of the newest group";
    }
    return newest.getSequence() < acknowledgedSequence ? "an acknowledged version is lost" : "";
  }

  /** What the state consists of, for its fingerprint. */
  List<Object> content() {
    return newestCommitted == null ? List.of() : List.of(newestCommitted, acknowledgedSequence);
  }
}
