package nettletrail.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Lingering close of a client connection: closing a socket with unread input resets the connection,
 * and the client may lose the last response. The output side is shut down first, further input is
 * discarded undecoded for {@link #LINGER_MS}, and then the socket is closed. Input is also read and
 * discarded without a limit while responses are still pending, so that no client is cut off before
 * its response and the end of the connection behind the discarded input is noticed.
 */
public final class LingeringClose extends ChannelInboundHandlerAdapter {
  private static final int LINGER_MS = 300;

  private LingeringClose() {}

  /**
   * Discards all further input of the connection; has no effect when called again. The connection
   * stays open until its last response is written.
   */
  public static void discardInput(ChannelPipeline pipeline) {
    if (pipeline.get(LingeringClose.class) == null) {
      pipeline.addFirst(new LingeringClose());
    }
  }

  /**
   * Shuts down the output and closes the channel after {@link #LINGER_MS}; for when the last
   * response is written.
   */
  public static void closeAfterLinger(SocketChannel channel) {
    channel.shutdownOutput();
    channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ReferenceCountUtil.release(message);
  }
}
