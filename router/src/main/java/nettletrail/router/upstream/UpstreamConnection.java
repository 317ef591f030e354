package nettletrail.router.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import nettletrail.router.upstream.BackendChannels.Ride;
import nettletrail.upstream.AnswerDecoder;
import nettletrail.upstream.PeekingChannel;

/** One connection to a backend; it carries one request at a time. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter
    implements ChannelFutureListener {
  private static final String ATTEMPT_ID = "X-Attempt-Id";

  private enum Echo {
    OURS,
    /** Of an earlier request on this connection. */
    EARLIER,
    UNPROVEN
  }

  private final BackendChannels backend;
  private final UpstreamPool pool;
  private final AnswerDecoder decoder = new AnswerDecoder();
  private final WriteMonitor monitor = new WriteMonitor();
  private Channel channel;

  /** From where on there are only bytes. */
  private ChannelHandlerContext wire;

  private Ride ride;

  /** Done when the last byte of the request is in the kernel's hands, or never will be. */
  private ChannelFuture write;

  private boolean used;
  private HttpResponse head;
  private AnswerFraming framing;

  /** What is read belongs to an answer of an earlier request. */
  private boolean skipping;

  private boolean skipped;
  private long idleSince;

  /**
   * For how long it had stood idle when its request came; -1 if that is its first, or once it is
   * told.
   */
  private long idleAge = -1;

  private long idleLimit = IdleLimit.DEFAULT_NANOS;
  private boolean resting;
  private long restEnd;

  UpstreamConnection(BackendChannels backend, UpstreamPool pool) {
    this.backend = backend;
    this.pool = pool;
  }

  void addTo(Channel opened) {
    channel = opened;
    opened.pipeline().addLast(monitor, decoder, this);
    wire = opened.pipeline().context(decoder);
  }

  BackendChannels backend() {
    return backend;
  }

  /**
   * Sends a request if it still wants to be sent.
   *
   * @return whether the connection is taken
   */
  boolean carry(Ride next) {
    next.boarded(this);
    ride = next;
    write = null;
    head = null;
    if (!next.attempt.confirmSend()) {
      boolean still = ride == next;
      ride = null;
      next.left();
      if (!still || !channel.isActive()) {
        return true; // cancelled meanwhile, and closed by that
      }
      return false;
    }
    decoder.expectAnswerTo(next.attempt.isHeadRequest());
    idleAge = used ? System.nanoTime() - idleSince : -1;
    monitor.beginRequest();
    write = next.attempt.head().writeTo(wire, next.attempt.body(), channel.newProgressivePromise());
    write.addListener(this);
    return true;
  }

  @Override
  public void operationComplete(ChannelFuture done) {
    if (!done.isSuccess()) {
      channel.close();
    }
  }

  /**
   * Whether the whole request is in the kernel's hands, so that the next bytes on this connection
   * may be another one's. Asked of the promise itself, whose listeners may hear of it later.
   */
  private boolean isWritten() {
    return write != null && write.isSuccess();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (ride == null) {
        channel.close(); // nobody asked: the next request would get another's answer
        return;
      }
      if (((HttpObject) message).decoderResult().isFailure()) {
        garbled();
        return;
      }
      if (message instanceof HttpResponse start) {
        began(start);
      }
      if (message instanceof HttpContent content && head != null) {
        take(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  /** An answer may come before the whole request is written; what it says counts all the same. */
  private void began(HttpResponse start) {
    head = start;
    framing = AnswerFraming.of(start, ride.attempt.isHeadRequest());
    if (framing == AnswerFraming.AMBIGUOUS) {
      garbled();
      return;
    }
    if (isInformational(start)) {
      return;
    }
    switch (echoOf(start)) {
      case OURS -> ride.attempt.answerBegan(start);
      case EARLIER -> {
        skipping = true; // ours comes behind it
        skipped = true;
      }
      case UNPROVEN -> garbled();
    }
  }

  /**
   * Whose answer one is, by the id that it echoes. Without an id, on a connection that was used
   * before, it may be a late one to an earlier request.
   */
  private Echo echoOf(HttpResponse start) {
    String expected = ride.attempt.attemptId();
    String echoed = start.headers().get(ATTEMPT_ID);
    if (expected == null || expected.equals(echoed) || echoed == null && !used) {
      return Echo.OURS;
    }
    return echoed != null && used && !skipped ? Echo.EARLIER : Echo.UNPROVEN;
  }

  private void take(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (isInformational(head)) {
      head = last ? null : head;
    } else if (skipping) {
      skipping = !last;
      head = last ? null : head;
    } else {
      if (content.content().isReadable()) {
        ride.attempt.answerContent(content.content());
      }
      if (last && ride != null) {
        answered();
      }
    }
  }

  /**
   * The backend has ended its side in good order. The decoder has heard of it before: it has ended
   * an answer that ends with its connection.
   */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      channel.close();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (ride != null) {
      ride.attempt.answerFlush();
    }
  }

  private void tellIdleAge(boolean broke) {
    if (idleAge >= 0) {
      pool.idleAges().used(idleAge, broke, System.nanoTime());
      idleAge = -1;
    }
  }

  private void answered() {
    tellIdleAge(false);
    Ride ended = ride;
    HttpResponse answer = head;
    ride = null;
    head = null;
    ended.left();
    used = true;
    long now = System.nanoTime();
    idleLimit = IdleLimit.of(answer);
    channel.config().setAutoRead(true);
    if (mayBeUsedAfter(answer) && channel.isActive()) {
      idleSince = now;
      backend.answered(this, now);
    } else {
      channel.close();
    }
    ended.attempt.answerEnded();
  }

  private boolean mayBeUsedAfter(HttpResponse answer) {
    boolean bothEnded = isWritten() && !decoder.hasMore() && !skipped;
    boolean kept = HttpUtil.isKeepAlive(answer) && framing != AnswerFraming.UNTIL_CLOSE;
    return bothEnded && kept && idleLimit > 0;
  }

  private void garbled() {
    Ride ended = ride;
    ride = null;
    ended.left();
    channel.close();
    ended.attempt.failed(failureAfterWrite(AttemptFailure.GARBLED));
  }

  /** What a failure proves: nothing once a byte of the request may have left. */
  private AttemptFailure failureAfterWrite(AttemptFailure ifBegun) {
    return monitor.hasBegun() ? ifBegun : AttemptFailure.NOT_WRITTEN;
  }

  private static boolean isInformational(HttpResponse answer) {
    return answer.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  /** Comes before the decoder hears of the end. */
  void closed() {
    Ride broken = ride;
    if (broken != null && head == null && !decoder.hasMore()) {
      tellIdleAge(true);
    }
    ride = null;
    backend.closed(this);
    if (broken != null) {
      broken.left();
      broken.attempt.failed(failureAfterWrite(AttemptFailure.BROKEN));
    }
  }

  void setReading(boolean on) {
    channel.config().setAutoRead(on);
  }

  /** Closes it under its request. */
  void abort() {
    ride = null;
    channel.close();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    channel.close();
  }

  void close() {
    channel.close();
  }

  boolean isOpen() {
    return channel != null && channel.isActive();
  }

  /** Whether nothing has come on it that is not read yet, its end included; to be closed if not. */
  boolean isQuiet() {
    return channel.isActive() && (!(channel instanceof PeekingChannel socket) || socket.quiet());
  }

  boolean isFresh(long now) {
    long age = now - idleSince;
    return age < idleLimit && (!used || age <= pool.idleAges().most(now));
  }

  void idleFrom(long now) {
    if (!used) {
      idleSince = now;
    }
  }

  long idleSince() {
    return idleSince;
  }

  void restUntil(long end) {
    resting = true;
    restEnd = end;
  }

  void endRest() {
    resting = false;
  }

  boolean isResting() {
    return resting;
  }

  long restEnd() {
    return restEnd;
  }
}
