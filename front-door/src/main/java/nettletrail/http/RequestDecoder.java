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

/**
 * Netty's request decoder with the stricter checks of {@link StrictFraming}; a violation is a
 * decoder failure.
 */
public final class RequestDecoder extends HttpRequestDecoder {
  private static final byte LF = '\n';

  /** Decoding is between the head and the end of the body, where lines are not header lines. */
  private boolean inBody;

  /** Lines of a head have been consumed whose request is not complete yet. */
  private boolean inHead;

  /** A line of the current head began with white space. */
  private boolean foldedLineSeen;

  private boolean bytesReceived;

  /** A decoder with the size limits of Netty's default configuration. */
  public RequestDecoder() {
    super(config());
  }

  /**
   * @param maxLineBytes the longest permitted request line
   * @param maxHeaderBytes the largest permitted size of all headers together
   */
  public RequestDecoder(int maxLineBytes, int maxHeaderBytes) {
    super(config().setMaxInitialLineLength(maxLineBytes).setMaxHeaderSize(maxHeaderBytes));
  }

  private static HttpDecoderConfig config() {
    return new HttpDecoderConfig().setUseRfc9112TransferEncoding(true);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    bytesReceived = true;
    super.channelRead(context, message);
  }

  /** Whether any bytes have been received since the last call of this method. */
  public boolean pollBytesReceived() {
    boolean received = bytesReceived;
    bytesReceived = false;
    return received;
  }

  /** Whether the next byte is the first one of a request. */
  public boolean isBetweenRequests() {
    return !inHead && !inBody && actualReadableBytes() == 0;
  }

  /**
   * Detects folded lines in the raw bytes: Netty joins a folded line to the previous one and skips
   * white space before the first line, so its result shows neither (RFC 9112 sections 2.2 and 5.2).
   * Netty consumes only complete lines of a head and returns between a head and its body, so that
   * the bytes consumed by one call are complete head lines or none.
   */
  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    int from = buffer.readerIndex();
    int before = out.size();
    super.decode(context, buffer, out);
    if (!inBody) {
      foldedLineSeen |= hasFoldedLine(buffer, from, buffer.readerIndex());
    }
    if (out.size() == before) {
      inHead |= !inBody && buffer.readerIndex() > from;
      return;
    }
    inHead = false;
    if (out.get(before) instanceof HttpRequest head) {
      if (foldedLineSeen) {
        head.setDecoderResult(DecoderResult.failure(StrictFraming.foldedLine()));
      }
      foldedLineSeen = false;
    }
    inBody = !(out.get(out.size() - 1) instanceof LastHttpContent);
  }

  private static boolean hasFoldedLine(ByteBuf buffer, int from, int to) {
    for (int lineStart = from; lineStart < to; ) {
      byte first = buffer.getByte(lineStart);
      if (first == ' ' || first == '\t') {
        return true;
      }
      int end = buffer.indexOf(lineStart, to, LF);
      if (end < 0) {
        return false;
      }
      lineStart = end + 1;
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
