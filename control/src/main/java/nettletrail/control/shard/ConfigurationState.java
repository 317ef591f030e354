package nettletrail.control.shard;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import nettletrail.protocol.ConfigurationChange;
import nettletrail.protocol.ConfigurationValue;
import nettletrail.protocol.OrderForward;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;

/**
 * A value of the configuration shard: the document in force and the digests of the last orders that
 * were taken. Immutable.
 */
final class ConfigurationState {

  /** How many orders that were taken are remembered. */
  static final int REMEMBERED_CHANGES = 512;

  static final ConfigurationState EMPTY =
      new ConfigurationState(new ConfigurationValue(0L, ByteBuffer.allocate(0), List.of()));

  private final ConfigurationValue value;

  private ConfigurationState(ConfigurationValue value) {
    this.value = value;
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

  /** The edition that exactly this order made when it was taken, or -1. */
  long editionTakenBy(ByteBuffer digest) {
    for (ConfigurationChange change : value.getChanges()) {
      if (change.getDigest().equals(digest)) {
        return change.getEdition();
      }
    }
    return -1;
  }

  /** The orders that were taken and are remembered, the oldest first. */
  List<ConfigurationChange> changes() {
    return List.copyOf(value.getChanges());
  }

  /** The state after a document was taken. */
  ConfigurationState after(ConfigurationRules.CheckedDocument document, ByteBuffer digest) {
    List<ConfigurationChange> changes = new ArrayList<>(value.getChanges());
    changes.add(new ConfigurationChange(document.edition(), digest));
    while (changes.size() > REMEMBERED_CHANGES) {
      changes.remove(0);
    }
    return new ConfigurationState(
        new ConfigurationValue(document.edition(), ByteBuffer.wrap(document.json()), changes));
  }

  /** Tells orders apart: method, the edition that they build on, and body. */
  static ByteBuffer digest(OrderForward order, long ifMatch) {
    MessageDigest digest;
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
    String head = order.getMethod() + "\n" + ifMatch + "\n";
    digest.update(head.getBytes(StandardCharsets.UTF_8));
    digest.update(order.getBody().duplicate());
    return ByteBuffer.wrap(digest.digest());
  }
}
