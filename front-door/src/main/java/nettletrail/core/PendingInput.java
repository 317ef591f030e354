package nettletrail.core;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads input that has arrived on a socket and is still unread. A late event loop has seen only
 * what came before its last round: a connection that looks idle may hold a request, a waiting
 * request's client may have disconnected, a list of endpoints may be outdated. Therefore each
 * irrevocable step (a close, the first byte of an attempt) is preceded by a read of the sockets
 * that it depends on. The remaining race is between two adjacent system calls, which no process can
 * close.
 */
public final class PendingInput {
  /**
   * Reads per call, each of at most 1 MB: more than the kernel buffers on both sides, so that a
   * close is found behind any amount of data, and bounded, so that a peer that keeps sending can't
   * hold the loop forever.
   */
  private static final int MAX_READS = 16;

  private PendingInput() {}

  /**
   * Reads all pending input as the loop would: bytes go through the pipeline and an end of stream
   * closes the channel, both before this returns. Call it on the channel's loop, and not from
   * within one of the channel's own reads. Does nothing on a channel that is no socket, is closed,
   * or has auto-read turned off.
   */
  public static void readAll(Channel channel) {
    if (channel.isActive()
        && channel.config().isAutoRead()
        && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
      var allocHandle = socket.recvBufAllocHandle();
      int readCount = 0;
      do {
        socket.read();
      } while (channel.isActive()
          && channel.config().isAutoRead()
          && ++readCount < MAX_READS
          && allocHandle.lastBytesRead() > 0); // the end of stream lies behind the last bytes
    }
  }
}
