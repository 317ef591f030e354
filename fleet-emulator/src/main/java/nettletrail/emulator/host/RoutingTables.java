package nettletrail.emulator.host;

import java.nio.ByteBuffer;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;
import nettletrail.configuration.RoutingTable;
import nettletrail.control.host.ConfigurationReader;

/**
 * Compiles committed configurations. The core checks documents before it commits them, so one that
 * can't be compiled is a fault that ends the run.
 */
final class RoutingTables {
  private RoutingTables() {}

  /** Compiles a committed document's JSON text. */
  static RoutingTable compile(byte[] document) {
    try {
      return RoutingTable.compile(ConfigurationDocument.parse(document));
    } catch (ConfigurationException invalid) {
      throw new IllegalStateException("an invalid configuration was committed", invalid);
    }
  }

  /** Compiles a document that a door received, as it is stored and sent. */
  static RoutingTable compile(ByteBuffer storedDocument) {
    try {
      return new ConfigurationReader().compile(storedDocument);
    } catch (ConfigurationException unusable) {
      throw new IllegalStateException("an unusable configuration was delivered", unusable);
    }
  }
}
