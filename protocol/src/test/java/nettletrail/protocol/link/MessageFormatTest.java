package nettletrail.protocol.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import nettletrail.protocol.Envelope;
import org.apache.avro.Schema;
import org.apache.avro.specific.SpecificRecord;
import org.junit.jupiter.api.Test;

/**
 * The bytes of every message kind, pinned by a file that an earlier build wrote: each line has the
 * kind's number in the envelope's union and an example in hexadecimal. A change of the file is a
 * change of the protocol, and needs a new protocol version.
 */
class MessageFormatTest {
  private static final Path FORMAT = Path.of("src/test/resources/message-format-2/messages.txt");
  private static final String PEER = "10.0.0.1:7680";

  private final EnvelopeCodec codec = new EnvelopeCodec();

  private static List<Schema> kinds() {
    return Envelope.getClassSchema().getField("body").schema().getTypes();
  }

  private static int numberOf(SpecificRecord message) {
    return kinds().indexOf(message.getSchema());
  }

  private String encoded(SpecificRecord message) throws ProtocolException {
    ByteBuf buffer = Unpooled.buffer();
    codec.encode(message, buffer, PEER);
    return ByteBufUtil.hexDump(buffer);
  }

  private SpecificRecord decoded(String line) throws ProtocolException {
    String bytes = line.substring(line.indexOf(' ') + 1);
    return codec.decode(Unpooled.wrappedBuffer(HexFormat.of().parseHex(bytes)), PEER);
  }

  @Test
  void everyMessageKindHasAnExample() {
    Set<Integer> expected =
        IntStream.range(0, kinds().size()).boxed().collect(Collectors.toCollection(TreeSet::new));
    Set<Integer> present = new TreeSet<>();
    for (SpecificRecord message : ExampleMessages.all()) {
      present.add(numberOf(message));
    }
    assertEquals(expected, present);
  }

  @Test
  void everyExampleIsWrittenInTheCommittedBytes() throws Exception {
    List<String> written = new ArrayList<>();
    for (SpecificRecord message : ExampleMessages.all()) {
      written.add(numberOf(message) + " " + encoded(message));
    }
    assertEquals(String.join("\n", Files.readAllLines(FORMAT)), String.join("\n", written));
  }

  @Test
  void committedBytesAreReadAsTheExamples() throws Exception {
    List<SpecificRecord> read = new ArrayList<>();
    for (String line : Files.readAllLines(FORMAT)) {
      read.add(decoded(line));
    }
    assertEquals(ExampleMessages.all(), read);
  }
}
