package nettletrail.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import nettletrail.core.AttemptTransport;
import nettletrail.core.Authorizer;
import nettletrail.core.Dispatcher;
import nettletrail.core.HeaderLookup;
import nettletrail.core.InboundRequest;
import nettletrail.core.PendingInput;
import nettletrail.core.RequestClient;
import nettletrail.core.RequestValidator;
import nettletrail.upstream.BackendPool;
import nettletrail.upstream.HeadBytes;

/**
 * One client connection: its requests are validated and dispatched one at a time, and each gets one
 * final response, in the order in which they arrived. Used on the event loop of the channel.
 */
public final class ClientHandler extends ChannelInboundHandlerAdapter implements RequestClient {
  /**
   * Limits of the requests queued behind the current one and of their bodies; requests beyond are
   * rejected in turn.
   */
  private static final int MAX_QUEUED_REQUESTS = 64;

  private static final int MAX_QUEUED_BYTES = 128 << 10;

  /**
   * Limit of the responses pending behind the queue, of which only the status is kept; input beyond
   * is discarded.
   */
  private static final int MAX_PENDING_STATUSES = 4_096;

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final int EXPECTED_HEAD_BYTES = 128;
  private static final String READY_PATH = "/-/ready";
  private static final byte[] OK_STATUS_LINE = encodeStatusLine(HttpResponseStatus.OK);
  private static final byte[] TOO_MANY_REQUESTS_STATUS_LINE =
      encodeStatusLine(HttpResponseStatus.TOO_MANY_REQUESTS);
  private static final byte[] CONTENT_LENGTH = HeadBytes.constant("\r\ncontent-length: ");
  private static final byte[] CONTENT_TYPE = HeadBytes.constant("\r\ncontent-type: ");
  private static final byte[] RETRY_AFTER = HeadBytes.constant("\r\nretry-after: ");
  private static final byte[] WWW_AUTHENTICATE = HeadBytes.constant("\r\nwww-authenticate: ");
  private static final byte[] CLOSE_AND_HEAD_END =
      HeadBytes.constant("\r\nconnection: close\r\n\r\n");
  private static final byte[] HEAD_END = HeadBytes.constant("\r\n\r\n");

  /** The {@link #evictionRank} of a connection that must not be closed to make room. */
  public static final int NOT_EVICTABLE = 3;

  /** The front door as its connections use it: its state, and a listener for their lifecycle. */
  public interface Owner {
    /** Whether the readiness endpoint reports ready. */
    boolean ready();

    /** Whether connections are to be closed after their pending responses. */
    boolean draining();

    /** Called on the event loop when the connection has been opened. */
    void connectionOpened(ClientHandler connection);

    /**
     * Called on the event loop when the connection is closed; may be called twice for one
     * connection.
     */
    void connectionClosed(ClientHandler connection);
  }

  private record QueuedRequest(FullHttpRequest request, long receivedAt) {}

  private final Owner owner;
  private final RequestValidator intake;
  private final Dispatcher dispatcher;
  private final AttemptTransport carrier;
  private final RequestDecoder decoder = new RequestDecoder();
  private final ArrayDeque<QueuedRequest> queued = new ArrayDeque<>();

  /** Responses to requests beyond the queue limits. */
  private final ArrayDeque<HttpResponseStatus> pendingStatuses = new ArrayDeque<>();

  private Channel channel;

  /** The context from which bytes are written without passing an HTTP handler. */
  private ChannelHandlerContext byteContext;

  private Dispatcher.ActiveRequest activeRequest;

  /** The challenge header of the response being written, or null. */
  private String challenge;

  /** A request has been taken from the queue and has no response yet. */
  private boolean requestOpen;

  /**
   * The client requested the close of the connection, or sent too much or what could not be parsed.
   */
  private boolean closeAfterResponses;

  /** The last response has been written: no more requests are handled. */
  private boolean lastResponseWritten;

  /** At least one complete request was received on the connection. */
  private boolean requestReceived;

  /** A request is being started: input read meanwhile is queued. */
  private boolean startingNext;

  private boolean processingQueue;

  /**
   * The next request is the first one, which may have waited long in the accept queue of the
   * kernel.
   */
  private boolean firstRequest = true;

  private int queuedBytes;
  private long openedAt;

  /** A complete request was read since the last {@link #channelReadComplete}. */
  private boolean requestRead;

  /** Since when a partial request is present, {@link System#nanoTime}; 0 if none is. */
  private long partialSince;

  private long idleSince;

  /** Unwritten bytes at the last timeout check. */
  private long lastUnwrittenBytes;

  private long unwrittenUnchangedSince;

  private ClientHandler(
      Owner owner, RequestValidator intake, Dispatcher dispatcher, AttemptTransport carrier) {
    this.owner = owner;
    this.intake = intake;
    this.dispatcher = dispatcher;
    this.carrier = carrier;
  }

  /** Adds the handlers of a client connection to its pipeline. */
  public static void add(
      ChannelPipeline pipeline,
      Owner owner,
      RequestValidator intake,
      Dispatcher dispatcher,
      AttemptTransport carrier) {
    ClientHandler handler = new ClientHandler(owner, intake, dispatcher, carrier);
    // Only the aggregator uses the encoder, for 100 Continue; responses bypass it.
    pipeline.addLast(
        handler.decoder,
        new HttpResponseEncoder(),
        new RequestAggregator(BackendPool.MAX_BODY_BYTES, handler::bodyTooLarge),
        handler);
    handler.byteContext = pipeline.context(RequestDecoder.class);
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    openedAt = System.nanoTime();
    idleSince = System.nanoTime();
    owner.connectionOpened(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    connectionLost();
  }

  private void connectionLost() {
    owner.connectionClosed(this);
    releaseQueued();
    if (activeRequest != null) {
      Dispatcher.ActiveRequest departed = activeRequest;
      activeRequest = null;
      departed.clientDisconnected();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (lastResponseWritten
        || closeAfterResponses
        || !(message instanceof FullHttpRequest request)) {
      ReferenceCountUtil.release(message);
      return;
    }
    requestRead = true;
    requestReceived = true;
    partialSince = 0;
    int bytes = request.content().readableBytes();
    if (pendingStatuses.isEmpty()
        && queued.size() < MAX_QUEUED_REQUESTS
        && queuedBytes + bytes <= MAX_QUEUED_BYTES) {
      queuedBytes += bytes;
      queued.addLast(new QueuedRequest(request, System.nanoTime()));
      return;
    }
    try {
      queueStatusFor(request);
    } finally {
      request.release();
    }
  }

  /**
   * Every parsed request gets a response; a request beyond the queue limits gets only a status and
   * is not dispatched.
   */
  private void queueStatusFor(FullHttpRequest request) {
    if (pendingStatuses.size() == MAX_PENDING_STATUSES) {
      discardFurtherInput();
      return;
    }
    RequestHeadValidator.HeadError error = RequestHeadValidator.findError(request);
    if (hasInvalidBody(request) || error != null && !error.endKnown()) {
      pendingStatuses.addLast(error == null ? HttpResponseStatus.BAD_REQUEST : error.status());
      discardFurtherInput();
      return;
    }
    pendingStatuses.addLast(error != null ? error.status() : statusWithoutForwarding(request));
    if (!HttpUtil.isKeepAlive(request)) {
      discardFurtherInput();
    }
  }

  private HttpResponseStatus statusWithoutForwarding(FullHttpRequest request) {
    String uri = RequestHeadValidator.normalizeTarget(request.method(), request.uri());
    String path = path(uri);
    if (path.equals(READY_PATH)) {
      return readinessStatus();
    } else if (!isBackendPath(path)) {
      return HttpResponseStatus.NOT_FOUND;
    }
    InboundRequest arrival =
        intake.validate(
            request.method(),
            uri,
            new HeaderLookup(request.headers()),
            request.content(),
            System.nanoTime());
    return arrival == null || !dispatcher.isUnusedId(arrival.requestId())
        ? HttpResponseStatus.BAD_REQUEST
        : HttpResponseStatus.TOO_MANY_REQUESTS;
  }

  /**
   * Discards further input after the requests so far. It is still read, as a disconnect would go
   * unnoticed otherwise.
   */
  private void discardFurtherInput() {
    closeAfterResponses = true;
    LingeringClose.discardInput(channel.pipeline());
  }

  /**
   * Starts the next request; never called while bytes are being decoded. Whether the client has
   * disconnected is only visible behind its request by a further read, which is made before the
   * first byte of an attempt is sent. Where the client may have disconnected long ago, that read is
   * made here, so that no attempt is made for a lost client.
   */
  private void startNext() {
    if (startingNext
        || requestOpen
        || lastResponseWritten
        || queued.isEmpty() && pendingStatuses.isEmpty()) {
      return;
    }
    startingNext = true;
    try {
      boolean mayBeStale = firstRequest || dispatcher.isLoopLate();
      firstRequest = false;
      if (!mayBeStale || readPending()) {
        processQueue();
      }
    } finally {
      startingNext = false;
    }
  }

  @Override
  public boolean readPending() {
    if (channel.isActive()) {
      PendingInput.readAll(channel);
      if (!channel.isActive()) {
        connectionLost(); // the channel reports it only in a later event loop iteration
      }
    }
    return channel.isActive();
  }

  private void releaseQueued() {
    for (QueuedRequest next = queued.pollFirst(); next != null; next = queued.pollFirst()) {
      next.request().release();
    }
    queuedBytes = 0;
    pendingStatuses.clear();
  }

  /** Rejects a request whose body is too large by its head or by its chunks; none of it is kept. */
  void bodyTooLarge() {
    requestRead = true;
    if (!lastResponseWritten && evictionRank() != NOT_EVICTABLE) {
      rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    } else if (!lastResponseWritten) {
      pendingStatuses.addLast(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      discardFurtherInput();
    }
  }

  /**
   * Records since when a partial request is present: a client that stops within a request must time
   * out.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    boolean bytesReceived = decoder.pollBytesReceived();
    if (bytesReceived && !requestRead && !requestOpen && queued.isEmpty() && partialSince == 0) {
      partialSince = System.nanoTime();
    }
    requestRead = false;
    startNext();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    channel.close();
  }

  /** Whether no request or part of one is present, as far as input has been read. */
  public boolean isIdle() {
    return evictionRank() != NOT_EVICTABLE && partialSince == 0;
  }

  /** Whether a part of a request was received and no other request is in progress. */
  private boolean hasPartialRequest() {
    return evictionRank() != NOT_EVICTABLE && partialSince != 0;
  }

  /**
   * The order in which connections are closed to make room, lowest first; {@link #NOT_EVICTABLE} if
   * it must stay open.
   */
  public int evictionRank() {
    if (requestOpen
        || lastResponseWritten
        || !queued.isEmpty()
        || !pendingStatuses.isEmpty()
        || unwrittenBytes() > 0) {
      return NOT_EVICTABLE;
    }
    return partialSince != 0 ? 1 : requestReceived ? 2 : 0;
  }

  /** When the connection was opened or its last response was written, {@link System#nanoTime}. */
  public long idleSinceNanos() {
    return idleSince;
  }

  /** Bytes of responses that the kernel has not accepted yet, which a close would cut off. */
  private long unwrittenBytes() {
    ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
    return out == null ? 0 : out.totalPendingWriteBytes();
  }

  /** Whether the client has not accepted any pending response bytes for longer than the timeout. */
  private boolean isStalled(long nowNanos, long timeoutNanos) {
    long unwritten = requestOpen ? 0 : unwrittenBytes();
    if (unwritten == 0 || unwritten != lastUnwrittenBytes) {
      lastUnwrittenBytes = unwritten;
      unwrittenUnchangedSince = nowNanos;
    }
    return unwritten > 0 && nowNanos - unwrittenUnchangedSince > timeoutNanos;
  }

  /**
   * Closes the connection if no response is pending. PendingInput input is read first, as it may be
   * a request that the close would lose. A client whose request crosses the close has to retry it.
   *
   * @return whether the connection was closed
   */
  public boolean closeIfEvictable() {
    if (evictionRank() == NOT_EVICTABLE || readPending() && evictionRank() == NOT_EVICTABLE) {
      return false;
    }
    channel.close();
    return true;
  }

  /**
   * Closes a connection with a partial request (more bytes do not restart the timeout), without
   * activity, or stalled.
   */
  public void closeIfTimedOut(long nowNanos, long timeoutNanos) {
    boolean stalled = isStalled(nowNanos, timeoutNanos);
    if (lastResponseWritten
        ? nowNanos - idleSince > timeoutNanos && (stalled || unwrittenBytes() == 0)
        : stalled) {
      channel.close(); // the client does not read its responses
    } else if (hasPartialRequest()
        && nowNanos - (requestReceived ? partialSince : openedAt) > timeoutNanos) {
      if (readPending() && hasPartialRequest()) {
        rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
      }
    } else if (isIdle() && nowNanos - idleSince > timeoutNanos) {
      if (readPending() && isIdle()) {
        channel.close();
      }
    }
  }

  /** No more requests of a client that does not read its responses are handled until it does. */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    processQueue();
  }

  private void handle(FullHttpRequest request, long receivedAt) {
    requestOpen = true;
    closeAfterResponses |= !HttpUtil.isKeepAlive(request);
    boolean dispatched = false;
    try {
      boolean invalidBody = hasInvalidBody(request);
      RequestHeadValidator.HeadError error = RequestHeadValidator.findError(request);
      if (invalidBody || error != null && !error.endKnown()) {
        rejectAndClose(
            invalidBody ? HttpResponseStatus.BAD_REQUEST : error.status(),
            invalidBody ? "" : error.message());
        return;
      }
      if (error != null) {
        respond(error.status(), error.message());
        return;
      }
      String uri = RequestHeadValidator.normalizeTarget(request.method(), request.uri());
      String path = path(uri);
      if (path.equals(READY_PATH)) {
        respond(readinessStatus());
      } else if (!isBackendPath(path)) {
        respond(HttpResponseStatus.NOT_FOUND);
      } else {
        InboundRequest arrival =
            intake.validate(
                request.method(),
                uri,
                new HeaderLookup(request.headers()),
                request.content(),
                receivedAt);
        if (arrival == null || !dispatcher.isUnusedId(arrival.requestId())) {
          // Not 429 or 503, which permit retrying the same request.
          respond(HttpResponseStatus.BAD_REQUEST);
        } else {
          dispatched = true;
          Dispatcher.ActiveRequest started = dispatcher.accept(arrival, this, carrier);
          activeRequest = started.isEnded() ? activeRequest : started;
        }
      }
    } finally {
      if (!dispatched) {
        request.release();
      }
    }
  }

  /**
   * A remaining Transfer-Encoding is not chunked, so the end of the body is a guess; a GET must not
   * have a body.
   */
  private static boolean hasInvalidBody(FullHttpRequest request) {
    return request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        || request.method().equals(HttpMethod.GET) && request.content().isReadable();
  }

  private HttpResponseStatus readinessStatus() {
    return owner.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
  }

  private static boolean isBackendPath(String path) {
    return path.equals("/api") || path.startsWith("/api/");
  }

  private static String path(String uri) {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  // ---- The final response
  // ----------------------------------------------------------------------------

  @Override
  public void served(ByteBuf body, String contentType) {
    respond(HttpResponseStatus.OK, body, contentType, null);
  }

  @Override
  public void rejected(long retryAfterNanos) {
    respond(
        HttpResponseStatus.TOO_MANY_REQUESTS,
        Unpooled.EMPTY_BUFFER,
        null,
        retryAfter(retryAfterNanos));
  }

  @Override
  public void failed(int status) {
    respond(HttpResponseStatus.valueOf(status));
  }

  @Override
  public void denied(Authorizer.Denial denial) {
    challenge = denial.challenge().isEmpty() ? null : denial.challenge();
    respond(
        HttpResponseStatus.valueOf(denial.status()),
        denial.message(),
        retryAfter(denial.retryAfterNanos()));
  }

  private static String retryAfter(long delayNanos) {
    return delayNanos > 0 ? Double.toString(Math.max(1, delayNanos / NANOS_PER_MS) / 1000.0) : null;
  }

  /** Rejects a request whose end is unknown: the connection is closed after the response. */
  private void rejectAndClose(HttpResponseStatus status) {
    rejectAndClose(status, "");
  }

  private void rejectAndClose(HttpResponseStatus status, String message) {
    releaseQueued();
    closeAfterResponses = true;
    respond(status, message);
  }

  /**
   * The two most frequent status lines are encoded once: under load most responses have one of
   * them.
   */
  private static byte[] statusLine(HttpResponseStatus status) {
    return status == HttpResponseStatus.OK
        ? OK_STATUS_LINE
        : status == HttpResponseStatus.TOO_MANY_REQUESTS
            ? TOO_MANY_REQUESTS_STATUS_LINE
            : encodeStatusLine(status);
  }

  private static byte[] encodeStatusLine(HttpResponseStatus status) {
    return HeadBytes.constant("HTTP/1.1 " + status);
  }

  private void respond(HttpResponseStatus status) {
    respond(status, Unpooled.EMPTY_BUFFER, null, null);
  }

  /**
   * @param message readable text for the body; "" for no body
   */
  private void respond(HttpResponseStatus status, String message) {
    if (message.isEmpty()) {
      respond(status);
    } else {
      respond(status, message, null);
    }
  }

  private void respond(HttpResponseStatus status, String message, String retryAfter) {
    ByteBuf body = Unpooled.copiedBuffer(message + "\n", StandardCharsets.UTF_8);
    respond(status, body, "text/plain; charset=utf-8", retryAfter);
    body.release();
  }

  /**
   * @param body not released here
   */
  private void respond(
      HttpResponseStatus status, ByteBuf body, String contentType, String retryAfter) {
    HeadBytes head =
        new HeadBytes(EXPECTED_HEAD_BYTES)
            .add(statusLine(status))
            .add(CONTENT_LENGTH)
            .add(body.readableBytes());
    if (contentType != null) {
      head.add(CONTENT_TYPE).add(contentType);
    }
    if (retryAfter != null) {
      head.add(RETRY_AFTER).add(retryAfter);
    }
    if (challenge != null) {
      head.add(WWW_AUTHENTICATE).add(challenge);
      challenge = null;
    }
    boolean last =
        queued.isEmpty() && pendingStatuses.isEmpty() && (closeAfterResponses || owner.draining());
    head.add(last ? CLOSE_AND_HEAD_END : HEAD_END);
    requestOpen = false;
    activeRequest = null;
    partialSince = 0;
    idleSince = System.nanoTime();
    if (last) {
      lastResponseWritten = true;
      LingeringClose.discardInput(channel.pipeline());
      head.writeTo(byteContext, body, channel.newPromise())
          .addListener(written -> LingeringClose.closeAfterLinger((SocketChannel) channel));
      return;
    }
    head.writeTo(byteContext, body, channel.voidPromise());
    processQueue();
  }

  /**
   * A loop, because a request with an immediate response would otherwise start the next one in a
   * recursion.
   */
  private void processQueue() {
    if (processingQueue) {
      return;
    }
    processingQueue = true;
    try {
      while (!requestOpen
          && !lastResponseWritten
          && channel.isWritable()
          && !(queued.isEmpty() && pendingStatuses.isEmpty())) {
        QueuedRequest next = queued.pollFirst();
        if (next == null) {
          respond(pendingStatuses.pollFirst());
        } else {
          queuedBytes -= next.request().content().readableBytes();
          handle(next.request(), next.receivedAt());
        }
      }
    } finally {
      processingQueue = false;
    }
  }
}
