package nettletrail.control.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import nettletrail.configuration.CompressedDocument;
import nettletrail.configuration.ConfigurationException;
import nettletrail.control.grant.QuotaLimit;
import org.junit.jupiter.api.Test;

class ConfigurationReaderTest {
  private static final Map<String, QuotaLimit> LIMITS = Map.of("north", new QuotaLimit(100, 50));

  private final ConfigurationReader reader = new ConfigurationReader();

  private static byte[] document(long edition) {
    return """
        {"edition":%d,"routes":[{"name":"chat","station":"a.example","lane_prefix":"/",
         "kind":"serial","timeout_ms":4000,"carrier":"model"}],"carriers":[{"name":"model"}],
         "senders":[{"name":"north","passes":["secret-1"],"rate_per_s":100,"burst":50}]}
        """
        .formatted(edition)
        .getBytes(StandardCharsets.UTF_8);
  }

  private static ByteBuffer stored(byte[] document) {
    return ByteBuffer.wrap(CompressedDocument.compress(document));
  }

  @Test
  void successiveDocumentsHaveTheirLimits() throws Exception {
    assertEquals(LIMITS, QuotaLimits.of(reader.parse(document(1)).tenants()));
    assertEquals(LIMITS, QuotaLimits.of(reader.parse(document(2)).tenants()));
    assertEquals(LIMITS, QuotaLimits.of(reader.compile(stored(document(3))).tenants()));
  }

  @Test
  void unusableDocumentIsReportedAndTheNextOneIsRead() throws Exception {
    reader.compile(stored(document(1)));
    byte[] malformed = "{".getBytes(StandardCharsets.UTF_8);
    assertThrows(ConfigurationException.class, () -> reader.compile(stored(malformed)));
    assertThrows(ConfigurationException.class, () -> reader.parse(malformed));
    assertEquals(LIMITS, QuotaLimits.of(reader.compile(stored(document(2))).tenants()));
  }

  @Test
  void damagedBytesAreReported() {
    ByteBuffer damaged = ByteBuffer.wrap(new byte[] {1, 2, 3});
    assertThrows(ConfigurationException.class, () -> reader.compile(damaged));
  }
}
