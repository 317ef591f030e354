package nettletrail.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class HeadBytesTest {
  private final ChannelInboundHandlerAdapter handler = new ChannelInboundHandlerAdapter();
  private final EmbeddedChannel channel = new EmbeddedChannel(handler);

  private ChannelHandlerContext context() {
    return channel.pipeline().context(handler);
  }

  /** The written text; fails unless it was written in this number of buffers. */
  private String written(int pieces) {
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < pieces; i++) {
      ByteBuf piece = channel.readOutbound();
      all.append(piece.toString(StandardCharsets.ISO_8859_1));
      piece.release();
    }
    assertNull(channel.readOutbound());
    return all.toString();
  }

  @Test
  void writesNumbersInDecimal() {
    long[] numbers = {0, 1, 9, 10, 99, 100, 65_536, 3_600_000, Long.MAX_VALUE};
    for (long number : numbers) {
      new HeadBytes(1).add(number).writeTo(context(), Unpooled.EMPTY_BUFFER, channel.newPromise());
      assertEquals(Long.toString(number), written(1));
    }
  }

  @Test
  void growsBeyondExpectedSize() {
    String uri = "/" + "x".repeat(4_000) + "\u00e9";
    new HeadBytes(8)
        .add(HeadBytes.constant("GET "))
        .add(uri)
        .add(HeadBytes.constant(" HTTP/1.1\r\n\r\n"))
        .writeTo(context(), Unpooled.EMPTY_BUFFER, channel.newPromise());
    assertEquals("GET " + uri + " HTTP/1.1\r\n\r\n", written(1));
  }

  @Test
  void leavesBodyUnchangedAndOwnedByCaller() {
    for (int size : new int[] {0, 1, 2_048, 2_049, 60_000}) {
      ByteBuf body = channel.alloc().buffer().writeZero(3).writeBytes(new byte[size]);
      body.skipBytes(3);
      new HeadBytes(8)
          .add(HeadBytes.constant("head"))
          .writeTo(context(), body, channel.newPromise());
      assertEquals("head" + "\0".repeat(size), written(size > 2_048 ? 2 : 1));
      assertEquals(size, body.readableBytes());
      assertEquals(1, body.refCnt());
      body.release();
    }
  }
}
