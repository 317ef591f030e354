package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;
import nettletrail.control.ShardMap;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.StoredConfiguration;
import nettletrail.store.DiskCheck;
import nettletrail.store.DiskReport;
import nettletrail.store.DiskReport.Finding;
import nettletrail.store.DiskReport.Severity;
import nettletrail.store.StorageException;

/** Checks a core's data directory. */
@Command(
    name = "fsck",
    description =
        "Checks a core's data directory as its start would, and the configuration in it. Changes"
            + " nothing. The core should not run meanwhile. Ends with 1 if there are faults.")
public final class DiskCheckCommand implements OperatorCommand {
  @AirlineModule OutputOptions output = new OutputOptions();

  @Arguments(title = "DATA_DIR", description = "The core's data_dir.")
  @Required
  String directory = "";

  @Override
  public ExitCode run(Console console) throws ClientException {
    DiskReport report = check();
    List<Finding> findings = new ArrayList<>(report.findings());
    report.shards().forEach(shard -> checkConfiguration(shard, findings));
    boolean healthy = findings.stream().noneMatch(finding -> finding.severity() == Severity.FAULT);
    if (output.json) {
      console.json(json(report, findings, healthy));
    } else {
      print(report, findings, healthy, console);
    }
    return healthy ? ExitCode.DONE : ExitCode.DIFFERENT;
  }

  private DiskReport check() throws ClientException {
    try {
      Path path = Path.of(directory);
      if (!Files.isDirectory(path)) {
        throw new ClientException(ExitCode.USAGE, ClientStep.READ, directory, "not a directory");
      }
      return DiskCheck.check(path, ShardMap.SHARD_COUNT);
    } catch (StorageException | InvalidPathException failure) {
      throw new ClientException(ExitCode.USAGE, ClientStep.READ, directory, failure.getMessage());
    }
  }

  private static void checkConfiguration(DiskReport.Shard shard, List<Finding> findings) {
    if (shard.shard() != CoreShards.CONFIGURATION_SHARD || shard.newest() == null) {
      return;
    }
    String file = "shard-" + shard.shard();
    try {
      StoredConfiguration stored = StoredConfiguration.of(shard.newest());
      if (stored.edition() > 0) {
        ConfigurationDocument.parse(stored.document()).requireValidAfter(stored.edition() - 1);
      }
    } catch (ConfigurationException | IllegalStateException failure) {
      findings.add(
          new Finding(
              Severity.FAULT, file, "the configuration can't be used: " + failure.getMessage()));
    }
  }

  private static Map<String, Object> json(
      DiskReport report, List<Finding> findings, boolean healthy) {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("healthy", healthy);
    json.put("identity", report.identity());
    json.put("shards", shardRows(report));
    json.put("findings", findings.stream().map(DiskCheckCommand::findingRow).toList());
    return json;
  }

  private static List<Map<String, Object>> shardRows(DiskReport report) {
    List<Map<String, Object>> rows = new ArrayList<>();
    for (DiskReport.Shard shard : report.shards()) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("shard", shard.shard());
      row.put("sequence", shard.newest() == null ? -1 : shard.newest().getSequence());
      row.put("whole_versions", shard.completeVersions());
      row.put("promised_round", shard.promised() == null ? -1 : shard.promised().getTerm());
      row.put("replicas", shard.newest() == null ? 0 : shard.newest().getMembers().size());
      rows.add(row);
    }
    return rows;
  }

  private static Map<String, Object> findingRow(Finding finding) {
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("severity", finding.severity().name().toLowerCase(Locale.ROOT));
    row.put("file", finding.file());
    row.put("what", finding.what());
    return row;
  }

  private void print(DiskReport report, List<Finding> findings, boolean healthy, Console console) {
    console.out().println("identity " + (report.identity().isEmpty() ? "-" : report.identity()));
    TextTable.print(shardRows(report), console.out());
    for (Finding finding : findings) {
      String severity = finding.severity().name().toLowerCase(Locale.ROOT);
      console.out().println(severity + ": " + finding.file() + ": " + finding.what());
    }
    console.out().println(directory + (healthy ? " is healthy" : " has FAULTS"));
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
