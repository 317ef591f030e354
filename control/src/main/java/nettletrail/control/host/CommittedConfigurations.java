package nettletrail.control.host;

import java.util.Map;
import java.util.Optional;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.control.shard.CoreAction.CommittedConfiguration;

/** Reads the configurations that the shards of a core process announce as committed. */
@FunctionalInterface
public interface CommittedConfigurations {
  /**
   * Returns the limits of all tenants by name, also of tenants without a limit.
   *
   * @return empty if the document can't be used, which was reported; the configuration before it
   *     then stays in the registry
   */
  Optional<Map<String, QuotaLimit>> limits(CommittedConfiguration committed);
}
