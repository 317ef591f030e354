package nettletrail.protocol.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps one address dialled: whenever its connection ends or can't be opened, it dials again after
 * a backoff. Lives on the event loop.
 *
 * <p>The backoff starts over only once the peer has said hello: a peer that accepts connections and
 * closes them is dialled as rarely as one that doesn't accept.
 */
final class Dialler {
  private static final Logger LOG = LoggerFactory.getLogger(Dialler.class);

  private final InetSocketAddress address;
  private final Bootstrap bootstrap;
  private final ExponentialBackoff backoff;

  private Channel channel;
  private ScheduledFuture<?> scheduledDial;
  private boolean failureLogged;
  private boolean stopped;

  /**
   * A dialler that does nothing yet.
   *
   * @param bootstrap opens the connections; its handler adds the link
   */
  Dialler(InetSocketAddress address, Bootstrap bootstrap, ExponentialBackoff backoff) {
    this.address = address;
    this.bootstrap = bootstrap;
    this.backoff = backoff;
  }

  /** Opens a connection, unless stopped. */
  void dial() {
    scheduledDial = null;
    if (stopped) {
      return;
    }
    ChannelFuture connecting = bootstrap.connect(address);
    channel = connecting.channel();
    connecting.addListener(done -> onConnectDone(done.cause()));
  }

  private void onConnectDone(Throwable failure) {
    if (failure == null) {
      channel.closeFuture().addListener(closed -> scheduleDial());
      return;
    }
    logFirstFailure(failure);
    scheduleDial();
  }

  private void logFirstFailure(Throwable failure) {
    if (failureLogged || stopped) {
      return;
    }
    failureLogged = true;
    LOG.info(
        "{} {} with {} failed, dialling on: {}",
        LogEvent.DIAL_FAILED,
        LinkStep.DIAL,
        NetUtil.toSocketAddressString(address),
        failure.getMessage());
  }

  private void scheduleDial() {
    if (stopped || scheduledDial != null) {
      return;
    }
    int delayMillis = backoff.nextDelayMillis();
    scheduledDial =
        bootstrap.config().group().next().schedule(this::dial, delayMillis, TimeUnit.MILLISECONDS);
  }

  /** The peer has said hello: the backoff starts over, and the next failure is logged again. */
  void onHelloReceived() {
    backoff.reset();
    failureLogged = false;
  }

  /** Closes the connection and dials no more. */
  void stop() {
    stopped = true;
    if (scheduledDial != null) {
      scheduledDial.cancel(false);
    }
    if (channel != null) {
      channel.close();
    }
  }
}
