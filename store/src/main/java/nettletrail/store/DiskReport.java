package nettletrail.store;

import java.util.List;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/**
 * The outcome of a {@link DiskCheck}.
 *
 * @param identity the replica's identity; empty if there is none or it is damaged
 * @param shards one entry for each shard that has a folder
 * @param findings every file that the store would not leave like that, in the order of the check
 */
public record DiskReport(String identity, List<Shard> shards, List<Finding> findings) {

  /** Copies the lists. */
  public DiskReport {
    shards = List.copyOf(shards);
    findings = List.copyOf(findings);
  }

  /**
   * The state of one shard.
   *
   * @param shard its number
   * @param promised the highest promised proposal number, or null
   * @param newest the newest version that can be read, or null
   * @param completeVersions how many versions can be read
   */
  public record Shard(
      int shard, ProposalNumber promised, ShardVersion newest, int completeVersions) {}

  /** What a finding means for a start from this disk. */
  public enum Severity {
    /** Harmless: nothing is lost. */
    NOTE,
    /** The process will take a fresh identity and join as another replica. */
    FAULT
  }

  /**
   * One file that is not as expected.
   *
   * @param file relative to the data directory
   * @param what what is wrong, and what a start would do
   */
  public record Finding(Severity severity, String file, String what) {}

  /** Whether a start would keep the identity and with it all votes. */
  public boolean isHealthy() {
    return findings.stream().noneMatch(finding -> finding.severity() == Severity.FAULT);
  }
}
