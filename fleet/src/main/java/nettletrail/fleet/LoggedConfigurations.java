package nettletrail.fleet;

import java.util.Map;
import java.util.Optional;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.control.host.CommittedConfigurations;
import nettletrail.control.host.ConfigurationReader;
import nettletrail.control.host.QuotaLimits;
import nettletrail.control.shard.CoreAction.CommittedConfiguration;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads committed configurations, and logs each of them as committed or as unusable, and whether it
 * opens routes that required a key. One thread.
 */
final class LoggedConfigurations implements CommittedConfigurations {
  private static final Logger LOG = LoggerFactory.getLogger(LoggedConfigurations.class);

  private final ConfigurationReader reader = new ConfigurationReader();

  /** Whether the last configuration that was read requires keys. */
  private boolean keysRequired;

  @Override
  public Optional<Map<String, QuotaLimit>> limits(CommittedConfiguration committed) {
    try {
      ConfigurationDocument document = reader.parse(committed.document());
      LOG.info(
          "{} configuration {} is committed",
          LogEvent.CONFIGURATION_COMMITTED,
          committed.edition());
      logOpenedRoutes(document);
      return Optional.of(QuotaLimits.of(document.tenants()));
    } catch (ConfigurationException unusable) {
      LOG.error(
          "{} committed configuration {} can't be used: {}",
          LogEvent.CONFIGURATION_UNUSABLE,
          committed.edition(),
          unusable.getMessage());
      return Optional.empty();
    }
  }

  private void logOpenedRoutes(ConfigurationDocument document) {
    if (keysRequired && !document.keysRequired()) {
      LOG.warn(
          "{} configuration {} has no senders: these routes are open to everyone: {}",
          LogEvent.ROUTES_OPENED,
          document.edition(),
          String.join(", ", document.routesWithoutKey()));
    }
    keysRequired = document.keysRequired();
  }
}
