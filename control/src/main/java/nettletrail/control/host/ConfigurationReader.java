package nettletrail.control.host;

import java.nio.ByteBuffer;
import nettletrail.configuration.CompressedDocument;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;
import nettletrail.configuration.RoutingTable;

/**
 * Reads successive configurations. Each is parsed with the last usable one at hand, since most
 * items of two successive documents are equal and need not be parsed again. One thread.
 */
public final class ConfigurationReader {
  private ConfigurationDocument newest;

  /**
   * Parses a document.
   *
   * @param json the JSON text; not to be changed afterwards
   * @throws ConfigurationException if the document is malformed; the next one is then parsed with
   *     the one before it at hand
   */
  public ConfigurationDocument parse(byte[] json) throws ConfigurationException {
    newest = ConfigurationDocument.parse(json, newest);
    return newest;
  }

  /**
   * Decompresses, parses and compiles a document.
   *
   * @param storedDocument the document as it is stored and sent to doors; only read
   * @throws ConfigurationException if it is damaged, malformed or can't be compiled; the next one
   *     is then parsed with the one before it at hand
   */
  public RoutingTable compile(ByteBuffer storedDocument) throws ConfigurationException {
    byte[] json = CompressedDocument.decompress(storedDocument);
    ConfigurationDocument document = ConfigurationDocument.parse(json, newest);
    RoutingTable table = RoutingTable.compile(document);
    newest = document;
    return table;
  }
}
