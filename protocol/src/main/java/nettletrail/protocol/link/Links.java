package nettletrail.protocol.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.Hello;
import nettletrail.protocol.event.LogEvent;
import org.apache.avro.specific.SpecificRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All links of one process: those that it keeps dialled and those that others opened.
 *
 * <p>A peer is identified by a key. For a dialled link that is the dialled address; for an accepted
 * link it is the node name of a door, or the internal address of a core process, as in its hello.
 * Of two links with the same key and direction the newer one stays. Messages are dropped while no
 * link is up; nothing is queued for later.
 *
 * <p>Every method is called on the event loop, {@link #listen} and {@link #close} excepted.
 */
public final class Links {
  private static final Logger LOG = LoggerFactory.getLogger(Links.class);
  private static final int MIN_CHECK_PERIOD_MILLIS = 20;
  private static final int CHECKS_PER_PING = 4;

  private final EventLoop loop;
  private final LinkContext shared;
  private final LinkListener listener;
  private final LinkAcceptor acceptor;
  private final DiallerSet diallers;
  private final LinkTable linksUp = new LinkTable();

  /** All connections, before and after their handshake. */
  private final Set<Link> openLinks = new LinkedHashSet<>();

  private final ScheduledFuture<?> livenessChecks;
  private long lastCheckAt = System.nanoTime();
  private boolean closed;

  /**
   * Links on a NIO event loop, without metrics; nothing is dialled or listened to yet.
   *
   * @param me the hello that this process sends first on each link
   */
  public Links(EventLoop loop, LinkSettings settings, Hello me, LinkListener listener) {
    this(loop, settings, me, listener, LinkMetrics.NONE);
  }

  /**
   * Links on a NIO event loop; nothing is dialled or listened to yet.
   *
   * @param me the hello that this process sends first on each link
   * @param metrics counts all messages
   */
  public Links(
      EventLoop loop, LinkSettings settings, Hello me, LinkListener listener, LinkMetrics metrics) {
    this.loop = loop;
    this.shared = new LinkContext(settings, me, new EnvelopeCodec(), metrics, new LinkEvents());
    this.listener = listener;
    this.acceptor =
        new LinkAcceptor(loop, settings.maxAcceptedLinks(), channel -> addLink(channel, null));
    this.diallers = new DiallerSet(loop, settings, this::addLink);
    int periodMillis = Math.max(MIN_CHECK_PERIOD_MILLIS, settings.pingMillis() / CHECKS_PER_PING);
    this.livenessChecks =
        loop.scheduleWithFixedDelay(
            this::checkLiveness, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Accepts links from others. May be called on any thread.
   *
   * @param address {@code ip:port}; port 0 takes any that is free
   * @return done once bound; its channel knows the local address
   * @throws ProtocolException with step ACCEPT if the address can't be parsed
   */
  public ChannelFuture listen(String address) throws ProtocolException {
    return acceptor.listen(SocketAddresses.parse(address, LinkStep.ACCEPT));
  }

  /**
   * Keeps an address dialled. Does nothing for this process's own address and for one that is
   * dialled already; an address that can't be parsed is logged and not dialled.
   *
   * @param address {@code ip:port}
   */
  public void dial(String address) {
    requireLoop();
    if (!closed && !address.equals(shared.ownHello().getAddress())) {
      diallers.add(address);
    }
  }

  /** Dials an address no more and closes its dialled link. */
  public void stopDialling(String address) {
    requireLoop();
    diallers.remove(address);
  }

  /** The addresses that are kept dialled, whether a link is up or not; a copy. */
  public Set<String> dialledAddresses() {
    requireLoop();
    return diallers.addresses();
  }

  /** Whether a message to this peer would be sent now. */
  public boolean isUp(String peer) {
    requireLoop();
    return linksUp.openLinkTo(peer) != null;
  }

  /**
   * Sends a message on the dialled link to a peer, or else on the one accepted from it.
   *
   * @return false if the message was dropped, since no link is up or it can't be encoded; true
   *     doesn't mean that it arrives
   */
  public boolean send(String peer, SpecificRecord body) {
    requireLoop();
    Link link = linksUp.openLinkTo(peer);
    return link != null && link.send(body);
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
    acceptor.close();
    diallers.close();
    for (Link link : List.copyOf(openLinks)) {
      link.close(LinkStep.CLOSE, "this process ends its links");
    }
  }

  /**
   * Checks all links. After a pause of this process (garbage collection, a suspended machine) no
   * link is closed for what it couldn't receive meanwhile.
   */
  private void checkLiveness() {
    long now = System.nanoTime();
    long idleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(shared.settings().idleTimeoutMillis());
    boolean wasPaused = now - lastCheckAt > idleTimeoutNanos / 2;
    lastCheckAt = now;
    for (Link link : List.copyOf(openLinks)) {
      if (wasPaused) {
        link.restartIdleTimeout(now);
      }
      link.checkLiveness(now);
    }
  }

  /** Sets up the pipeline of a new connection; {@code dialledAddress} is null if accepted. */
  private void addLink(Channel channel, String dialledAddress) {
    Link link = new Link(channel, shared, dialledAddress);
    openLinks.add(link);
    channel.closeFuture().addListener(done -> onLinkClosed(link));
    int lengthBytes = FrameWriter.LENGTH_FIELD_BYTES;
    int maxFrameBytes = shared.settings().maxFrameBytes();
    channel
        .pipeline()
        .addLast(new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, lengthBytes, 0, lengthBytes))
        .addLast(link);
  }

  private void onLinkUp(Link link) {
    Peer peer = link.peer();
    if (peer.dialled()) {
      diallers.onHelloReceived(peer.key());
    }
    Link older = linksUp.linkOf(peer);
    if (older != null) {
      older.close(LinkStep.REPLACE, "a newer link of the same peer is up");
      takeDown(older);
    }
    linksUp.add(link);
    logLinkUp(peer);
    listener.up(peer);
  }

  private static void logLinkUp(Peer peer) {
    String direction = peer.dialled() ? "dialled" : "accepted";
    LOG.info("{} link up: {} ({}), {}", LogEvent.LINK_UP, peer.key(), peer.role(), direction);
  }

  private void onLinkClosed(Link link) {
    openLinks.remove(link);
    takeDown(link);
  }

  private void takeDown(Link link) {
    if (linksUp.remove(link)) {
      listener.down(link.peer());
    }
  }

  private void requireLoop() {
    if (!loop.inEventLoop()) {
      throw new IllegalStateException("links are used on their event loop only");
    }
  }

  /** Passes on the events of single links. */
  private final class LinkEvents implements Link.Listener {
    @Override
    public void onLinkUp(Link link) {
      Links.this.onLinkUp(link);
    }

    @Override
    public void onMessage(Link link, SpecificRecord body) {
      listener.received(link.peer(), body);
    }
  }
}
