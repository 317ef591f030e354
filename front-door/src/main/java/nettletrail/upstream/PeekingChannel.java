package nettletrail.upstream;

import io.netty.channel.ChannelFactory;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket that can be asked whether anything has come that the event loop has not read yet. */
public final class PeekingChannel extends NioSocketChannel {
    private final ByteBuffer one;

    /** Makes the channels of one event loop, which share the byte that they look with. */
    public static ChannelFactory<PeekingChannel> factory() {
        ByteBuffer one = ByteBuffer.allocateDirect(1);
        return () -> new PeekingChannel(one);
    }

    /** @param one of one byte or more, off the heap (the look copies nothing then); for this event loop's channels alone */
    PeekingChannel(ByteBuffer one) {
        this.one = one;
    }

    /**
     * Whether neither a byte nor the end has come. What came is lost by the look, so that the connection must be closed if
     * this is false. On the event loop; costs one system call.
     */
    public boolean hasNothingUnread() {
        one.clear();
        try {
            return javaChannel().read(one) == 0;
        } catch (IOException e) {
            return false;
        }
    }
}
