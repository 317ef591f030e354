package nettletrail.fleet.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One caller's connection: hands its calls on as they come and writes their answers in the same
 * order. An answer may wait for that of an earlier call, so whether it is still valid is checked
 * when it is written.
 */
final class ControlConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final Logger LOG = LoggerFactory.getLogger(ControlConnection.class);

  /** Takes the calls of all connections. */
  interface Desk {
    /** A call that can be read; the answer comes to {@link Call#answer}. */
    void take(Call call, ControlRequest request);

    /** The caller has left; the call needs no answer. */
    void forget(Call call);
  }

  private final Desk desk;
  private final ControlSettings settings;
  private final Deque<Call> waiting = new ArrayDeque<>();
  private final RequestClock clock;
  private final LongSupplier steadyClock;
  private Channel channel;

  /** The connection closes with the answer to the last call that was taken. */
  private boolean ending;

  ControlConnection(
      Desk desk, ControlSettings settings, RequestClock clock, LongSupplier steadyClock) {
    this.desk = desk;
    this.settings = settings;
    this.clock = clock;
    this.steadyClock = steadyClock;
  }

  /** One request of this connection and, at some time, its answer. */
  final class Call {
    private final boolean keepAlive;
    private ControlAnswer answer;

    private Call(boolean keepAlive) {
      this.keepAlive = keepAlive;
    }

    /** Answers the call; only the first answer counts. */
    void answer(ControlAnswer given) {
      if (answer == null) {
        answer = given;
        writeAnswers();
      }
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (ending) {
      return; // it would get no answer
    }
    clock.requestEnded(System.nanoTime());
    boolean readable = request.decoderResult().isSuccess();
    Call call = new Call(readable && HttpUtil.isKeepAlive(request));
    ending = !call.keepAlive;
    waiting.addLast(call);
    clock.callsWaiting(waiting.size());
    channel.config().setAutoRead(waiting.size() < settings.maxPipelined());
    if (readable) {
      take(call, request);
    } else {
      refuseUnreadable(call, request.decoderResult().cause());
    }
  }

  /** Whether a call that came before waits for its answer. */
  boolean owesAnswers() {
    return !waiting.isEmpty();
  }

  private static void refuseUnreadable(Call call, Throwable cause) {
    HttpResponseStatus status =
        cause instanceof TooLongHttpContentException
            ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    call.answer(ControlAnswer.error(status, cause.toString()));
  }

  private void take(Call call, FullHttpRequest request) {
    try {
      desk.take(call, ControlRequest.parse(request));
    } catch (BadRequestException failure) {
      refuse(call, failure.getMessage());
    }
  }

  private static void refuse(Call call, String reason) {
    call.answer(ControlAnswer.error(HttpResponseStatus.BAD_REQUEST, reason));
  }

  private void writeAnswers() {
    while (!waiting.isEmpty() && waiting.peekFirst().answer != null) {
      write(waiting.removeFirst());
    }
    clock.callsWaiting(waiting.size());
    channel.config().setAutoRead(waiting.size() < settings.maxPipelined());
    channel.flush();
  }

  private void write(Call call) {
    FullHttpResponse response = call.answer.asOf(steadyClock.getAsLong()).toResponse();
    HttpUtil.setKeepAlive(response, call.keepAlive);
    ChannelFuture written = channel.write(response);
    if (!call.keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    waiting.forEach(desk::forget);
    waiting.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.info(
        "{} connection of {} closed: {}",
        LogEvent.CALLER_LOST,
        channel.remoteAddress(),
        cause.toString());
    channel.close();
  }
}
