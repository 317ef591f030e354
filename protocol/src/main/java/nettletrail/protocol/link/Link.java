package nettletrail.protocol.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import nettletrail.protocol.Hello;
import nettletrail.protocol.Ping;
import nettletrail.protocol.Pong;
import nettletrail.protocol.event.LogEvent;
import org.apache.avro.specific.SpecificRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection: says hello, waits for the peer's hello, then passes messages both ways until it
 * closes.
 *
 * <p>Writes are flushed once at the end of the event loop's turn, so that what is sent in one turn
 * leaves in few packets.
 */
final class Link extends ChannelInboundHandlerAdapter {
  private static final Logger LOG = LoggerFactory.getLogger(Link.class);
  private static final int LENGTH_BYTES = 4;

  /** What a link tells its owner; all calls come on the event loop. */
  interface Owner {
    /** The peer has said hello. */
    void linkUp(Link link);

    /** A message came on a link that is up. */
    void linkReceived(Link link, SpecificRecord body);
  }

  private final Owner owner;
  private final EnvelopeCodec codec;
  private final LinkSettings settings;
  private final Hello me;
  private final LinkMetrics metrics;

  /** The dialled address, or null for an accepted connection. */
  private final String dialledAddress;

  private Channel channel;
  private Peer peer;
  private boolean flushScheduled;
  private boolean closing;
  private long lastSent;
  private long lastReceived;

  Link(
      Owner owner,
      EnvelopeCodec codec,
      LinkSettings settings,
      Hello me,
      LinkMetrics metrics,
      String dialledAddress) {
    this.owner = owner;
    this.codec = codec;
    this.settings = settings;
    this.me = me;
    this.metrics = metrics;
    this.dialledAddress = dialledAddress;
  }

  /** The other end; null until its hello came. */
  Peer peer() {
    return peer;
  }

  /** The dialled address, or null for an accepted connection. */
  String dialledAddress() {
    return dialledAddress;
  }

  boolean isOpen() {
    return !closing && channel != null && channel.isActive();
  }

  /**
   * Sends a message.
   *
   * @return false if the message could not be encoded or the link is closed, by this message or
   *     before
   */
  boolean send(SpecificRecord body) {
    if (!isOpen()) {
      return false;
    }
    ByteBuf frame = channel.alloc().buffer();
    try {
      frame.writeZero(LENGTH_BYTES);
      codec.encode(body, frame, name());
    } catch (ProtocolException failure) {
      frame.release();
      LOG.error("{} message dropped: {}", LogEvent.MESSAGE_DROPPED, failure.getMessage());
      return false;
    }
    int length = frame.readableBytes() - LENGTH_BYTES;
    if (length > settings.maxFrameBytes()) {
      frame.release();
      LOG.error(
          "{} message dropped: {} with {}: {} bytes, more than a frame may hold",
          LogEvent.MESSAGE_DROPPED,
          LinkStep.ENCODE,
          name(),
          length);
      return false;
    }
    frame.setInt(0, length);
    if (!write(frame)) {
      return false;
    }
    metrics.sent(body.getSchema().getName(), length + LENGTH_BYTES);
    return true;
  }

  private boolean write(ByteBuf frame) {
    ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
    long waiting = outbound == null ? 0 : outbound.totalPendingWriteBytes();
    if (waiting > 0 && waiting + frame.readableBytes() > settings.maxOutboundBytes()) {
      frame.release();
      close(LinkStep.BUFFER, waiting + " bytes wait for the peer");
      return false;
    }
    lastSent = System.nanoTime();
    channel.write(frame, channel.voidPromise());
    scheduleFlush();
    return true;
  }

  private void scheduleFlush() {
    if (flushScheduled) {
      return;
    }
    flushScheduled = true;
    channel.eventLoop().execute(this::flush);
  }

  private void flush() {
    flushScheduled = false;
    channel.flush();
  }

  /**
   * Sends a ping if nothing was sent for a while; closes the link if the peer was silent for too
   * long.
   */
  void checkLiveness(long now) {
    if (!isOpen()) {
      return;
    }
    if (now - lastReceived > settings.idleTimeoutMillis() * 1_000_000L) {
      close(LinkStep.LIVENESS, "nothing received for " + settings.idleTimeoutMillis() + " ms");
    } else if (now - lastSent >= settings.pingMillis() * 1_000_000L) {
      send(new Ping(now));
    }
  }

  /** Counts the peer's silence from now: this process itself did not run for a while. */
  void restartIdleTimeout(long now) {
    lastReceived = now;
  }

  /** Closes the connection and logs why. */
  void close(LinkStep step, String reason) {
    if (closing) {
      return;
    }
    closing = true;
    LOG.info("{} link closed: {} with {}: {}", LogEvent.LINK_CLOSED, step, name(), reason);
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    lastReceived = System.nanoTime();
    send(me);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf frame = (ByteBuf) message;
    int bytes = frame.readableBytes() + LENGTH_BYTES;
    long began = System.nanoTime();
    SpecificRecord body;
    try {
      if (closing) {
        return;
      }
      lastReceived = began;
      body = codec.decode(frame, name());
    } catch (ProtocolException failure) {
      close(failure.step(), failure.reason());
      return;
    } finally {
      frame.release();
    }
    deliver(body);
    metrics.received(body.getSchema().getName(), bytes, System.nanoTime() - began);
  }

  private void deliver(SpecificRecord body) {
    if (peer == null) {
      greet(body);
    } else if (body instanceof Hello) {
      close(LinkStep.HELLO, "a second hello");
    } else if (body instanceof Ping ping) {
      LOG.trace("Ping from {}, sent at {}", name(), ping.getSentAt());
    } else if (body instanceof Pong pong) {
      LOG.trace("Pong from {}, sent at {}", name(), pong.getSentAt());
    } else {
      owner.linkReceived(this, body);
    }
  }

  private void greet(SpecificRecord body) {
    if (!(body instanceof Hello hello)) {
      close(LinkStep.HELLO, "the first message is a " + body.getSchema().getName());
      return;
    }
    if (hello.getVersion() != me.getVersion()) {
      close(
          LinkStep.HELLO,
          "protocol version " + hello.getVersion() + ", this process speaks " + me.getVersion());
      return;
    }
    peer = new Peer(keyOf(hello), hello.getRole(), dialledAddress != null, hello);
    owner.linkUp(this);
  }

  private String keyOf(Hello hello) {
    if (dialledAddress != null) {
      return dialledAddress;
    }
    return hello.getRole().equals(Links.DOOR_ROLE) ? hello.getNode() : hello.getAddress();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    close(LinkStep.TRANSFER, "closed by the peer");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LinkStep step = stepOf(cause);
    if (step == LinkStep.DELIVER) {
      LOG.error("{} {} with {}", LogEvent.DELIVERY_FAILED, step, name(), cause);
    }
    close(step, cause.toString());
  }

  private static LinkStep stepOf(Throwable cause) {
    if (cause instanceof DecoderException) {
      return LinkStep.FRAME;
    }
    return cause instanceof IOException ? LinkStep.TRANSFER : LinkStep.DELIVER;
  }

  private String name() {
    if (peer != null) {
      return peer.key();
    }
    if (dialledAddress != null) {
      return dialledAddress;
    }
    return channel == null ? "unknown" : String.valueOf(channel.remoteAddress());
  }
}
