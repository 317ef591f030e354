package nettletrail.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import nettletrail.protocol.ConfigurationChange;
import nettletrail.protocol.ConfigurationValue;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The format of configurations on disk, held by a sample directory: one version with the document
 * as plain text, as the first releases stored it, and one with the compressed document. The disk's
 * identity is one that was not made at the system's first start. The sample was composed byte by
 * byte from the description of the format, not by this program.
 */
class ConfigurationOnDiskTest {
  private static final Path SAMPLE = Path.of("src/test/resources/state-format-1-configuration");
  private static final String ADDRESS = "10.1.0.17:7680";
  private static final long RANDOM = 0xabcL;
  private static final String IDENTITY = ADDRESS + "#rabc";
  private static final int SHARDS = 1;

  private static final byte[] PLAIN_DOCUMENT =
      "{\"edition\":7,\"routes\":[],\"carriers\":[]}".getBytes(StandardCharsets.UTF_8);
  private static final byte[] COMPRESSED_DOCUMENT =
      HexFormat.of()
          .parseHex(
              "7801ab564a4dc92cc9cccf53b2b2d0512aca2f2d492d56b28a8ed5514a4e2c2a"
                  + "ca4c2d02f1aa95f212735395ac9412956a75e09c24a5dad85a00b7491501");

  @TempDir private Path folder;

  private static ConfigurationValue plain() {
    return new ConfigurationValue(
        7L, ByteBuffer.wrap(PLAIN_DOCUMENT), List.of(new ConfigurationChange(7L, digest(0x21))));
  }

  private static ConfigurationValue compressed() {
    return new ConfigurationValue(
        8L,
        ByteBuffer.wrap(COMPRESSED_DOCUMENT),
        List.of(
            new ConfigurationChange(7L, digest(0x21)), new ConfigurationChange(8L, digest(0x42))));
  }

  private static ByteBuffer digest(int first) {
    return ByteBuffer.wrap(new byte[] {(byte) first, 0, -1});
  }

  private static ShardVersion version(long sequence, ConfigurationValue value) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(bytes, null);
    new SpecificDatumWriter<>(ConfigurationValue.class).write(value, encoder);
    encoder.flush();
    return new ShardVersion(
        new ProposalNumber(3L, IDENTITY),
        sequence,
        List.of(new Member(IDENTITY, ADDRESS)),
        ByteBuffer.wrap(bytes.toByteArray()));
  }

  private static ConfigurationValue valueOf(ShardVersion version) throws IOException {
    return new SpecificDatumReader<>(ConfigurationValue.class)
        .read(null, DecoderFactory.get().binaryDecoder(version.getValue().array(), null));
  }

  private static void writeSample(Path disk) throws IOException {
    CoreStore store = CoreStore.open(DiskDirectory.open(disk), ADDRESS, false, SHARDS, RANDOM);
    store.storeVersion(0, version(11, plain()));
    store.storeVersion(0, version(12, compressed()));
  }

  @Test
  void sampleOpensWithItsIdentityAndBothConfigurations() throws IOException {
    Path copy = folder.resolve("copy");
    DiskSamples.copy(SAMPLE, copy);
    CoreStore store = CoreStore.open(DiskDirectory.open(copy), ADDRESS, false, SHARDS, 99);
    assertEquals(IDENTITY, store.self().getId());
    List<ShardVersion> versions = store.versions(0);
    assertEquals(List.of(version(11, plain()), version(12, compressed())), versions);
    assertEquals(plain(), valueOf(versions.get(0)));
    assertEquals(compressed(), valueOf(versions.get(1)));
    assertEquals(versions.get(1), store.storedShards().get(0).version());
  }

  @Test
  void sameConfigurationsAreWrittenInTheSameBytes() throws IOException {
    Path disk = folder.resolve("written");
    writeSample(disk);
    assertEquals(DiskSamples.contents(SAMPLE), DiskSamples.contents(disk));
  }
}
