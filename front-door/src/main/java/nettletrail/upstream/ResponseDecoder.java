package nettletrail.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Netty's decoder for a backend's answers, with {@link StrictFraming}. It tells whether bytes were left over behind an
 * answer, and how many came in all.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    /** Bytes so far. */
    private long received;
    private boolean bodiless;

    /**
     * Tells of the next request.
     *
     * @param head whether its method is HEAD: its answer has no body, whatever its headers say (RFC 9112 section 6.3)
     */
    public void expectResponseTo(boolean head) {
        bodiless = head;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return bodiless || super.isContentAlwaysEmpty(message);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        received += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        super.channelRead(context, message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw StrictFraming.conflictingLengths();
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        StrictFraming.requireColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }

    /** Whether bytes have come that are not decoded yet. */
    public boolean hasUndecodedBytes() {
        return internalBuffer().isReadable();
    }

    /** Bytes that have come so far, of all answers. */
    public long receivedBytes() {
        return received;
    }
}
