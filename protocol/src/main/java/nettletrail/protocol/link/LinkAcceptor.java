package nettletrail.protocol.link;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections up to a bound; those above it are closed immediately. Lives on the event
 * loop, but for {@link #listen}.
 */
final class LinkAcceptor extends ChannelInitializer<Channel> {
  private static final Logger LOG = LoggerFactory.getLogger(LinkAcceptor.class);
  private static final int LISTEN_BACKLOG = 1024;

  private final EventLoop loop;
  private final int maxConnections;
  private final Consumer<Channel> initializer;
  private final List<Channel> serverChannels = new ArrayList<>();
  private int openConnections;
  private boolean closed;

  /**
   * An acceptor that doesn't listen yet.
   *
   * @param initializer sets up the pipeline of an accepted channel
   */
  LinkAcceptor(EventLoop loop, int maxConnections, Consumer<Channel> initializer) {
    this.loop = loop;
    this.maxConnections = maxConnections;
    this.initializer = initializer;
  }

  /**
   * Listens on an address. May be called on any thread.
   *
   * @return done once bound; its channel knows the local address
   */
  ChannelFuture listen(InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(this);
    ChannelFuture bound = bootstrap.bind(address);
    loop.execute(() -> serverChannels.add(bound.channel()));
    return bound;
  }

  @Override
  protected void initChannel(Channel channel) {
    if (closed || openConnections >= maxConnections) {
      reject(channel);
      return;
    }
    openConnections++;
    channel.closeFuture().addListener(done -> openConnections--);
    initializer.accept(channel);
  }

  private void reject(Channel channel) {
    LOG.warn(
        "{} {} with {}: refused, {} links are open",
        LogEvent.LINK_REFUSED,
        LinkStep.ACCEPT,
        channel.remoteAddress(),
        openConnections);
    channel.close();
  }

  /** Listens no more and rejects connections that still arrive; accepted ones stay open. */
  void close() {
    closed = true;
    serverChannels.forEach(Channel::close);
  }
}
