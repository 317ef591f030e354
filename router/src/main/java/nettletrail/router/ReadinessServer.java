package nettletrail.router;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.function.BooleanSupplier;

/** HTTP server for the platform's readiness check of this door. On the event loop. */
final class ReadinessServer extends SimpleChannelInboundHandler<FullHttpRequest> {
  static final String PATH = "/nettletrail/ready";
  private static final int MAX_BODY_BYTES = 4_096;

  private final BooleanSupplier ready;

  private ReadinessServer(BooleanSupplier ready) {
    this.ready = ready;
  }

  /**
   * Opens the listening socket. May be called from any thread.
   *
   * @return completes once it is bound
   */
  static ChannelFuture listen(EventLoop loop, String host, int port, BooleanSupplier ready) {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel probe) {
                probe
                    .pipeline()
                    .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        new ReadinessServer(ready));
              }
            })
        .bind(host, port);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    HttpResponseStatus status = HttpResponseStatus.NOT_FOUND;
    if (request.uri().equals(PATH)) {
      status =
          ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
    }
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    HttpUtil.setKeepAlive(response, keepAlive);
    ChannelFuture written = context.writeAndFlush(response);
    if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
