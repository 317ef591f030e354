package nettletrail.store;

import java.util.List;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/**
 * What a look at a core's disk found.
 *
 * @param identity the replica's identity; empty if there is none that can be read
 * @param shards one entry for each shard that has a folder
 * @param findings everything that is not as the store leaves it
 */
public record DiskReport(String identity, List<Shard> shards, List<Finding> findings) {

  /** Copies the lists. */
  public DiskReport {
    shards = List.copyOf(shards);
    findings = List.copyOf(findings);
  }

  /**
   * One shard.
   *
   * @param shard its number
   * @param promised the highest ballot that was promised, or null
   * @param newest the newest version that is whole, or null
   * @param completeVersions how many versions are whole
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
   * One finding.
   *
   * @param file relative to the data directory
   * @param what what is wrong, and what a start would do
   */
  public record Finding(Severity severity, String file, String what) {}

  /** Whether a start would keep the identity and all promises. */
  public boolean isHealthy() {
    return findings.stream().noneMatch(finding -> finding.severity() == Severity.FAULT);
  }
}
