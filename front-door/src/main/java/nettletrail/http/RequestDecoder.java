package nettletrail.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import nettletrail.upstream.StrictFraming;

/** Netty's decoder for requests, with what it would let pass made a failure. */
public final class RequestDecoder extends HttpRequestDecoder {
    private static final byte LF = '\n';

    /** Between a head and its body's end: lines there are none of the head's. */
    private boolean inBody;
    /** A line of this head began with white space. */
    private boolean folded;
    private boolean took;

    public RequestDecoder() {
        super(config());
    }

    /**
     * @param mostLine bytes of the request line, at most
     * @param mostHeaders bytes of all headers, at most
     */
    public RequestDecoder(int mostLine, int mostHeaders) {
        super(config().setMaxInitialLineLength(mostLine).setMaxHeaderSize(mostHeaders));
    }

    private static HttpDecoderConfig config() {
        return new HttpDecoderConfig().setUseRfc9112TransferEncoding(true);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        took = true;
        super.channelRead(context, message);
    }

    /** Whether any bytes have come since this was last asked. */
    public boolean pollBytesReceived() {
        boolean since = took;
        took = false;
        return since;
    }

    /**
     * Netty joins a folded line to the one before and skips white space before the first: neither is seen in its result. It
     * takes lines of a head only when they are whole, and returns between a head and its body, so what one call took is
     * whole lines of a head or none (RFC 9112 sections 2.2 and 5.2).
     */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int from = buffer.readerIndex();
        int before = out.size();
        super.decode(context, buffer, out);
        if (!inBody) {
            folded |= hasFold(buffer, from, buffer.readerIndex());
        }
        if (out.size() == before) {
            return;
        }
        if (out.get(before) instanceof HttpRequest head) {
            if (folded) {
                head.setDecoderResult(DecoderResult.failure(StrictFraming.foldedLine()));
            }
            folded = false;
        }
        inBody = !(out.get(out.size() - 1) instanceof LastHttpContent);
    }

    private static boolean hasFold(ByteBuf in, int from, int to) {
        for (int at = from; at < to;) {
            byte first = in.getByte(at);
            if (first == ' ' || first == '\t') {
                return true;
            }
            int end = in.indexOf(at, to, LF);
            if (end < 0) {
                return false;
            }
            at = end + 1;
        }
        return false;
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
}
