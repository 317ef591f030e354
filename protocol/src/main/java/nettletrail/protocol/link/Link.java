package nettletrail.protocol.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
 * One connection: sends the hello, waits for the peer's hello, then passes messages both ways until
 * it closes. Lives on the event loop.
 *
 * <p>It is the last handler of the channel's pipeline, behind the frame decoder, and has the state
 * of the connection. The single concerns are in classes of their own: {@link HelloHandshake},
 * {@link LinkLiveness} and {@link FrameWriter}. Frames that come in are released here.
 */
final class Link extends ChannelInboundHandlerAdapter {
  private static final Logger LOG = LoggerFactory.getLogger(Link.class);

  /** Receives the events of a link; all calls come on the event loop. */
  interface Listener {
    /** The handshake is done; {@link Link#peer} is known from now on. */
    void onLinkUp(Link link);

    /** A message arrived on a link that is up. */
    void onMessage(Link link, SpecificRecord body);
  }

  private final Channel channel;
  private final LinkContext shared;

  /** The dialled address, or null for an accepted connection. */
  private final String dialledAddress;

  private final HelloHandshake handshake;
  private final LinkLiveness liveness;
  private final FrameWriter writer;

  private Peer peer;
  private boolean closing;

  /**
   * A link that still has to be added to the channel's pipeline.
   *
   * @param dialledAddress the dialled address, or null for an accepted connection
   */
  Link(Channel channel, LinkContext shared, String dialledAddress) {
    this.channel = channel;
    this.shared = shared;
    this.dialledAddress = dialledAddress;
    this.handshake = new HelloHandshake(shared.ownHello(), dialledAddress);
    this.liveness = new LinkLiveness(shared.settings());
    this.writer = new FrameWriter(channel, shared.codec(), shared.settings());
  }

  /** The other end; null until its hello has arrived. */
  Peer peer() {
    return peer;
  }

  boolean isOpen() {
    return !closing && channel.isActive();
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
    int bytes;
    try {
      bytes = writer.write(body, peerName());
    } catch (ProtocolException failure) {
      onSendFailed(failure);
      return false;
    }
    liveness.onSent(System.nanoTime());
    shared.metrics().sent(body.getSchema().getName(), bytes);
    return true;
  }

  private void onSendFailed(ProtocolException failure) {
    if (failure.step() == LinkStep.BUFFER) {
      close(failure.step(), failure.reason());
    } else {
      LOG.error("{} message dropped: {}", LogEvent.MESSAGE_DROPPED, failure.getMessage());
    }
  }

  /** Sends a ping if nothing was sent for a while; closes the link after the idle timeout. */
  void checkLiveness(long now) {
    if (!isOpen()) {
      return;
    }
    switch (liveness.check(now)) {
      case CLOSE ->
          close(
              LinkStep.LIVENESS,
              "nothing received for " + shared.settings().idleTimeoutMillis() + " ms");
      case PING -> send(new Ping(now));
      case NONE -> {
        // Nothing is due.
      }
    }
  }

  /** Counts the idle timeout from now: this process itself did not run for a while. */
  void restartIdleTimeout(long now) {
    liveness.restartIdleTimeout(now);
  }

  /** Closes the connection and logs why; without effect if it is closing already. */
  void close(LinkStep step, String reason) {
    if (closing) {
      return;
    }
    closing = true;
    LOG.info("{} link closed: {} with {}: {}", LogEvent.LINK_CLOSED, step, peerName(), reason);
    channel.close();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    liveness.onReceived(System.nanoTime());
    send(shared.ownHello());
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf frame = (ByteBuf) message;
    int bytes = frame.readableBytes() + FrameWriter.LENGTH_FIELD_BYTES;
    long startedAt = System.nanoTime();
    SpecificRecord body;
    try {
      if (closing) {
        return;
      }
      liveness.onReceived(startedAt);
      body = shared.codec().decode(frame, peerName());
    } catch (ProtocolException failure) {
      close(failure.step(), failure.reason());
      return;
    } finally {
      frame.release();
    }
    dispatch(body);
    shared.metrics().received(body.getSchema().getName(), bytes, System.nanoTime() - startedAt);
  }

  private void dispatch(SpecificRecord body) {
    if (peer == null) {
      completeHandshake(body);
    } else if (body instanceof Hello) {
      close(LinkStep.HELLO, "a second hello");
    } else if (body instanceof Ping ping) {
      LOG.trace("Ping from {}, sent at {}", peerName(), ping.getSentAt());
    } else if (body instanceof Pong pong) {
      LOG.trace("Pong from {}, sent at {}", peerName(), pong.getSentAt());
    } else {
      shared.listener().onMessage(this, body);
    }
  }

  private void completeHandshake(SpecificRecord firstMessage) {
    try {
      peer = handshake.accept(firstMessage, peerName());
    } catch (ProtocolException failure) {
      close(failure.step(), failure.reason());
      return;
    }
    shared.listener().onLinkUp(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    close(LinkStep.TRANSFER, "closed by the peer");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LinkStep step = stepOf(cause);
    if (step == LinkStep.DELIVER) {
      LOG.error("{} {} with {}", LogEvent.DELIVERY_FAILED, step, peerName(), cause);
    }
    close(step, cause.toString());
  }

  private static LinkStep stepOf(Throwable cause) {
    if (cause instanceof DecoderException) {
      return LinkStep.FRAME;
    }
    return cause instanceof IOException ? LinkStep.TRANSFER : LinkStep.DELIVER;
  }

  /** The peer's key; before its hello, the address that was dialled or accepted. */
  private String peerName() {
    if (peer != null) {
      return peer.key();
    }
    return dialledAddress == null ? String.valueOf(channel.remoteAddress()) : dialledAddress;
  }
}
