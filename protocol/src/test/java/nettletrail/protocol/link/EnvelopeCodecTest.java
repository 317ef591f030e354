package nettletrail.protocol.link;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import nettletrail.protocol.Accept;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.Envelope;
import nettletrail.protocol.FeedAck;
import nettletrail.protocol.Member;
import nettletrail.protocol.Ping;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.RegistryDigest;
import nettletrail.protocol.ShardVersion;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificRecord;
import org.apache.avro.util.RandomData;
import org.junit.jupiter.api.Test;

/** {@link EnvelopeCodec} with complete, truncated, changed and random messages. */
class EnvelopeCodecTest {
  private static final String PEER = "10.0.0.1:7680";

  private final EnvelopeCodec codec = new EnvelopeCodec();

  private static Accept accept(int valueBytes) {
    ProposalNumber proposal = new ProposalNumber(7L, "core-a");
    List<Member> members = List.of(new Member("10.0.0.1:7680#0", PEER));
    ShardVersion version =
        new ShardVersion(proposal, 12L, members, ByteBuffer.wrap(new byte[valueBytes]));
    return new Accept(3, "10.0.0.2:7680#0", proposal, version);
  }

  private SpecificRecord throughBuffer(SpecificRecord body, ByteBuf buffer) throws Exception {
    try {
      codec.encode(body, buffer, PEER);
      return codec.decode(buffer, PEER);
    } finally {
      buffer.release();
    }
  }

  @Test
  void everyMessageComesBackEqualFromHeapAndDirectBuffers() throws Exception {
    for (int valueBytes : new int[] {0, 10, 5_000, 200_000, 3}) {
      Accept sent = accept(valueBytes);
      assertEquals(sent, throughBuffer(sent, Unpooled.buffer()));
      assertEquals(sent, throughBuffer(sent, ByteBufAllocator.DEFAULT.directBuffer()));
    }
  }

  @Test
  void messageWithoutRequiredFieldNamesStepAndPeerAndLeavesTheCodecUsable() throws Exception {
    ConfigurationChunk incomplete = new ConfigurationChunk();
    ByteBuf buffer = Unpooled.buffer();
    ProtocolException failure =
        assertThrows(ProtocolException.class, () -> codec.encode(incomplete, buffer, PEER));
    assertEquals(LinkStep.ENCODE, failure.step());
    assertEquals(PEER, failure.peer());
    Ping ping = new Ping(5L);
    assertEquals(ping, throughBuffer(ping, Unpooled.buffer()));
  }

  @Test
  void bytesAfterTheMessageAreRejected() throws Exception {
    ByteBuf buffer = Unpooled.buffer();
    codec.encode(new Ping(5L), buffer, PEER);
    buffer.writeByte(0);
    ProtocolException failure =
        assertThrows(ProtocolException.class, () -> codec.decode(buffer, PEER));
    assertEquals(LinkStep.DECODE, failure.step());
  }

  @Test
  void truncatedAndChangedFramesThrowOnlyTheCheckedException() throws Exception {
    ByteBuf complete = Unpooled.buffer();
    codec.encode(accept(40), complete, PEER);
    for (int length = 0; length < complete.readableBytes(); length++) {
      ByteBuf truncated = complete.slice(0, length);
      assertThrows(ProtocolException.class, () -> codec.decode(truncated, PEER));
    }
    Random random = new Random(11);
    for (int change = 0; change < 2_000; change++) {
      ByteBuf changed = complete.copy();
      int position = random.nextInt(changed.readableBytes());
      changed.setByte(position, changed.getByte(position) ^ (1 << random.nextInt(8)));
      decodeOrExpectDecodeFailure(changed);
    }
  }

  @Test
  void lengthsBeyondTheFrameAreRejectedBeforeAnythingIsAllocated() throws Exception {
    int configurationChunk =
        unionIndexOf(new ConfigurationChunk(0L, 0L, 0, 0, ByteBuffer.allocate(0)));
    int feedAck = unionIndexOf(new FeedAck("", 0L, 0L));
    int registryDigest = unionIndexOf(new RegistryDigest("", List.of()));
    assertTooLong(configurationChunk, 0, 0, 0, 0, Integer.MAX_VALUE - 100);
    assertTooLong(feedAck, Integer.MAX_VALUE - 100);
    assertTooLong(feedAck, -1);
    assertTooLong(registryDigest, 0, Integer.MAX_VALUE - 100);
    assertTooLong(registryDigest, 0, Long.MIN_VALUE, 1);
  }

  @Test
  void randomMessagesOfEveryTypeComeBackToTheSameBytes() throws Exception {
    int messages = 2_000;
    GenericDatumWriter<Object> writer = new GenericDatumWriter<>(Envelope.getClassSchema());
    Set<Schema> typesSeen = new HashSet<>();
    for (Object random : new RandomData(Envelope.getClassSchema(), messages, 7L)) {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(bytes, null);
      writer.write(random, encoder);
      encoder.flush();
      SpecificRecord read = codec.decode(Unpooled.wrappedBuffer(bytes.toByteArray()), PEER);
      ByteBuf written = Unpooled.buffer();
      codec.encode(read, written, PEER);
      assertArrayEquals(bytes.toByteArray(), ByteBufUtil.getBytes(written));
      typesSeen.add(read.getSchema());
    }
    int types = Envelope.getClassSchema().getField("body").schema().getTypes().size();
    assertEquals(types, typesSeen.size());
  }

  private int unionIndexOf(SpecificRecord body) throws Exception {
    ByteBuf buffer = Unpooled.buffer();
    codec.encode(body, buffer, PEER);
    return buffer.getByte(0) / 2;
  }

  private void assertTooLong(long... numbers) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(bytes, null);
    for (long number : numbers) {
      encoder.writeLong(number);
    }
    encoder.flush();
    ByteBuf frame = Unpooled.wrappedBuffer(bytes.toByteArray());
    ProtocolException failure =
        assertThrows(ProtocolException.class, () -> codec.decode(frame, PEER));
    assertTrue(failure.reason().contains("a length of"), failure.reason());
  }

  private void decodeOrExpectDecodeFailure(ByteBuf frame) {
    try {
      codec.decode(frame, PEER);
    } catch (ProtocolException failure) {
      assertEquals(LinkStep.DECODE, failure.step());
    }
  }
}
