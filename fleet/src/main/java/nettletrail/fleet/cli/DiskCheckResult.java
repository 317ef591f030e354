package nettletrail.fleet.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import nettletrail.store.DiskReport;
import nettletrail.store.DiskReport.Finding;
import nettletrail.store.DiskReport.Severity;

/**
 * The result of the check of a data directory.
 *
 * @param directory the directory as the operator named it
 * @param report the state of the shards
 * @param findings those of the report and of the configuration's check
 */
record DiskCheckResult(String directory, DiskReport report, List<Finding> findings)
    implements CommandResult {
  /** Stands in the output for a sequence or a term that does not exist. */
  private static final long NONE = -1;

  /** Whether no finding is a fault. */
  boolean isHealthy() {
    return findings.stream().noneMatch(finding -> finding.severity() == Severity.FAULT);
  }

  @Override
  public JsonObject toJson() {
    return new JsonObject()
        .put("healthy", isHealthy())
        .put("identity", report.identity())
        .putObjects("shards", shardRows())
        .putObjects("findings", findings.stream().map(DiskCheckResult::findingJson).toList());
  }

  private List<JsonObject> shardRows() {
    return report.shards().stream().map(DiskCheckResult::shardJson).toList();
  }

  private static JsonObject shardJson(DiskReport.Shard shard) {
    return new JsonObject()
        .put("shard", shard.shard())
        .put("sequence", shard.newest() == null ? NONE : shard.newest().getSequence())
        .put("whole_versions", shard.completeVersions())
        .put("promised_round", shard.promised() == null ? NONE : shard.promised().getTerm())
        .put("replicas", shard.newest() == null ? 0 : shard.newest().getMembers().size());
  }

  private static JsonObject findingJson(Finding finding) {
    return new JsonObject()
        .put("severity", severity(finding))
        .put("file", finding.file())
        .put("what", finding.what());
  }

  private static String severity(Finding finding) {
    return finding.severity().name().toLowerCase(Locale.ROOT);
  }

  @Override
  public void printText(PrintStream out) {
    out.println("identity " + (report.identity().isEmpty() ? "-" : report.identity()));
    TextTable.print(shardRows(), out);
    for (Finding finding : findings) {
      out.println(severity(finding) + ": " + finding.file() + ": " + finding.what());
    }
    out.println(directory + (isHealthy() ? " is healthy" : " has FAULTS"));
  }
}
