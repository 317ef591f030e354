package nettletrail.control.shard;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import nettletrail.protocol.ConfigurationChange;
import nettletrail.protocol.ConfigurationValue;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;

/**
 * A value of the configuration shard: the document in force and the orders that led to it.
 * Immutable.
 */
final class ConfigurationState {

  static final ConfigurationState EMPTY =
      new ConfigurationState(new ConfigurationValue(0L, ByteBuffer.allocate(0), List.of()));

  private final ConfigurationValue value;
  private final OrderHistory history;

  private ConfigurationState(ConfigurationValue value) {
    this.value = value;
    this.history = new OrderHistory(value.getChanges());
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
              .read(null, DecoderFactory.get().binaryDecoder(bytes, null)));
    } catch (IOException malformed) {
      throw new IllegalStateException("configuration shard holds a malformed value", malformed);
    }
  }

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

  long edition() {
    return value.getEdition();
  }

  /** The document's JSON; empty at edition 0. */
  ByteBuffer document() {
    return value.getDocument().duplicate();
  }

  byte[] documentBytes() {
    ByteBuffer document = document();
    byte[] bytes = new byte[document.remaining()];
    document.get(bytes);
    return bytes;
  }

  /** The orders that were taken and are remembered. */
  OrderHistory history() {
    return history;
  }

  /** The state after a document was taken. */
  ConfigurationState after(ConfigurationRules.CheckedDocument document, ByteBuffer digest) {
    List<ConfigurationChange> changes = history.with(document.edition(), digest).orders();
    return new ConfigurationState(
        new ConfigurationValue(document.edition(), ByteBuffer.wrap(document.json()), changes));
  }
}
