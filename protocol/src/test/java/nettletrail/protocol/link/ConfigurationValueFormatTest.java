package nettletrail.protocol.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import nettletrail.protocol.ConfigurationChange;
import nettletrail.protocol.ConfigurationValue;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;
import org.junit.jupiter.api.Test;

/** The bytes of the configuration shard's value, which is stored on disk and is no message. */
class ConfigurationValueFormatTest {
  private static final String COMMITTED = "8ea8d6b907067800ff040a062100ff8ea8d6b907064200ff00";

  private static ConfigurationValue example() {
    return ConfigurationValue.newBuilder()
        .setEdition(1_000_000_007L)
        .setDocument(ExampleParts.bytes(0x78))
        .setChanges(List.of(change(5L, 0x21), change(1_000_000_007L, 0x42)))
        .build();
  }

  private static ConfigurationChange change(long edition, int digest) {
    return ConfigurationChange.newBuilder()
        .setEdition(edition)
        .setDigest(ExampleParts.bytes(digest))
        .build();
  }

  @Test
  void valueIsWrittenInTheCommittedBytes() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(bytes, null);
    new SpecificDatumWriter<>(ConfigurationValue.class).write(example(), encoder);
    encoder.flush();
    assertEquals(COMMITTED, HexFormat.of().formatHex(bytes.toByteArray()));
  }

  @Test
  void committedBytesAreReadAsTheValue() throws IOException {
    byte[] bytes = HexFormat.of().parseHex(COMMITTED);
    ConfigurationValue read =
        new SpecificDatumReader<>(ConfigurationValue.class)
            .read(null, DecoderFactory.get().binaryDecoder(bytes, null));
    assertEquals(example(), read);
  }
}
