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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import nettletrail.upstream.IdleTimeoutEstimator;
import nettletrail.upstream.PeekingChannel;
import nettletrail.upstream.ResponseDecoder;

/**
 * One connection to a backend, the last handler of its pipeline. Carries one request at a time. All
 * on the event loop.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter
    implements ChannelFutureListener {
  private final BackendConnectionPool backend;
  private final ResponseDecoder decoder = new ResponseDecoder();
  private final WriteMonitor writeMonitor = new WriteMonitor();
  private final ResponseMatcher matcher = new ResponseMatcher();
  private final ConnectionReuse reuse;
  private Channel channel;

  /** The decoder's context: bytes written from here pass no HTTP handler. */
  private ChannelHandlerContext byteContext;

  /** The attempt that it carries, or null. */
  private PooledAttempt current;

  /** Done once the kernel has accepted the request's last byte, or the write has failed. */
  private ChannelFuture write;

  UpstreamConnection(BackendConnectionPool backend, IdleTimeoutEstimator idleTimeoutEstimator) {
    this.backend = backend;
    reuse = new ConnectionReuse(idleTimeoutEstimator);
  }

  /** Adds its handlers to a new channel. */
  void initChannel(Channel opened) {
    channel = opened;
    opened.pipeline().addLast(writeMonitor, decoder, this);
    byteContext = opened.pipeline().context(decoder);
  }

  BackendConnectionPool backend() {
    return backend;
  }

  ConnectionReuse reuse() {
    return reuse;
  }

  /**
   * Sends an attempt's request if it confirms.
   *
   * @return whether the connection is in use or closed; if false, it is free
   */
  boolean carry(PooledAttempt next) {
    next.assignedTo(this);
    current = next;
    write = null;
    matcher.requestStarted();
    Attempt attempt = next.attempt();
    if (!attempt.confirmSend()) {
      return isClosedAfterRejection(next);
    }
    decoder.expectResponseTo(attempt.isHeadRequest());
    reuse.requestSent();
    writeMonitor.beginRequest();
    write = attempt.head().writeTo(byteContext, attempt.body(), channel.newProgressivePromise());
    write.addListener(this);
    return true;
  }

  /** The attempt may have been cancelled while it was asked, which closes the connection. */
  private boolean isClosedAfterRejection(PooledAttempt rejecting) {
    boolean stillAssigned = current == rejecting;
    current = null;
    rejecting.detached();
    return !stillAssigned || !channel.isActive();
  }

  @Override
  public void operationComplete(ChannelFuture done) {
    if (!done.isSuccess()) {
      channel.close();
    }
  }

  /**
   * Whether the complete request is in the kernel's hands, so that another may follow. Reads the
   * promise itself, since its listeners may be notified later.
   */
  private boolean isWritten() {
    return write != null && write.isSuccess();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (current == null) {
        channel.close(); // unsolicited: the next request would get another one's response
        return;
      }
      if (((HttpObject) message).decoderResult().isFailure()) {
        failInvalid();
        return;
      }
      if (message instanceof HttpResponse start) {
        readHead(start);
      }
      if (message instanceof HttpContent content && matcher.isInResponse()) {
        readContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  /** A response may precede the end of the request's write; it is valid all the same. */
  private void readHead(HttpResponse start) {
    Attempt attempt = current.attempt();
    switch (matcher.responseStarted(start, attempt, reuse.isUsed())) {
      case CURRENT -> attempt.responseStarted(start);
      case INVALID -> failInvalid();
      case SKIPPED -> {} // the final response follows
    }
  }

  private void readContent(HttpContent content) {
    if (!matcher.matchesContent(content)) {
      return;
    }
    if (content.content().isReadable()) {
      current.attempt().responseContent(content.content());
    }
    if (content instanceof LastHttpContent && current != null) {
      endResponse();
    }
  }

  /**
   * The backend closed its side in order. The decoder was notified before: it has ended a response
   * that ends with its connection.
   */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      channel.close();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (current != null) {
      current.attempt().responseReadComplete();
    }
  }

  private void endResponse() {
    reuse.reportIdleAge(false);
    PooledAttempt ended = current;
    current = null;
    HttpResponse response = matcher.responseEnded();
    ended.detached();
    long now = System.nanoTime();
    reuse.responseEnded(KeepAliveTimeout.nanosOf(response));
    channel.config().setAutoRead(true);
    if (isReusableAfter(response) && channel.isActive()) {
      reuse.idleFrom(now);
      backend.responseEnded(this, now);
    } else {
      channel.close();
    }
    ended.attempt().responseEnded();
  }

  private boolean isReusableAfter(HttpResponse response) {
    boolean bothEnded = isWritten() && !decoder.hasUndecodedBytes() && !matcher.hasSkipped();
    boolean keptAlive = HttpUtil.isKeepAlive(response) && !matcher.endsWithConnection();
    return bothEnded && keptAlive && reuse.isKeptAlive();
  }

  private void failInvalid() {
    PooledAttempt failed = current;
    current = null;
    failed.detached();
    channel.close();
    failed.attempt().failed(failureAfterWrite(AttemptFailure.INVALID_RESPONSE));
  }

  /** Only a request of which no byte was written provably has not run. */
  private AttemptFailure failureAfterWrite(AttemptFailure ifWritten) {
    return writeMonitor.hasBegun() ? ifWritten : AttemptFailure.NOT_WRITTEN;
  }

  /** The channel has closed; called before the decoder is notified. */
  void closed() {
    PooledAttempt lost = current;
    if (lost != null && !matcher.isInResponse() && !decoder.hasUndecodedBytes()) {
      reuse.reportIdleAge(true);
    }
    current = null;
    backend.closed(this);
    if (lost != null) {
      lost.detached();
      lost.attempt().failed(failureAfterWrite(AttemptFailure.CONNECTION_LOST));
    }
  }

  void setReading(boolean on) {
    channel.config().setAutoRead(on);
  }

  /** Closes the connection under a cancelled attempt. */
  void abort() {
    current = null;
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

  /** Whether the socket has neither unread bytes nor an unread end. */
  boolean hasNothingUnread() {
    return channel.isActive()
        && (!(channel instanceof PeekingChannel socket) || socket.hasNothingUnread());
  }

  /**
   * It waits for a request: a new connection is idle from now on, a used one since its response.
   */
  void becomesIdle(long now) {
    if (!reuse.isUsed()) {
      reuse.idleFrom(now);
    }
  }
}
