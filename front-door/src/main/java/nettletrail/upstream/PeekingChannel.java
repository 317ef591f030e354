package nettletrail.upstream;

import io.netty.channel.ChannelFactory;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A socket channel that can be asked whether input has arrived that the event loop has not read
 * yet.
 */
public final class PeekingChannel extends NioSocketChannel {
  private final ByteBuffer probe;

  /** Returns a factory for the channels of one event loop, which share one probe buffer. */
  public static ChannelFactory<PeekingChannel> factory() {
    ByteBuffer probe = ByteBuffer.allocateDirect(1);
    return () -> new PeekingChannel(probe);
  }

  /**
   * @param probe a direct buffer of at least one byte, so that the read copies nothing; shared only
   *     by channels of the same event loop
   */
  PeekingChannel(ByteBuffer probe) {
    this.probe = probe;
  }

  /**
   * Whether neither a byte nor the end of the stream has arrived. The probe consumes what has
   * arrived, so the connection must be closed if this is false. To be called on the event loop;
   * costs one system call.
   */
  public boolean hasNothingUnread() {
    probe.clear();
    try {
      return javaChannel().read(probe) == 0;
    } catch (IOException e) {
      return false;
    }
  }
}
