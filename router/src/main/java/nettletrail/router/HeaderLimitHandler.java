package nettletrail.router;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.IntSupplier;
import nettletrail.http.RequestDecoder;

/**
 * Gives each request of a connection the limit on heads that is in force as its first byte arrives;
 * a head that is being read keeps its limit. A decoder takes its limits once, so it is replaced by
 * one with the new limits between two requests. Stands directly before the decoder. On the event
 * loop.
 */
final class HeaderLimitHandler extends ChannelInboundHandlerAdapter {
  private final IntSupplier headerBytes;
  private int decoderHeaderBytes;
  private RequestDecoder decoder;

  /**
   * @param headerBytes the limit in force, for the request line and for all headers together
   */
  HeaderLimitHandler(IntSupplier headerBytes) {
    this.headerBytes = headerBytes;
    decoder = newDecoder();
  }

  /** The decoder of the moment, to be added behind this handler. */
  RequestDecoder decoder() {
    return decoder;
  }

  private RequestDecoder newDecoder() {
    decoderHeaderBytes = headerBytes.getAsInt();
    return new RequestDecoder(decoderHeaderBytes, decoderHeaderBytes);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (headerBytes.getAsInt() != decoderHeaderBytes && decoder.isBetweenRequests()) {
      RequestDecoder former = decoder;
      decoder = newDecoder();
      context.pipeline().replace(former, null, decoder);
    }
    context.fireChannelRead(message);
  }
}
