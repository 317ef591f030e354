package nettletrail.fleet;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers {@code GET /metrics} with the process's own figures; each answer ends its connection. */
final class MetricsServer extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final Logger LOG = LoggerFactory.getLogger(MetricsServer.class);
  private static final String PATH = "/metrics";
  private static final int MAX_BODY = 4_096;

  private final ProcessMetrics metrics;

  private MetricsServer(ProcessMetrics metrics) {
    this.metrics = metrics;
  }

  /** Listens; a port that can't be had is logged, and the process goes on without. */
  static void listen(EventLoop loop, String host, int port, ProcessMetrics metrics) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel reader) {
                    reader
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_BODY),
                            new MetricsServer(metrics));
                  }
                })
            .bind(host, port);
    bound.addListener(
        done -> {
          if (!done.isSuccess()) {
            LOG.warn(
                "{} metrics on {}:{}: {}",
                LogEvent.LISTEN_FAILED,
                host,
                port,
                String.valueOf(done.cause()));
          }
        });
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request)
      throws IOException {
    boolean known = request.uri().equals(PATH);
    ByteBuf body = known ? Unpooled.wrappedBuffer(metrics.text()) : Unpooled.EMPTY_BUFFER;
    HttpResponseStatus status = known ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND;
    DefaultFullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    answer
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, metrics.contentType())
        .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
