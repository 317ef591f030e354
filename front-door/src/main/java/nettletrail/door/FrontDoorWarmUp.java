package nettletrail.door;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.core.BackendReport;
import nettletrail.core.Dispatcher;
import nettletrail.core.Endpoint;
import nettletrail.core.EventLoopClock;
import nettletrail.core.Log;
import nettletrail.core.RequestLimiter;
import nettletrail.core.RequestValidator;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;
import nettletrail.http.ClientHandler;
import nettletrail.upstream.BackendPool;

/**
 * Sends synthetic requests from an in-process client to an in-process backend before the front door
 * is ready. A JVM interprets code that it has not run often: on a fraction of a core the first
 * clients would wait for seconds and be rejected, and the decision module would take the delay for
 * slow backends. The warm-up also covers other slow first uses (class loading, compilation,
 * buffers). It has its own dispatcher and decision module, so that no state remains, and opens no
 * socket. Its duration is bounded: a front door that is missing for longer than it would be slow is
 * worse than a cold one.
 */
final class FrontDoorWarmUp implements ClientHandler.Owner {
  private static final int REQUESTS = 250;
  private static final int CLIENTS = 4;
  private static final long MAX_DURATION_MS = 2_000;
  private static final long BACKEND_ID = 1;
  private static final int CUSTOMERS = 16;
  private static final ByteBuf SERVED_PREFIX =
      Unpooled.unreleasableBuffer(Unpooled.copiedBuffer("HTTP/1.1 200", StandardCharsets.US_ASCII));

  private final EventLoop loop;
  private final GatewaySettingsReader reader;
  private final Gateway.Settings settings;
  private final List<String> classes;
  private final List<String> plans;
  private final RequestValidator validator;
  private final BackendPool pool;
  private final Dispatcher dispatcher;
  private final ChannelGroup channels;
  private final LocalAddress backend = new LocalAddress(FrontDoorWarmUp.class);
  private final LocalAddress door = new LocalAddress(FrontDoorWarmUp.class);
  private Runnable onFinished;
  private long startedAt;
  private int sent;
  private int answered;
  private int served;

  FrontDoorWarmUp(EventLoop loop, GatewaySettingsReader reader, Gateway.Settings settings) {
    this.loop = loop;
    this.reader = reader;
    this.settings = settings;
    classes = reader.names("Services");
    plans = reader.names("TiersOfService");
    validator = new RequestValidator(reader, settings);
    channels = new DefaultChannelGroup(loop);
    pool =
        new BackendPool(
            loop,
            new BackendReport.Reader(reader),
            new Bootstrap().group(loop).channel(LocalChannel.class),
            Long.MAX_VALUE,
            CLIENTS * 2);
    dispatcher =
        new Dispatcher(
            loop,
            new EventLoopClock(),
            RequestLimiter.NONE,
            List.of(pool),
            reader,
            settings,
            FrontDoor.GATEWAY_FACTORY);
  }

  /**
   * Runs on the loop, interleaved with its other work; then, or after {@link #MAX_DURATION_MS},
   * calls {@code onFinished}.
   */
  void start(Runnable onFinished) {
    this.onFinished = onFinished;
    startedAt = System.nanoTime();
    loop.schedule(this::end, MAX_DURATION_MS, TimeUnit.MILLISECONDS);
    dispatcher.endpointsUpdated(
        true,
        List.of(
            new Endpoint(BACKEND_ID, "", backend, "", "", 0, Gateway.DiscoveryState.READY, 1, 0)));
    listen(
        backend,
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel made) {
            channels.add(made);
            made.pipeline().addLast(new SyntheticBackend());
          }
        });
    listen(
        door,
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel made) {
            channels.add(made);
            ClientHandler.add(made.pipeline(), FrontDoorWarmUp.this, validator, dispatcher, pool);
          }
        });
    for (int i = 0; i < CLIENTS; i++) {
      channels.add(
          new Bootstrap()
              .group(loop)
              .channel(LocalChannel.class)
              .handler(new SyntheticClient())
              .connect(door)
              .channel());
    }
  }

  private void listen(LocalAddress address, ChannelInitializer<Channel> children) {
    channels.add(
        new ServerBootstrap()
            .group(loop)
            .channel(LocalServerChannel.class)
            .childHandler(children)
            .bind(address)
            .channel());
  }

  private void end() {
    if (onFinished != null) {
      Runnable next = onFinished;
      onFinished = null;
      channels.close();
      Log.line(
          "dry run: "
              + served
              + " served of "
              + answered
              + " answered in "
              + (System.nanoTime() - startedAt) / 1_000_000
              + " ms");
      next.run();
    }
  }

  int served() {
    return served;
  }

  /** A request of each class and plan in turn, small enough for the smallest quota. */
  private String request(int number) {
    int kind = number % classes.size();
    boolean get = settings.classes().get(kind).idempotency() == Gateway.Idempotency.IDEMPOTENT;
    String body = get ? "" : "dry run";
    return (get ? "GET" : "POST")
        + " /api HTTP/1.1\r\nHost: service.internal\r\n"
        + "X-Txn: %016x\r\nX-Lane: %s\r\nX-Plan: %s\r\nX-Customer: %016x\r\nX-Remaining-Ms: 1000\r\n"
            .formatted(
                number, classes.get(kind), plans.get(number / 2 % plans.size()), number % CUSTOMERS)
        + (get ? "" : "Content-Length: " + body.length() + "\r\n")
        + "X-Quota: units=1,spread=1,first=0\r\n\r\n"
        + body;
  }

  private static void write(ChannelHandlerContext context, String text) {
    context.writeAndFlush(ByteBufUtil.writeAscii(context.alloc(), text));
  }

  /** A client that sends its next request when the previous one is answered. */
  private final class SyntheticClient extends ChannelInboundHandlerAdapter {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      write(context, request(sent++));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf read = (ByteBuf) message;
      served += ByteBufUtil.indexOf(SERVED_PREFIX, read) == 0 ? 1 : 0;
      read.release();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      if (++answered >= REQUESTS) {
        end();
      } else if (sent < REQUESTS) {
        write(context, request(sent++));
      }
    }
  }

  /** A backend that answers each request at once, with every response header. */
  private final class SyntheticBackend extends ChannelInboundHandlerAdapter {
    private final String answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nX-Quota-Used: 10\r\nX-Units-Charged: 1\r\n"
            + "X-Pressure: "
            + String.join("=0,", reader.loadReportFields())
            + "=0\r\n\r\ndry run";

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ReferenceCountUtil.release(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      write(context, answer);
    }
  }

  // ---- Owner of the client connections
  // ----------------------------------------------------------------

  @Override
  public boolean ready() {
    return true;
  }

  @Override
  public boolean draining() {
    return false;
  }

  @Override
  public void connectionOpened(ClientHandler connection) {}

  @Override
  public void connectionClosed(ClientHandler connection) {}
}
