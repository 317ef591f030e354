package nettletrail.protocol.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The addresses that a process keeps dialled, one {@link Dialler} each. Lives on the event loop.
 */
final class DiallerSet {
  private static final Logger LOG = LoggerFactory.getLogger(DiallerSet.class);

  private final EventLoop loop;
  private final LinkSettings settings;
  private final BiConsumer<Channel, String> initializer;
  private final SplittableRandom random = new SplittableRandom();
  private final Map<String, Dialler> diallers = new HashMap<>();

  /**
   * A set without addresses.
   *
   * @param initializer sets up the pipeline of a channel to the address
   */
  DiallerSet(EventLoop loop, LinkSettings settings, BiConsumer<Channel, String> initializer) {
    this.loop = loop;
    this.settings = settings;
    this.initializer = initializer;
  }

  /** Keeps an address dialled; one that can't be parsed is logged and not dialled. */
  void add(String address) {
    if (diallers.containsKey(address)) {
      return;
    }
    try {
      Dialler dialler = newDialler(address);
      diallers.put(address, dialler);
      dialler.dial();
    } catch (ProtocolException failure) {
      LOG.error("{} not dialled: {}", LogEvent.ADDRESS_UNUSABLE, failure.getMessage());
    }
  }

  private Dialler newDialler(String address) throws ProtocolException {
    InetSocketAddress socketAddress = SocketAddresses.parse(address, LinkStep.DIAL);
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
            .handler(new DialledChannelInitializer(address));
    ExponentialBackoff backoff =
        new ExponentialBackoff(settings.minBackoffMillis(), settings.maxBackoffMillis(), random);
    return new Dialler(socketAddress, bootstrap, backoff);
  }

  /** Dials an address no more and closes its connection. */
  void remove(String address) {
    Dialler dialler = diallers.remove(address);
    if (dialler != null) {
      dialler.stop();
    }
  }

  /** The peer at an address has said hello. */
  void onHelloReceived(String address) {
    Dialler dialler = diallers.get(address);
    if (dialler != null) {
      dialler.onHelloReceived();
    }
  }

  /** The addresses that are kept dialled; a copy. */
  Set<String> addresses() {
    return Set.copyOf(diallers.keySet());
  }

  /** Dials nothing any more and closes all dialled connections. */
  void close() {
    diallers.values().forEach(Dialler::stop);
    diallers.clear();
  }

  /** Sets up a connection that this process opens. */
  private final class DialledChannelInitializer extends ChannelInitializer<Channel> {
    private final String address;

    private DialledChannelInitializer(String address) {
      this.address = address;
    }

    @Override
    protected void initChannel(Channel channel) {
      initializer.accept(channel, address);
    }
  }
}
