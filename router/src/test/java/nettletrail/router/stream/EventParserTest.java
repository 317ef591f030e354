package nettletrail.router.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EventParserTest {
  private static final String STREAM =
      "id: 1\ndata: one\n\n"
          + "versions: 7\nid: 2\ndata: two\ndata: lines\n\n"
          + "id:3\r\ndata: crlf\r\n\r\n"
          + ": comment\n\n"
          + "id: x\ndata: no number\n\n";
  private static final List<Long> IDS = List.of(1L, 2L, 3L, -1L, -1L);

  private final List<Long> ids = new ArrayList<>();
  private final StringBuilder passed = new StringBuilder();
  private final EventParser parser = new EventParser(UnpooledByteBufAllocator.DEFAULT);

  private boolean read(String text) {
    ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    boolean fits =
        parser.read(
            bytes,
            (id, source, from, length) -> {
              ids.add(id);
              passed.append(source.toString(from, length, StandardCharsets.UTF_8));
            });
    bytes.release();
    return fits;
  }

  @Test
  void completeEventsArePassedWithTheirIds() {
    assertTrue(read(STREAM));
    assertEquals(IDS, ids);
    assertEquals(STREAM, passed.toString());
    assertNull(parser.incompleteEvent());
  }

  @Test
  void anIncompleteEventIsBuffered() {
    read("id: 1\ndata: one\n\nid: 2\ndata: t");
    assertEquals("id: 1\ndata: one\n\n", passed.toString());
    assertEquals("id: 2\ndata: t", parser.incompleteEvent().toString(StandardCharsets.UTF_8));
    parser.close();
    assertNull(parser.incompleteEvent());
  }

  @Property(tries = 300)
  void theEventsDoNotDependOnTheChunks(
      @ForAll @Size(max = 20) List<@IntRange(min = 0, max = 90) Integer> cuts) {
    ids.clear();
    passed.setLength(0);
    int from = 0;
    for (int cut : cuts) {
      int to = Math.min(STREAM.length(), from + cut);
      read(STREAM.substring(from, to));
      from = to;
    }
    read(STREAM.substring(from));
    assertEquals(IDS, ids);
    assertEquals(STREAM, passed.toString());
    assertNull(parser.incompleteEvent());
  }

  @Test
  void anEventAboveTheLimitIsAnError() {
    String line = "data: " + "x".repeat(10_000) + "\n";
    boolean fits = true;
    for (int i = 0; i <= EventParser.MAX_EVENT_BYTES / line.length(); i++) {
      fits = read(line);
    }
    assertFalse(fits);
    parser.close();
  }
}
