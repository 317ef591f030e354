package nettletrail.protocol.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps one address dialled: whenever its connection ends or can't be made, it dials again after a
 * pause.
 *
 * <p>The pause is drawn evenly between the shortest backoff and a bound that doubles with each
 * failure up to the longest; it starts over once a peer has said hello.
 */
final class Dialler {
  private static final Logger LOG = LoggerFactory.getLogger(Dialler.class);

  private final InetSocketAddress address;
  private final Bootstrap bootstrap;
  private final LinkSettings settings;
  private final RandomGenerator random;

  private Channel channel;
  private ScheduledFuture<?> retry;
  private int backoffBoundMillis;
  private boolean failureLogged;
  private boolean stopped;

  /**
   * A dialler that does nothing yet.
   *
   * @param bootstrap makes the connections; its handler adds the link
   */
  Dialler(
      InetSocketAddress address,
      Bootstrap bootstrap,
      LinkSettings settings,
      RandomGenerator random) {
    this.address = address;
    this.bootstrap = bootstrap;
    this.settings = settings;
    this.random = random;
    this.backoffBoundMillis = settings.minBackoffMillis();
  }

  /** Opens a connection. */
  void dial() {
    retry = null;
    if (stopped) {
      return;
    }
    ChannelFuture connecting = bootstrap.connect(address);
    channel = connecting.channel();
    connecting.addListener(done -> connected(done.cause()));
  }

  private void connected(Throwable failure) {
    if (failure == null) {
      channel.closeFuture().addListener(closed -> redial());
      return;
    }
    logFailure(failure);
    redial();
  }

  private void logFailure(Throwable failure) {
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

  private void redial() {
    if (stopped || retry != null) {
      return;
    }
    int pause = random.nextInt(settings.minBackoffMillis(), backoffBoundMillis + 1);
    backoffBoundMillis = Math.min(settings.maxBackoffMillis(), backoffBoundMillis * 2);
    retry = bootstrap.config().group().next().schedule(this::dial, pause, TimeUnit.MILLISECONDS);
  }

  /** The peer has said hello, so the next pause is a short one. */
  void succeeded() {
    backoffBoundMillis = settings.minBackoffMillis();
    failureLogged = false;
  }

  /** Ends the connection and dials no more. */
  void stop() {
    stopped = true;
    if (retry != null) {
      retry.cancel(false);
    }
    if (channel != null) {
      channel.close();
    }
  }
}
