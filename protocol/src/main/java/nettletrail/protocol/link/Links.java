package nettletrail.protocol.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.Hello;
import nettletrail.protocol.event.LogEvent;
import org.apache.avro.specific.SpecificRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All links of one process: those that it keeps dialled and those that others opened.
 *
 * <p>A peer is known by a key. For a dialled link that is the dialled address; for an accepted link
 * it is the node name of a door, or the internal address of a core process, as its hello says. Of
 * two links with the same key and direction the newer one stays. Messages are dropped while no link
 * is up; nothing is queued for later.
 *
 * <p>Every method is called on the event loop, {@link #listen} and {@link #close} excepted.
 */
public final class Links {
  /** The role that doors name in their hello; their links are known by the node's name. */
  public static final String DOOR_ROLE = "door";

  private static final Logger LOG = LoggerFactory.getLogger(Links.class);
  private static final int LENGTH_BYTES = 4;
  private static final int LISTEN_BACKLOG = 1024;
  private static final int SHORTEST_CHECK_MILLIS = 20;
  private static final int CHECKS_PER_PING = 4;

  private final EventLoop loop;
  private final LinkSettings settings;
  private final Hello me;
  private final LinkListener listener;
  private final LinkMetrics metrics;
  private final Link.Owner linkOwner = new LinkOwner();
  private final EnvelopeCodec codec = new EnvelopeCodec();
  private final SplittableRandom random = new SplittableRandom();

  private final Map<String, Dialler> diallers = new HashMap<>();
  private final Map<String, Link> dialledLinks = new HashMap<>();
  private final Map<String, Link> acceptedLinks = new HashMap<>();
  private final Set<Link> openLinks = new LinkedHashSet<>();
  private final List<Channel> serverChannels = new ArrayList<>();
  private final ScheduledFuture<?> livenessChecks;
  private int acceptedConnections;
  private long lastCheck = System.nanoTime();
  private boolean closed;

  /**
   * Links on a NIO event loop; nothing is dialled or listened to yet.
   *
   * @param me the hello that this process sends first on each link
   */
  public Links(EventLoop loop, LinkSettings settings, Hello me, LinkListener listener) {
    this(loop, settings, me, listener, LinkMetrics.NONE);
  }

  /** As the other constructor; {@code metrics} is told of all messages. */
  public Links(
      EventLoop loop, LinkSettings settings, Hello me, LinkListener listener, LinkMetrics metrics) {
    this.loop = loop;
    this.metrics = metrics;
    this.settings = settings;
    this.me = me;
    this.listener = listener;
    int period = Math.max(SHORTEST_CHECK_MILLIS, settings.pingMillis() / CHECKS_PER_PING);
    this.livenessChecks =
        loop.scheduleWithFixedDelay(this::checkLiveness, period, period, TimeUnit.MILLISECONDS);
  }

  /**
   * Takes links from others. May be called on any thread.
   *
   * @param address {@code ip:port}; port 0 takes any that is free
   * @return done once bound; its channel knows the local address
   * @throws ProtocolException if the address can't be read
   */
  public ChannelFuture listen(String address) throws ProtocolException {
    InetSocketAddress socketAddress = SocketAddresses.parse(address, LinkStep.ACCEPT);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new AcceptedConnection());
    ChannelFuture bound = bootstrap.bind(socketAddress);
    loop.execute(() -> serverChannels.add(bound.channel()));
    return bound;
  }

  /**
   * Keeps an address dialled. This process's own address, and one that is dialled already, are left
   * alone.
   */
  public void dial(String address) {
    requireLoop();
    if (closed || address.equals(me.getAddress()) || diallers.containsKey(address)) {
      return;
    }
    try {
      InetSocketAddress socketAddress = SocketAddresses.parse(address, LinkStep.DIAL);
      Dialler dialler = new Dialler(socketAddress, bootstrapFor(address), settings, random);
      diallers.put(address, dialler);
      dialler.dial();
    } catch (ProtocolException failure) {
      LOG.error("{} not dialled: {}", LogEvent.ADDRESS_UNUSABLE, failure.getMessage());
    }
  }

  private Bootstrap bootstrapFor(String address) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
        .handler(new DialledConnection(address));
  }

  /** Dials an address no more and closes its dialled link. */
  public void undial(String address) {
    requireLoop();
    Dialler dialler = diallers.remove(address);
    if (dialler != null) {
      dialler.stop();
    }
  }

  /** The addresses that are kept dialled, whether a link is up or not; a copy. */
  public Set<String> dialled() {
    requireLoop();
    return Set.copyOf(diallers.keySet());
  }

  /** Whether a message to this peer would be sent now. */
  public boolean isUp(String peer) {
    requireLoop();
    return linkTo(peer) != null;
  }

  /**
   * Sends a message on the dialled link to a peer, or else on the one accepted from it.
   *
   * @return false if no link is up, so that the message is dropped; true doesn't mean that it
   *     arrives
   */
  public boolean send(String peer, SpecificRecord body) {
    requireLoop();
    Link link = linkTo(peer);
    return link != null && link.send(body);
  }

  private Link linkTo(String peer) {
    Link dialled = dialledLinks.get(peer);
    return dialled != null && dialled.isOpen() ? dialled : openOrNull(acceptedLinks.get(peer));
  }

  private static Link openOrNull(Link link) {
    return link != null && link.isOpen() ? link : null;
  }

  /**
   * Closes everything for good. May be called on any thread; done at the event loop's next turn.
   */
  public void close() {
    loop.execute(this::closeOnLoop);
  }

  private void closeOnLoop() {
    closed = true;
    livenessChecks.cancel(false);
    serverChannels.forEach(Channel::close);
    diallers.values().forEach(Dialler::stop);
    diallers.clear();
    for (Link link : List.copyOf(openLinks)) {
      link.close(LinkStep.CLOSE, "this process ends its links");
    }
  }

  private void checkLiveness() {
    long now = System.nanoTime();
    boolean wasPaused = now - lastCheck > settings.idleTimeoutMillis() * 1_000_000L / 2;
    lastCheck = now;
    for (Link link : List.copyOf(openLinks)) {
      if (wasPaused) {
        link.restartIdleTimeout(now);
      }
      link.checkLiveness(now);
    }
  }

  private void linkUp(Link link) {
    Peer peer = link.peer();
    if (peer.dialled()) {
      Dialler dialler = diallers.get(peer.key());
      if (dialler != null) {
        dialler.succeeded();
      }
    }
    Link older = linksLike(peer).get(peer.key());
    if (older != null) {
      older.close(LinkStep.REPLACE, "a newer link of the same peer is up");
      takeDown(older);
    }
    linksLike(peer).put(peer.key(), link);
    LOG.info(
        "{} link up: {} ({}), {}",
        LogEvent.LINK_UP,
        peer.key(),
        peer.role(),
        peer.dialled() ? "dialled" : "accepted");
    listener.up(peer);
  }

  private void linkClosed(Link link) {
    openLinks.remove(link);
    if (link.dialledAddress() == null) {
      acceptedConnections--;
    }
    takeDown(link);
  }

  private void takeDown(Link link) {
    Peer peer = link.peer();
    if (peer != null && linksLike(peer).remove(peer.key(), link)) {
      listener.down(peer);
    }
  }

  private Map<String, Link> linksLike(Peer peer) {
    return peer.dialled() ? dialledLinks : acceptedLinks;
  }

  private void addLink(Channel channel, String dialledAddress) {
    Link link = new Link(linkOwner, codec, settings, me, metrics, dialledAddress);
    openLinks.add(link);
    channel.closeFuture().addListener(done -> linkClosed(link));
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(
                settings.maxFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(link);
  }

  private void requireLoop() {
    if (!loop.inEventLoop()) {
      throw new IllegalStateException("links are used on their event loop only");
    }
  }

  /** Passes on what the links tell. */
  private final class LinkOwner implements Link.Owner {
    @Override
    public void linkUp(Link link) {
      Links.this.linkUp(link);
    }

    @Override
    public void linkReceived(Link link, SpecificRecord body) {
      listener.received(link.peer(), body);
    }
  }

  /** Sets up a connection that another process opened. */
  private final class AcceptedConnection extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      if (closed || acceptedConnections >= settings.maxAcceptedLinks()) {
        LOG.warn(
            "{} {} with {}: refused, {} links are open",
            LogEvent.LINK_REFUSED,
            LinkStep.ACCEPT,
            channel.remoteAddress(),
            acceptedConnections);
        channel.close();
        return;
      }
      acceptedConnections++;
      addLink(channel, null);
    }
  }

  /** Sets up a connection that this process opens. */
  private final class DialledConnection extends ChannelInitializer<Channel> {
    private final String address;

    private DialledConnection(String address) {
      this.address = address;
    }

    @Override
    protected void initChannel(Channel channel) {
      addLink(channel, address);
    }
  }
}
