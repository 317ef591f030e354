package nettletrail.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Netty's aggregator would read a body of any size to its end before it closes; here its connection ends at once. A
 * request without a body, as most are, goes past it: there is nothing to gather.
 */
public final class RequestAggregator extends HttpObjectAggregator {
    private final Runnable tooLarge;
    /** A head with no body to come, until its end is there. */
    private HttpRequest bare;

    /**
     * @param mostBody bytes of a body, at most
     * @param tooLarge told of a body that is larger, on the event loop; nothing of it is kept
     */
    public RequestAggregator(int mostBody, Runnable tooLarge) {
        super(mostBody, true);
        this.tooLarge = tooLarge;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        HttpRequest head = bare;
        if (head == null) {
            if (message instanceof HttpRequest start && !(message instanceof FullHttpRequest) && isBare(start)) {
                bare = start;
            } else {
                super.channelRead(context, message);
            }
            return;
        }
        bare = null;
        if (message == LastHttpContent.EMPTY_LAST_CONTENT) {
            context.fireChannelRead(new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(),
                    Unpooled.EMPTY_BUFFER, head.headers(), EmptyHttpHeaders.INSTANCE));
        } else {
            super.channelRead(context, head);
            super.channelRead(context, message);
        }
    }

    private static boolean isBare(HttpRequest start) {
        HttpHeaders headers = start.headers();
        String bodyLength = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        return (bodyLength == null || bodyLength.equals("0")) && start.decoderResult().isSuccess()
                && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING) && !headers.contains(HttpHeaderNames.EXPECT);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        tooLarge.run();
    }
}
