package nettletrail.router;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import java.util.function.Supplier;
import nettletrail.configuration.Limits;
import nettletrail.core.PendingInput;
import nettletrail.http.LingeringClose;
import nettletrail.http.RequestAggregator;
import nettletrail.http.RequestHeadValidator;

/**
 * One connection of a client, the last handler of its pipeline. Dispatches its requests one at a
 * time in the order of their arrival; pipelined ones are queued up to a limit, above which the
 * socket is not read. All on the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter
    implements ExpectContinueHandler.Connection,
        RequestBodyAdmission.Connection,
        ClientResponder.Connection {
  private final ClientConnectionOwner owner;
  private final HeaderLimitHandler headerLimit;
  private final ExpectContinueHandler expectations = new ExpectContinueHandler(this);
  private final PartialRequestTracker partial = new PartialRequestTracker();
  private final PipelinedRequests pipelined = new PipelinedRequests();
  private Channel channel;
  private ResponseWriter writer;
  private ClientResponder responder;
  private ClientTimeouts timeouts;

  /** Of the request that is not answered yet; null if there is none. */
  private Exchange current;

  /** The client sent its last request, or one that can't be parsed: no more are accepted. */
  private boolean closing;

  /** The last response is being written: no more requests are dispatched. */
  private boolean ended;

  private boolean dispatching;

  /** The request that is being read is answered already; the rest of it is dropped. */
  private boolean answeredUnread;

  /** A complete request was read since the last {@link #channelReadComplete}. */
  private boolean requestRead;

  private ClientConnection(ClientConnectionOwner owner, Supplier<Limits> limits) {
    this.owner = owner;
    headerLimit = new HeaderLimitHandler(() -> limits.get().headerBytes());
  }

  /** Adds all handlers of a client connection to a new channel's pipeline. */
  static void addTo(
      ChannelPipeline pipeline,
      ClientConnectionOwner owner,
      Supplier<Limits> limits,
      BufferMemory memory) {
    ClientConnection connection = new ClientConnection(owner, limits);
    // Bodies are limited before the aggregator, by the configuration in force.
    RequestAggregator aggregator =
        new RequestAggregator(Integer.MAX_VALUE, connection::rejectTooLarge);
    // The encoder is for the aggregator's 100 Continue; responses are written from before it.
    pipeline.addLast(
        connection.headerLimit,
        connection.headerLimit.decoder(),
        connection.partial,
        new RequestBodyAdmission(memory, () -> limits.get().bodyBytes(), connection),
        new HttpResponseEncoder(),
        connection.expectations,
        aggregator,
        connection);
    connection.writer = new ResponseWriter(pipeline.context(connection.headerLimit));
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    responder = new ClientResponder(channel, writer, this);
    timeouts = new ClientTimeouts(channel, this, writer, partial, owner);
    owner.opened(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    disconnected();
  }

  /** May be called twice: by {@link #isClientConnected} and by the channel's own event. */
  private void disconnected() {
    owner.closed(this);
    pipelined.releaseAll();
    writer.drop();
    Exchange unanswered = current;
    current = null;
    if (unanswered != null) {
      unanswered.clientDisconnected();
    }
  }

  /** The writer of the response to the current request. */
  ClientResponder responder() {
    return responder;
  }

  /** The connection's time limits. */
  ClientTimeouts timeouts() {
    return timeouts;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (ended || closing || !(message instanceof FullHttpRequest request)) {
      ReferenceCountUtil.release(message);
      return;
    }
    requestRead = true;
    expectations.bodyReceived();
    partial.resetFirstBytes();
    pipelined.add(request, partial.headArrivedAt());
    closing = !HttpUtil.isKeepAlive(request) || ClientRequest.isHttp10(request);
    if (pipelined.isFull() || pipelined.hasMaxBytes() && current != null) {
      channel.config().setAutoRead(false);
    }
  }

  /** Dispatches here and not while bytes are decoded, so that the socket may be read again. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    boolean bytesRead = headerLimit.decoder().pollBytesReceived();
    if (bytesRead && !requestRead && current == null && pipelined.isEmpty()) {
      partial.bytesRead();
    }
    requestRead = false;
    dispatchNext();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (current != null) {
      current.clientWritable(channel.isWritable());
    } else {
      dispatchNext();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    channel.close();
  }

  /** Iterates, since an immediate response would otherwise recurse for each pipelined request. */
  private void dispatchNext() {
    if (dispatching) {
      return;
    }
    dispatching = true;
    try {
      while (current == null && !ended && channel.isActive() && channel.isWritable()) {
        PipelinedRequests.Pipelined next = pipelined.poll();
        if (next == null) {
          break;
        }
        if (!channel.config().isAutoRead()) {
          channel.config().setAutoRead(true);
        }
        dispatch(next.request(), next.arrivedAt());
      }
    } finally {
      dispatching = false;
    }
  }

  private void dispatch(FullHttpRequest request, long arrivedAt) {
    ClientRequestValidator.Invalid invalid = ClientRequestValidator.validate(request);
    if (invalid != null) {
      closing |= invalid.closesConnection();
      request.release();
      responder.reject(new Rejection(invalid.status(), 0));
      return;
    }
    String target = RequestHeadValidator.normalizeTarget(request.method(), request.uri());
    current = owner.createExchange(this, new ClientRequest(request, target, arrivedAt));
    owner.start(current);
  }

  @Override
  public boolean hasPendingResponses() {
    return current != null || !pipelined.isEmpty() || closing || ended;
  }

  @Override
  public void rejectUnread(HttpResponseStatus status) {
    if (!ended && current == null && pipelined.isEmpty()) {
      rejectAndClose(status);
    } else if (!ended) {
      closing = true; // closes after the responses to the earlier requests
      LingeringClose.discardInput(channel.pipeline());
    }
  }

  @Override
  public void rejectTooLarge() {
    rejectUnread(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
  }

  @Override
  public void rejectUnadmitted() {
    if (ended || closing) {
      return;
    }
    if (current == null && pipelined.isEmpty()) {
      answeredUnread = true;
      responder.reject(owner.withoutMemory());
    } else {
      closing = true; // closes after the responses to the earlier requests
      LingeringClose.discardInput(channel.pipeline());
    }
  }

  @Override
  public void unadmittedRequestEnded() {
    answeredUnread = false;
    requestRead = true;
    partial.resetFirstBytes();
  }

  @Override
  public void rejectIncomplete() {
    if (!ended && current == null && pipelined.isEmpty()) {
      closing = true;
      responder.reject(owner.withoutMemory());
    } else if (!ended) {
      closing = true; // closes after the responses to the earlier requests
      LingeringClose.discardInput(channel.pipeline());
    }
  }

  /** The rest of an incomplete request takes too long. */
  void rejectOverdue() {
    if (answeredUnread) {
      channel.close();
    } else {
      rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
    }
  }

  /** Writes a last response to a request that was not dispatched. */
  void rejectAndClose(HttpResponseStatus status) {
    closing = true;
    responder.reject(new Rejection(status, 0));
  }

  /**
   * Whether the client is still connected, after reading all that has arrived on the socket. Not to
   * be called while bytes are decoded.
   */
  boolean isClientConnected() {
    if (channel.isActive()) {
      PendingInput.readAll(channel);
      if (!channel.isActive()) {
        disconnected(); // the channel's own event comes in a later turn of the loop
      }
    }
    return channel.isActive();
  }

  @Override
  public boolean closesAfterResponse() {
    return pipelined.isEmpty() && (closing || owner.isDraining());
  }

  @Override
  public void responseEnded(boolean last) {
    ended |= last;
    current = null;
    timeouts.responseEnded();
    dispatchNext();
    if (!hasPendingResponses()) {
      expectations.allResponsesSent();
    }
  }

  @Override
  public void responseBroken() {
    ended = true;
    current = null;
  }

  /** Whether the last response is written or being written. */
  boolean hasEnded() {
    return ended;
  }

  /** Whether there is no complete request and another one may arrive. */
  boolean awaitsRequest() {
    return !ended && current == null && pipelined.isEmpty();
  }
}
