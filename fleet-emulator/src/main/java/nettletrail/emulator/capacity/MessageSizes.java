package nettletrail.emulator.capacity;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import nettletrail.protocol.Envelope;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumWriter;
import org.apache.avro.specific.SpecificRecord;

/**
 * Bytes of each message as it is framed: a fixed part, and a part for each element that it lists.
 */
public final class MessageSizes {
  private static final long EDITION = 1_000;

  /** Length before each frame. */
  public static final int FRAME_HEADER_BYTES = 4;

  private static final int FEW = 10;
  private static final int MANY = 110;

  private MessageSizes() {}

  /**
   * One kind of message.
   *
   * @param fixedBytes without elements, the frame's header included
   * @param bytesPerElement of what it lists; 0 where it lists nothing
   * @param element what it lists; empty for nothing
   */
  public record Size(String message, double fixedBytes, double bytesPerElement, String element) {
    /** Bytes with this many elements. */
    public double with(double elements) {
      return fixedBytes + bytesPerElement * elements;
    }
  }

  /** All kinds that travel in steady service, in the order of the schema. */
  public static List<Size> measure() {
    List<Size> sizes = new ArrayList<>();
    sizes.add(linear("Accept", "byte of the value", SampleMessages::accept));
    sizes.add(fixed("AcceptReply", SampleMessages.acceptReply()));
    sizes.add(linear("OwnerHeartbeat", "shard", SampleMessages::ownerHeartbeat));
    sizes.add(linear("OwnerHeartbeatReply", "shard", SampleMessages::ownerHeartbeatReply));
    sizes.add(fixed("ConfirmQuery", SampleMessages.confirmQuery()));
    sizes.add(fixed("ConfirmReply", SampleMessages.confirmReply()));
    sizes.add(linear("RegistryUpdate", "backend", SampleMessages::registryUpdate));
    sizes.add(fixed("RegistryUpdateReply", SampleMessages.registryUpdateReply()));
    sizes.add(linear("RegistryDigest", "backend", SampleMessages::registryDigest));
    sizes.add(fixed("DoorHeartbeat", SampleMessages.doorHeartbeat(MANY)));
    sizes.add(fixed("DoorHeartbeatReply", SampleMessages.doorHeartbeatReply(MANY)));
    sizes.add(
        fixed(
            "DoorHeartbeatReply with a directory",
            SampleMessages.doorHeartbeatReplyWithDirectory(MANY)));
    sizes.add(
        linear(
            "ConfigurationChunk",
            "tenant",
            tenants ->
                SampleMessages.configurationChunk(SampleDocument.complete(EDITION, tenants))));
    sizes.add(linear("FeedSnapshot", "backend", SampleMessages::feedSnapshot));
    sizes.add(linear("FeedEvents", "backend", SampleMessages::feedEvents));
    sizes.add(fixed("FeedAck", SampleMessages.feedAck(MANY)));
    sizes.add(
        linear("GrantRequest", "tenant", tenants -> SampleMessages.grantRequest(MANY, tenants)));
    sizes.add(linear("GrantReply", "tenant", SampleMessages::grantReply));
    return sizes;
  }

  /** Bytes of a message in its frame. */
  static int framedBytes(SpecificRecord message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(bytes, null);
    try {
      new SpecificDatumWriter<>(Envelope.class).write(new Envelope(message), encoder);
      encoder.flush();
    } catch (IOException e) {
      throw new UncheckedIOException("encoding " + message.getClass().getSimpleName(), e);
    }
    return FRAME_HEADER_BYTES + bytes.size();
  }

  private static Size fixed(String name, SpecificRecord message) {
    return new Size(name, framedBytes(message), 0, "");
  }

  private static Size linear(String name, String element, IntFunction<SpecificRecord> message) {
    double few = framedBytes(message.apply(FEW));
    double many = framedBytes(message.apply(MANY));
    double slope = (many - few) / (MANY - FEW);
    return new Size(name, few - slope * FEW, slope, element);
  }

  /** Prints the table. */
  public static void main(String[] arguments) {
    for (Size size : measure()) {
      System.out.printf(
          "| `%s` | %.0f | %.1f | %s |%n",
          size.message(), size.fixedBytes(), size.bytesPerElement(), size.element());
    }
  }
}
