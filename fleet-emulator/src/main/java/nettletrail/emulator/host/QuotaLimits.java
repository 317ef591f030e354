package nettletrail.emulator.host;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import nettletrail.configuration.CompressedDocument;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;
import nettletrail.configuration.RoutingTable;
import nettletrail.configuration.Tenant;
import nettletrail.control.grant.QuotaLimit;

/** Reads committed documents for the deciders that need tables or limits. */
final class QuotaLimits {
  private QuotaLimits() {}

  /** Compiles a document that was checked before it was committed. */
  static RoutingTable table(byte[] document) {
    try {
      return RoutingTable.compile(ConfigurationDocument.parse(document));
    } catch (ConfigurationException invalid) {
      throw new IllegalStateException("an invalid configuration was committed", invalid);
    }
  }

  /** As {@link #table(byte[])}, of a document as it is stored and sent. */
  static RoutingTable table(ByteBuffer storedDocument) {
    try {
      return table(CompressedDocument.decompress(storedDocument));
    } catch (ConfigurationException damaged) {
      throw new IllegalStateException("a damaged configuration was delivered", damaged);
    }
  }

  /** Every tenant's limit. */
  static Map<String, QuotaLimit> of(RoutingTable table) {
    Map<String, QuotaLimit> limits = new HashMap<>();
    for (Tenant tenant : table.tenants()) {
      limits.put(tenant.name(), new QuotaLimit(tenant.ratePerSecond(), tenant.burst()));
    }
    return limits;
  }
}
