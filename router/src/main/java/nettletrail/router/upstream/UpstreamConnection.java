package nettletrail.router.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import nettletrail.router.text.DecimalNumber;
import nettletrail.router.upstream.BackendChannels.Ride;
import nettletrail.upstream.AnswerDecoder;
import nettletrail.upstream.PeekingChannel;

/** One connection to a backend; it carries one request at a time. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter
    implements ChannelFutureListener {
  private static final String ATTEMPT_ID = "X-Attempt-Id";
  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final String TIMEOUT = "timeout=";

  /** For how long a connection is used whose backend does not say when it closes idle ones. */
  private static final long DEFAULT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /**
   * Sooner than the backend by that: a request that crosses its close is lost, and may have run.
   */
  private static final long IDLE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private enum Echo {
    OURS,
    /** Of an earlier request on this connection. */
    EARLIER,
    UNPROVEN
  }

  private final BackendChannels backend;
  private final UpstreamPool pool;
  private final AnswerDecoder decoder = new AnswerDecoder();
  private Channel channel;

  /** From where on there are only bytes. */
  private ChannelHandlerContext wire;

  private Ride ride;

  /** Done when the last byte of the request is in the kernel's hands, or never will be. */
  private ChannelFuture write;

  private boolean used;
  private HttpResponse head;

  /** What is read belongs to an answer of an earlier request. */
  private boolean skipping;

  private boolean skipped;
  private long idleSince;

  /**
   * For how long it had stood idle when its request came; -1 if that is its first, or once it is
   * told.
   */
  private long idleAge = -1;

  private long idleLimit = DEFAULT_IDLE_NANOS;
  private boolean resting;
  private long restEnd;

  UpstreamConnection(BackendChannels backend, UpstreamPool pool) {
    this.backend = backend;
    this.pool = pool;
  }

  void addTo(Channel opened) {
    channel = opened;
    opened.pipeline().addLast(decoder, this);
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
    write = next.attempt.head().writeTo(wire, next.attempt.body(), channel.newPromise());
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
   * Whether the whole request is in the kernel's hands: from then on it may have run. Asked of the
   * promise itself, whose listeners may hear of it later.
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

  private void began(HttpResponse start) {
    head = start;
    if (isInformational(start)) {
      return;
    }
    if (!hasEnd(start) || !isWritten() && !isNotRun(start)) {
      garbled(); // a backend begins a request when its last byte has come
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

  /** Whose answer one is, by the id that it echoes. */
  private Echo echoOf(HttpResponse start) {
    String expected = ride.attempt.attemptId();
    String echoed = start.headers().get(ATTEMPT_ID);
    if (expected == null || expected.equals(echoed)) {
      return Echo.OURS;
    }
    if (echoed == null) {
      // A late one to an earlier request would have this one sent again.
      return used && isNotRun(start) ? Echo.UNPROVEN : Echo.OURS;
    }
    return used && !skipped ? Echo.EARLIER : Echo.UNPROVEN;
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
    idleLimit = idleLimitOf(answer);
    channel.config().setAutoRead(true);
    boolean reusable =
        isWritten()
            && HttpUtil.isKeepAlive(answer)
            && !decoder.hasMore()
            && !skipped
            && idleLimit > 0;
    if (reusable && channel.isActive()) {
      idleSince = now;
      backend.answered(this, now);
    } else {
      channel.close();
    }
    ended.attempt.answerEnded();
  }

  private void garbled() {
    Ride ended = ride;
    boolean sent = isWritten();
    ride = null;
    ended.left();
    channel.close();
    ended.attempt.failed(sent ? AttemptFailure.GARBLED : AttemptFailure.NOT_WRITTEN);
  }

  private static boolean isInformational(HttpResponse answer) {
    return answer.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  /** To be turned away needs no whole request. */
  private static boolean isNotRun(HttpResponse answer) {
    return answer.headers().contains("X-Not-Run")
        || answer.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
  }

  /**
   * An answer ends with its length or its last chunk; the end of the connection could as well be a
   * break.
   */
  private boolean hasEnd(HttpResponse answer) {
    int status = answer.status().code();
    return HttpUtil.isTransferEncodingChunked(answer)
        || HttpUtil.isContentLengthSet(answer)
        || status == HttpResponseStatus.NO_CONTENT.code()
        || status == HttpResponseStatus.NOT_MODIFIED.code()
        || ride.attempt.isHeadRequest();
  }

  /** For how long it may stand idle: what the backend tells of, less a margin. */
  private static long idleLimitOf(HttpResponse answer) {
    String told = answer.headers().get(KEEP_ALIVE);
    if (told == null) {
      return DEFAULT_IDLE_NANOS;
    }
    int at = told.indexOf(TIMEOUT);
    long seconds = at < 0 ? -1 : DecimalNumber.parseLeading(told, at + TIMEOUT.length());
    return seconds < 0 ? DEFAULT_IDLE_NANOS : TimeUnit.SECONDS.toNanos(seconds) - IDLE_MARGIN_NANOS;
  }

  /** Comes before the decoder hears of the end. */
  void closed() {
    Ride broken = ride;
    boolean sent = isWritten();
    if (broken != null && head == null && !decoder.hasMore()) {
      tellIdleAge(true);
    }
    ride = null;
    backend.closed(this);
    if (broken != null) {
      broken.left();
      broken.attempt.failed(sent ? AttemptFailure.BROKEN : AttemptFailure.NOT_WRITTEN);
    }
  }

  void setReading(boolean on) {
    channel.config().setAutoRead(on);
  }

  /** Closes it under its request; whether that may have run. */
  boolean abort() {
    boolean sent = isWritten();
    ride = null;
    channel.close();
    return sent;
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
