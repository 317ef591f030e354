package nettletrail.control.shard;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import nettletrail.configuration.CompressedDocument;
import nettletrail.configuration.ConfigurationException;
import nettletrail.protocol.ConfigurationChange;
import nettletrail.protocol.ConfigurationValue;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;

/**
 * A value of the configuration shard: the active document and the changes that led to it. Immutable
 * to its callers; the document is decompressed on first use. For one thread.
 */
final class ConfigurationState {

  static final ConfigurationState EMPTY =
      new ConfigurationState(
          new ConfigurationValue(0L, ByteBuffer.allocate(0), List.of()), new byte[0]);

  private final ConfigurationValue value;
  private final AppliedChanges appliedChanges;
  private byte[] text;

  private ConfigurationState(ConfigurationValue value, byte[] text) {
    this.value = value;
    this.appliedChanges = new AppliedChanges(value.getChanges());
    this.text = text;
  }

  /** Decodes the value of a version; an empty one is {@link #EMPTY}. */
  static ConfigurationState decode(ByteBuffer encoded) {
    if (!encoded.hasRemaining()) {
      return EMPTY;
    }
    byte[] bytes = new byte[encoded.remaining()];
    encoded.duplicate().get(bytes);
    try {
      return new ConfigurationState(
          new SpecificDatumReader<>(ConfigurationValue.class)
              .read(null, DecoderFactory.get().binaryDecoder(bytes, null)),
          null);
    } catch (IOException malformed) {
      throw new IllegalStateException("configuration shard holds a malformed value", malformed);
    }
  }

  /** The value as it is stored in a version of the shard. */
  byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(bytes, null);
    try {
      new SpecificDatumWriter<>(ConfigurationValue.class).write(value, encoder);
      encoder.flush();
    } catch (IOException impossible) {
      throw new IllegalStateException("writing to memory failed", impossible);
    }
    return bytes.toByteArray();
  }

  /** The document's edition; 0 before the first change. */
  long edition() {
    return value.getEdition();
  }

  /** The document as it is stored and sent, see {@link CompressedDocument}. */
  ByteBuffer storedDocument() {
    return value.getDocument().duplicate();
  }

  /** The document's JSON; empty at edition 0. Not to be changed. */
  byte[] documentBytes() {
    if (text == null) {
      text = decompressedText();
    }
    return text;
  }

  private byte[] decompressedText() {
    try {
      return CompressedDocument.decompress(storedDocument());
    } catch (ConfigurationException damaged) {
      throw new IllegalStateException("configuration shard holds a damaged document", damaged);
    }
  }

  /** The changes that were applied and are remembered. */
  AppliedChanges appliedChanges() {
    return appliedChanges;
  }

  /** The state after the change with that digest, which made the document, is applied. */
  ConfigurationState after(ConfigurationRules.CheckedDocument document, ByteBuffer digest) {
    List<ConfigurationChange> changes = appliedChanges.with(document.edition(), digest).changes();
    ByteBuffer stored = ByteBuffer.wrap(CompressedDocument.compress(document.json()));
    return new ConfigurationState(
        new ConfigurationValue(document.edition(), stored, changes), document.json());
  }
}
