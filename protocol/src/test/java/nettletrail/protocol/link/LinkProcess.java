package nettletrail.protocol.link;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.Hello;
import org.apache.avro.specific.SpecificRecord;

/** One process of a test: links on an event loop of their own, and their listener's events. */
final class LinkProcess implements AutoCloseable {
  static final long TIMEOUT_SECONDS = 20;

  /** A call of the listener. */
  sealed interface Event {
    /** A link came up. */
    record Up(Peer peer) implements Event {}

    /** A link went down. */
    record Down(Peer peer) implements Event {}

    /** A message arrived. */
    record Received(Peer peer, SpecificRecord body) implements Event {}
  }

  final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  final Links links;
  private final EventLoopGroup group = new NioEventLoopGroup(1);

  LinkProcess(String node, String address, String role, long incarnation, LinkSettings settings) {
    Hello hello = new Hello(node, address, role, incarnation, 1);
    links = new Links(group.next(), settings, hello, new RecordingListener());
  }

  static LinkProcess core(String address) {
    return new LinkProcess("core", address, "core", 1, LinkSettings.defaults());
  }

  static LinkProcess door(String node) {
    return new LinkProcess(node, "", HelloMessages.DOOR_ROLE, 1, LinkSettings.defaults());
  }

  /** Listens, and returns the address to dial. */
  String listen(String address) throws Exception {
    InetSocketAddress bound =
        (InetSocketAddress) links.listen(address).sync().channel().localAddress();
    return "127.0.0.1:" + bound.getPort();
  }

  void dial(String address) throws Exception {
    onLoop(
        () -> {
          links.dial(address);
          return null;
        });
  }

  boolean send(String peer, SpecificRecord body) throws Exception {
    return onLoop(() -> links.send(peer, body));
  }

  <T> T onLoop(Callable<T> task) throws Exception {
    return group.next().submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** The next event, which must be of this kind. */
  <T extends Event> T next(Class<T> kind) throws InterruptedException {
    Event event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (!kind.isInstance(event)) {
      throw new AssertionError("expected " + kind.getSimpleName() + ", got " + event);
    }
    return kind.cast(event);
  }

  @Override
  public void close() {
    links.close();
    group
        .shutdownGracefully(0, 1, TimeUnit.SECONDS)
        .awaitUninterruptibly(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private final class RecordingListener implements LinkListener {
    @Override
    public void up(Peer peer) {
      events.add(new Event.Up(peer));
    }

    @Override
    public void down(Peer peer) {
      events.add(new Event.Down(peer));
    }

    @Override
    public void received(Peer peer, SpecificRecord body) {
      events.add(new Event.Received(peer, body));
    }
  }
}
