package nettletrail.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Ends a client's connection so that the last answer on it is read: a close with input unread would reset the
 * connection, and the answer with it. So the sending side ends first, what still comes is thrown away undecoded
 * for a moment, and then all is closed. However much comes while answers are still owed, it is read, as fast as the loop's turns
 * allow: none of it is kept, nobody is cut off with an answer owed, and that the client leaves is seen behind it.
 */
public final class LingeringClose extends ChannelInboundHandlerAdapter {
    private static final int LINGER_MS = 300;
    private LingeringClose() { }

    /** Nothing more is read as a request from here on; the connection ends when its last answer is written. */
    public static void discardInput(ChannelPipeline pipeline) {
        if (pipeline.get(LingeringClose.class) == null) {
            pipeline.addFirst(new LingeringClose());
        }
    }

    /** The last answer is with the kernel. */
    public static void closeAfterLinger(SocketChannel channel) {
        channel.shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ReferenceCountUtil.release(message);
    }
}
