package nettletrail.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Netty's response decoder with the stricter checks of {@link StrictFraming}. It also reports
 * whether bytes are left behind a response and how many bytes were received in all.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
  private long receivedBytes;
  private boolean responseHasNoBody;

  /**
   * Prepares for the response to the next request.
   *
   * @param headRequest whether the method is HEAD: its response has no body whatever its headers
   *     say (RFC 9112 section 6.3)
   */
  public void expectResponseTo(boolean headRequest) {
    responseHasNoBody = headRequest;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return responseHasNoBody || super.isContentAlwaysEmpty(message);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    receivedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
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

  /** Whether bytes have been received that are not decoded yet. */
  public boolean hasUndecodedBytes() {
    return internalBuffer().isReadable();
  }

  /** Bytes received so far on this connection, of all responses. */
  public long receivedBytes() {
    return receivedBytes;
  }
}
