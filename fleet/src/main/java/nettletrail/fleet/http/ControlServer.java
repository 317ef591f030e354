package nettletrail.fleet.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP/1.1 server of the core.
 *
 * <p>It parses calls, hands them to a {@link ControlCalls} and answers when told. Calls of one
 * connection may be pipelined; their answers keep the order. A call whose caller has left is
 * forgotten, and an answer to it is dropped.
 *
 * <p>Everything happens on one event loop; {@link #listen} and {@link #close} may be called on any
 * thread.
 */
public final class ControlServer {
  private static final Logger LOG = LoggerFactory.getLogger(ControlServer.class);
  private static final int LISTEN_BACKLOG = 1024;
  private static final int MAX_REQUEST_LINE_BYTES = 4096;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final int CHECK_MILLIS = 500;

  private final LongSupplier steadyClock;
  private final EventLoop loop;
  private final ControlSettings settings;
  private final ControlCalls calls;
  private final ControlConnection.Desk desk = new CallDesk();
  private final Map<Long, ControlConnection.Call> openCalls = new HashMap<>();
  private final Map<ControlConnection.Call, Long> callNumbers = new HashMap<>();
  private final Map<Channel, RequestClock> connections = new LinkedHashMap<>();
  private final ScheduledFuture<?> checks;
  private Channel serverChannel;
  private long lastCall;
  private boolean ready;

  /** A server that doesn't listen yet. */
  public ControlServer(EventLoop loop, ControlSettings settings, ControlCalls calls) {
    this(loop, settings, calls, System::nanoTime);
  }

  /** A server whose answers are checked against this clock as they are written. */
  ControlServer(
      EventLoop loop, ControlSettings settings, ControlCalls calls, LongSupplier steadyClock) {
    this.steadyClock = steadyClock;
    this.loop = loop;
    this.settings = settings;
    this.calls = calls;
    this.checks =
        loop.scheduleWithFixedDelay(
            this::checkConnections, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Takes calls.
   *
   * @param address where to listen; port 0 takes any that is free
   * @return done once bound; its channel knows the local address
   */
  public ChannelFuture listen(InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ConnectionInitializer());
    ChannelFuture bound = bootstrap.bind(address);
    loop.execute(() -> serverChannel = bound.channel());
    return bound;
  }

  /**
   * Sets what {@code GET /nettletrail/ready} answers: 200 if ready, 503 if not, as at first. Event
   * loop only.
   */
  public void setReady(boolean ready) {
    requireLoop();
    this.ready = ready;
  }

  /**
   * Answers a call. Event loop only. A call that was answered, or whose caller has left, is left
   * alone.
   *
   * @param call the number under which it was handed over
   * @param json the body; null or empty for an empty object
   */
  public void answer(long call, int status, byte[] json) {
    answer(call, ControlAnswer.of(status, json));
  }

  /**
   * As {@link #answer(long, int, byte[])}, but 503 is written if the steady clock has reached
   * validUntil by the time of writing.
   */
  public void answer(long call, int status, byte[] json, long validUntil) {
    answer(call, ControlAnswer.of(status, json, validUntil));
  }

  private void answer(long call, ControlAnswer answer) {
    requireLoop();
    ControlConnection.Call open = openCalls.remove(call);
    if (open != null) {
      callNumbers.remove(open);
      open.answer(answer);
    }
  }

  /**
   * Answers a call with 307. Event loop only.
   *
   * @param target where the same call is to be made, as {@code http://...}
   */
  public void redirect(long call, String target) {
    answer(call, ControlAnswer.redirect(target));
  }

  /** How many calls wait for their answer. Event loop only. */
  public int openCalls() {
    requireLoop();
    return openCalls.size();
  }

  /** Stops listening and closes all connections, at the event loop's next turn. */
  public void close() {
    loop.execute(
        () -> {
          checks.cancel(false);
          if (serverChannel != null) {
            serverChannel.close();
          }
          List.copyOf(connections.keySet()).forEach(Channel::close);
        });
  }

  private void checkConnections() {
    long now = System.nanoTime();
    List.copyOf(connections.values()).forEach(clock -> clock.check(now));
  }

  private void requireLoop() {
    if (!loop.inEventLoop()) {
      throw new IllegalStateException("the control server is used on its event loop only");
    }
  }

  /** Gives each call its number, and answers those that need nobody else. */
  private final class CallDesk implements ControlConnection.Desk {
    @Override
    public void take(ControlConnection.Call call, ControlRequest request) {
      if (request instanceof ControlRequest.BackendCall backend) {
        calls.backend(open(call), backend.method(), backend.backend());
      } else if (request instanceof ControlRequest.ConfigurationCall change) {
        calls.configuration(open(call), change.method(), change.ifMatch(), change.body());
      } else if (request instanceof ControlRequest.StatusCall status) {
        calls.status(open(call), status.resource());
      } else {
        call.answer(immediateAnswer(request));
      }
    }

    private long open(ControlConnection.Call call) {
      lastCall++;
      openCalls.put(lastCall, call);
      callNumbers.put(call, lastCall);
      return lastCall;
    }

    private ControlAnswer immediateAnswer(ControlRequest request) {
      if (request instanceof ControlRequest.WrongMethod wrong) {
        return ControlAnswer.wrongMethod(wrong.allowedNames());
      }
      if (request instanceof ControlRequest.ReadyCall) {
        return ready
            ? ControlAnswer.of(HttpResponseStatus.OK.code(), null)
            : ControlAnswer.error(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready yet");
      }
      return ControlAnswer.error(HttpResponseStatus.NOT_FOUND, "no such path");
    }

    @Override
    public void forget(ControlConnection.Call call) {
      Long number = callNumbers.remove(call);
      if (number != null) {
        openCalls.remove(number);
      }
    }
  }

  /** Sets up each connection, within the bound on their count. */
  private final class ConnectionInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      if (connections.size() >= settings.maxConnections()) {
        LOG.warn(
            "{} connection of {} refused: {} are open",
            LogEvent.CALLER_REFUSED,
            channel.remoteAddress(),
            connections.size());
        channel.close();
        return;
      }
      RequestClock clock = new RequestClock(settings);
      connections.put(channel, clock);
      channel.closeFuture().addListener(closed -> connections.remove(channel));
      ControlConnection connection = new ControlConnection(desk, settings, clock, steadyClock);
      channel
          .pipeline()
          .addLast(clock)
          .addLast(
              new HttpServerCodec(
                  MAX_REQUEST_LINE_BYTES, settings.maxHeaderBytes(), MAX_CHUNK_BYTES))
          .addLast(new CallAggregator(settings.maxBodyBytes(), connection::owesAnswers))
          .addLast(new FlowControlHandler())
          .addLast(connection);
    }
  }
}
