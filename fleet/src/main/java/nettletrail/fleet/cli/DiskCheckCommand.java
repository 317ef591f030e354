package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;
import nettletrail.control.ShardMap;
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
  public ExitCode run(Console console) throws CommandException {
    DiskReport report = check();
    List<Finding> findings = new ArrayList<>(report.findings());
    report.shards().forEach(shard -> checkConfiguration(shard, findings));
    DiskCheckResult result = new DiskCheckResult(directory, report, findings);
    output.write(result, console);
    return result.isHealthy() ? ExitCode.DONE : ExitCode.DIFFERENT;
  }

  private DiskReport check() throws CommandException {
    try {
      Path path = Path.of(directory);
      if (!Files.isDirectory(path)) {
        throw new CommandException(ExitCode.USAGE, CommandStep.READ, directory, "not a directory");
      }
      return DiskCheck.check(path, ShardMap.SHARD_COUNT);
    } catch (StorageException | InvalidPathException failure) {
      throw new CommandException(
          ExitCode.USAGE, CommandStep.READ, directory, failure.getMessage(), failure);
    }
  }

  private static void checkConfiguration(DiskReport.Shard shard, List<Finding> findings) {
    if (shard.shard() != ShardMap.CONFIGURATION_SHARD || shard.newest() == null) {
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

  @Override
  public boolean isJson() {
    return output.json;
  }
}
