package nettletrail.core;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * What has come on a socket and lies unread. An event loop that is late knows what came before its last round only: a
 * connection that looks idle may hold a request, one whose request waits may have been closed by its client, a list that
 * looks current may be superseded. So whatever can't be taken back (a close, the first byte of an attempt) is preceded by
 * a look at the sockets whose word counts. What is left is the instant between two adjacent system calls, which no
 * process can close.
 */
public final class PendingInput {
    /**
     * Reads of one look, each of which takes a MB at most: more than a kernel holds back on both sides, so that an end is
     * found behind however much was sent, and a peer that goes on sending does not keep the loop for ever.
     */
    private static final int MAX_READS = 16;

    private PendingInput() { }

    /**
     * Reads all that has come, as the loop would in its turns: bytes go down the pipeline, an end closes the channel, both
     * before this returns. On the channel's loop, and not while its own reading is on the stack. Nothing on a channel that is
     * no socket, is closed, or is not to be read.
     */
    public static void readAll(Channel channel) {
        if (channel.isActive() && channel.config().isAutoRead()
                && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            var allocHandle = socket.recvBufAllocHandle();
            int readCount = 0;
            do {
                socket.read();
            } while (channel.isActive() && channel.config().isAutoRead() && ++readCount < MAX_READS
                    && allocHandle.lastBytesRead() > 0); // until there is nothing: an end lies behind the last bytes
        }
    }
}
