package nettletrail.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.core.AttemptTransport;
import nettletrail.core.BackendAttempt;
import nettletrail.core.BackendReport;
import nettletrail.core.Endpoint;
import nettletrail.core.HeaderLookup;
import nettletrail.core.InboundRequest;
import nettletrail.core.RequestValidator;
import nettletrail.decision.Gateway.DiscoveryState;
import nettletrail.decision.Gateway.Outcome;

/**
 * Pool of the connections to each backend. A connection carries one request at a time, and the pool
 * reports how each attempt ends. It never retries an attempt. Used on one event loop only.
 */
public final class BackendPool implements AttemptTransport {
  /** The largest request body that the protocol permits. */
  public static final int MAX_BODY_BYTES = 64 << 10;

  /**
   * The largest response that is relayed. Backends were seen to send valid responses of 400 KB, and
   * rejecting one loses the result of a request that has run. Responses are buffered whole, so very
   * many large ones that wait for slow clients could exhaust the buffer memory and make further
   * responses fail.
   */
  private static final int MAX_RESPONSE_BYTES = 512 << 10;

  private static final int EXPECTED_HEAD_BYTES = 256;
  private static final byte[] GET = HeadBytes.constant("GET ");
  private static final byte[] SPACE = HeadBytes.constant(" ");
  private static final byte[] HOST =
      HeadBytes.constant(" HTTP/1.1\r\nhost: service.internal\r\n" + RequestValidator.TXN + ": ");
  private static final byte[] REMAINING =
      HeadBytes.constant("\r\n" + RequestValidator.REMAINING + ": ");
  private static final byte[] CONTENT_LENGTH = HeadBytes.constant("\r\ncontent-length: ");
  private static final byte[] HEAD_END = HeadBytes.constant("\r\n\r\n");
  private static final AsciiString TURNED_AWAY = AsciiString.cached("X-Turned-Away");
  private static final long SWEEP_INTERVAL_MS = 1_000;

  /**
   * Cooldown of a connection after a response, before its next request. It reveals surplus bytes
   * that a backend sends after a response: after the next request was written they would be taken
   * for its response. They were seen to arrive 0.04 to 4.1 ms later, so that a cooldown of 4 ms
   * would have let the latest of them through. The value is more than twice that and takes a
   * connection a tenth of the duration of a request.
   */
  static final long COOLDOWN_NANOS = 10_000_000L;

  /**
   * A response that has begun and makes no progress for this long is incomplete, as backends write
   * each response at once. One with at least {@link #MIN_PROGRESS_BYTES} in each such interval is a
   * large one on a slow link and may continue.
   */
  private static final long PROGRESS_TIMEOUT_MS = 250;

  private static final int MIN_PROGRESS_BYTES = 1 << 10;

  /**
   * From this many requests a second that found only connections in their cooldown, a backend gets
   * an additional connection. With fewer, a request waits for the end of a cooldown, because a new
   * connection costs the backend work. With more, the connections in their cooldown are not
   * available often enough, and an additional one is paid for once.
   */
  private static final int MIN_COOLDOWN_WAITS_PER_SECOND = 8;

  /** Interval of the checks for descriptors that are about to be released. */
  private static final long DESCRIPTOR_POLL_MS = 1;

  /** With this many connections to a backend in their cooldown, no additional ones are made. */
  private static final int MAX_COOLING_DOWN = 24;

  /** An attempt and the connection that carries it; null connection while it waits for one. */
  private static final class UpstreamAttempt implements StartedAttempt {
    private final BackendAttempt attempt;
    private Backend backend;
    private Connection connection;

    UpstreamAttempt(BackendAttempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public boolean isUnsent() {
      return connection == null;
    }

    /**
     * Closes the connection first: otherwise the request could be retried while this attempt is
     * still in flight.
     */
    @Override
    public Outcome cancel() {
      Connection used = connection;
      if (used == null) {
        backend.waiting.remove(this);
        return Outcome.NEVER_SENT;
      }
      used.backendAttempt = null;
      used.channel.close();
      return used.requestWritten ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED;
    }
  }

  private static final class Backend {
    SocketAddress address;

    /** Whether it may receive new attempts. */
    boolean accepting;

    long sinceMs;
    int connecting;
    int coolingDown;
    int connections;
    int cooldownWaits;
    long cooldownWaitsSince;

    /**
     * Most recently used last. Taken from the end, so that connections not needed exceed their idle
     * timeout.
     */
    final ArrayDeque<Connection> idle = new ArrayDeque<>();

    final ArrayDeque<UpstreamAttempt> waiting = new ArrayDeque<>();
  }

  /** Encodes the head of the request that is sent to a backend. */
  public interface HeadEncoder {
    /** Returns the whole head, whose content length must be that of the body of the attempt. */
    HeadBytes encode(BackendAttempt attempt);
  }

  private final EventLoop loop;
  private final HeadEncoder headEncoder;
  private final BackendReport.Reader reports;
  private final Bootstrap bootstrap;
  private final long idleTimeoutNanos;
  private final int maxConnections;
  private final LongObjectHashMap<Backend> backends = new LongObjectHashMap<>();
  private final IdleTimeoutEstimator idleTimeoutEstimator =
      new IdleTimeoutEstimator(System.nanoTime());

  /**
   * Connections in their cooldown, in the order in which it ends; some of them may have closed
   * since.
   */
  private final ArrayDeque<Connection> cooldowns = new ArrayDeque<>();

  private int connections;

  /**
   * Closed connections whose descriptors the event loop has not released yet; it does so at its
   * next select.
   */
  private int unreleasedDescriptors;

  /**
   * @param connectTimeoutNanos time limit for establishing a connection
   * @param idleTimeoutNanos idle time after which backends close a connection; the pool closes it
   *     earlier
   * @param maxConnections limit of the connections to all backends together
   */
  public BackendPool(
      EventLoop loop,
      BackendReport.Reader reports,
      long connectTimeoutNanos,
      long idleTimeoutNanos,
      int maxConnections) {
    this(
        loop,
        reports,
        BackendPool::encodeHead,
        connectTimeoutNanos,
        idleTimeoutNanos,
        maxConnections);
  }

  /** A pool for servers that need other request heads. */
  public BackendPool(
      EventLoop loop,
      BackendReport.Reader reports,
      HeadEncoder headEncoder,
      long connectTimeoutNanos,
      long idleTimeoutNanos,
      int maxConnections) {
    this(
        loop,
        reports,
        headEncoder,
        new Bootstrap()
            .group(loop)
            .channelFactory(PeekingChannel.factory())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (connectTimeoutNanos / 1_000_000)),
        idleTimeoutNanos,
        maxConnections);
    loop.scheduleWithFixedDelay(
        this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * A short-lived pool whose connections need not be sockets and are not closed on idle timeout.
   */
  public BackendPool(
      EventLoop loop,
      BackendReport.Reader reports,
      Bootstrap bootstrap,
      long idleTimeoutNanos,
      int maxConnections) {
    this(loop, reports, BackendPool::encodeHead, bootstrap, idleTimeoutNanos, maxConnections);
  }

  private BackendPool(
      EventLoop loop,
      BackendReport.Reader reports,
      HeadEncoder headEncoder,
      Bootstrap bootstrap,
      long idleTimeoutNanos,
      int maxConnections) {
    this.loop = loop;
    this.headEncoder = headEncoder;
    this.reports = reports;
    this.bootstrap = bootstrap;
    // Well before the backend closes it: a request that crosses the close is lost, and may have
    // run.
    this.idleTimeoutNanos = idleTimeoutNanos / 3 * 2;
    this.maxConnections = maxConnections;
  }

  /** Attempts that wait for a backend that no longer accepts requests end before this returns. */
  @Override
  public void endpointsUpdated(boolean snapshot, List<Endpoint> entries) {
    if (snapshot) {
      backends.values().forEach(backend -> backend.accepting = false);
    }
    for (Endpoint entry : entries) {
      Backend backend = backends.computeIfAbsent(entry.id(), id -> new Backend());
      backend.accepting = entry.state() == DiscoveryState.READY;
      // Connections to an earlier process or an earlier address of the backend can't be used.
      boolean addressChanged = entry.address() != null && !entry.address().equals(backend.address);
      if (addressChanged || entry.startedAtMs() != backend.sinceMs) {
        closeIdle(backend);
      }
      backend.address = addressChanged ? entry.address() : backend.address;
      backend.sinceMs = entry.startedAtMs();
    }
    for (Backend backend : List.copyOf(backends.values())) {
      if (!backend.accepting) {
        closeIdle(backend);
        failWaiting(backend);
      }
    }
    removeUnusedBackends();
  }

  private void removeUnusedBackends() {
    List<Long> unused = new ArrayList<>();
    for (LongObjectHashMap.PrimitiveEntry<Backend> entry : backends.entries()) {
      if (!entry.value().accepting && entry.value().connections == 0) {
        unused.add(entry.key());
      }
    }
    unused.forEach(backends::remove);
  }

  @Override
  public StartedAttempt start(BackendAttempt attempt) {
    UpstreamAttempt backendAttempt = new UpstreamAttempt(attempt);
    boolean wanted =
        attempt.isWanted(); // before the backend is looked up: this may change the list
    Backend backend = backends.get(attempt.backendId());
    if (!wanted || backend == null || !backend.accepting) {
      attempt.ended(Outcome.NEVER_SENT);
      return backendAttempt;
    }
    backendAttempt.backend = backend;
    long now = System.nanoTime();
    endElapsedCooldowns(now);
    Connection connection = backend.idle.pollLast();
    while (connection != null && !connection.hasNothingUnread()) {
      connection.channel.close(); // its end or unsolicited bytes are unread
      connection = backend.idle.pollLast();
    }
    if (connection != null
        && now - connection.idleSince <= idleTimeoutEstimator.maxIdleNanos(now)) {
      connection.send(backendAttempt);
      return backendAttempt;
    }
    if (connection != null) {
      // The most recently used one has been idle for too long, and so have all others.
      connection.channel.close();
      closeIdle(backend);
    }
    backend.waiting.addLast(backendAttempt);
    connectIfNeeded(backend);
    if (backendAttempt.connection == null && backend.coolingDown > 0) {
      scheduleCooldownEnd(backend, now);
    }
    return backendAttempt;
  }

  /** Schedules the end of the first cooldown at this backend, for an attempt that waits. */
  private void scheduleCooldownEnd(Backend backend, long now) {
    for (Connection each : cooldowns) {
      if (each.coolingDown && each.backend == backend) {
        loop.schedule(
            () -> endElapsedCooldowns(System.nanoTime()),
            Math.max(0, each.cooldownEnd - now),
            TimeUnit.NANOSECONDS);
        return;
      }
    }
  }

  /**
   * Makes connections available whose cooldown has elapsed and which have received no surplus
   * bytes. Called when a connection is needed, by a timer if an attempt waits for one, and
   * periodically; a timer for each connection would wake the event loop once more for each request.
   * Surplus bytes are looked for on the socket, because a loop that is late or processes the event
   * of the next request first may not have read them yet.
   */
  private void endElapsedCooldowns(long now) {
    for (Connection first = cooldowns.peekFirst();
        first != null && first.cooldownEnd - now <= 0;
        first = cooldowns.peekFirst()) {
      cooldowns.pollFirst();
      if (!first.coolingDown) {
        continue; // closed since
      }
      if (!first.hasNothingUnread()) {
        first.channel.close();
      } else {
        first.endCooldown();
        connectionReady(first);
      }
    }
  }

  /** Encodes the request head for a backend. */
  private static HeadBytes encodeHead(BackendAttempt attempt) {
    InboundRequest arrival = attempt.request();
    boolean get = arrival.method() == HttpMethod.GET;
    HeadBytes head = new HeadBytes(EXPECTED_HEAD_BYTES);
    if (get) {
      head.add(GET);
    } else {
      head.add(arrival.method().name()).add(SPACE);
    }
    head.add(arrival.uri())
        .add(HOST)
        .add(arrival.requestId())
        .add(REMAINING)
        .add(attempt.remainingMs());
    if (!get) {
      head.add(CONTENT_LENGTH).add(arrival.body().readableBytes());
    }
    return head.add(HEAD_END);
  }

  /**
   * Connects unless enough connections are in their cooldown: these are available sooner and cost
   * the backend nothing.
   */
  private void connectIfNeeded(Backend backend) {
    if (backend.connecting + backend.coolingDown < backend.waiting.size()) {
      connect(backend);
    } else if (backend.coolingDown > 0
        && backend.connecting == 0
        && !backend.waiting.isEmpty()
        && waitsForCooldownTooOften(backend)
        && connections < maxConnections / 2) {
      connect(backend); // the first available one takes the waiting attempt, the other the next one
    }
  }

  private static boolean waitsForCooldownTooOften(Backend backend) {
    long now = System.nanoTime();
    if (now - backend.cooldownWaitsSince > TimeUnit.SECONDS.toNanos(1)) {
      backend.cooldownWaitsSince = now;
      backend.cooldownWaits = 0;
    }
    return ++backend.cooldownWaits >= MIN_COOLDOWN_WAITS_PER_SECOND
        && backend.coolingDown < MAX_COOLING_DOWN;
  }

  private void connect(Backend backend) {
    if (connections >= maxConnections && !closeOldestIdle()) {
      backend.waiting.pollLast().attempt.ended(Outcome.NEVER_SENT);
      return;
    }
    backend.connecting++;
    backend.connections++;
    connections++;
    connectWhenPossible(backend);
  }

  /**
   * Connects; the connection is counted already. Waits for descriptors being released, so as not to
   * exceed the limit.
   */
  private void connectWhenPossible(Backend backend) {
    if (!backend.accepting || backend.waiting.isEmpty()) {
      backend.connecting--; // the backend is draining, or no attempt waits any more
      backend.connections--;
      connections--;
      return;
    }
    if (connections + unreleasedDescriptors > maxConnections) {
      loop.schedule(() -> connectWhenPossible(backend), DESCRIPTOR_POLL_MS, TimeUnit.MILLISECONDS);
      return;
    }
    Connection connection = new Connection(backend);
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel made) {
                    made.pipeline().addLast(connection.decoder, connection);
                    connection.byteContext = made.pipeline().context(connection.decoder);
                  }
                })
            .connect(backend.address);
    connection.channel = connecting.channel();
    connection.channel.closeFuture().addListener(closed -> connection.channelClosed());
    connecting.addListener(
        done -> {
          backend.connecting--;
          if (done.isSuccess()) {
            connectionReady(connection);
            return;
          }
          connection.channel.close();
          // An available connection may have taken an attempt already; the remaining ones have a
          // connection being
          // made.
          while (backend.waiting.size() > backend.connecting + backend.coolingDown) {
            backend.waiting.pollFirst().attempt.ended(Outcome.CONNECT_FAILED);
          }
        });
  }

  /** Uses an available connection for the next waiting attempt, or adds it to the idle ones. */
  private void connectionReady(Connection connection) {
    Backend backend = connection.backend;
    for (UpstreamAttempt first = backend.waiting.peekFirst();
        first != null && !first.attempt.isWanted();
        first = backend.waiting.peekFirst()) {
      if (backend.waiting.remove(first)) { // otherwise it was abandoned by the input just read
        first.attempt.ended(Outcome.NEVER_SENT);
      }
    }
    // The backend may have begun to drain while the connection was made. Its state is checked again
    // before the
    // first byte, because a request sent after the grace period would violate the drain rule.
    if (!backend.accepting || !backend.address.equals(connection.address)) {
      connection.channel.close();
      if (!backend.accepting) {
        failWaiting(backend);
      } else {
        connectIfNeeded(backend);
      }
      return;
    }
    UpstreamAttempt next = backend.waiting.pollFirst();
    if (next != null) {
      connection.send(next);
    } else {
      connection.idleSince = connection.idleSince == 0 ? System.nanoTime() : connection.idleSince;
      backend.idle.addLast(connection);
    }
  }

  private void failWaiting(Backend backend) {
    for (UpstreamAttempt next = backend.waiting.pollFirst();
        next != null;
        next = backend.waiting.pollFirst()) {
      next.attempt.ended(Outcome.NEVER_SENT);
    }
  }

  private static void closeIdle(Backend backend) {
    for (Connection next = backend.idle.pollFirst();
        next != null;
        next = backend.idle.pollFirst()) {
      next.channel.close();
    }
  }

  /** Closes the connection that has been idle longest, to make room; false if all are in use. */
  private boolean closeOldestIdle() {
    Connection oldest = null;
    for (Backend backend : backends.values()) {
      Connection first = backend.idle.peekFirst();
      if (first != null && (oldest == null || first.idleSince - oldest.idleSince < 0)) {
        oldest = first;
      }
    }
    if (oldest == null) {
      return false;
    }
    oldest.backend.idle.pollFirst();
    oldest.channel.close();
    return true;
  }

  /** Closes connections whose idle timeout has elapsed, and ends cooldowns. */
  private void sweep() {
    long now = System.nanoTime();
    endElapsedCooldowns(now);
    for (Backend backend : backends.values()) {
      Connection first = backend.idle.peekFirst();
      while (first != null && now - first.idleSince > idleTimeoutNanos) {
        backend.idle.pollFirst();
        first.channel.close();
        first = backend.idle.peekFirst();
      }
    }
  }

  private final class Connection extends ChannelInboundHandlerAdapter
      implements ChannelFutureListener {
    final Backend backend;
    final SocketAddress address;
    final ResponseDecoder decoder = new ResponseDecoder();
    Channel channel;

    /** The context from which bytes are written without passing an HTTP handler. */
    ChannelHandlerContext byteContext;

    UpstreamAttempt backendAttempt;
    boolean requestWritten;
    HttpResponse responseHead;
    ByteBuf responseBody = Unpooled.EMPTY_BUFFER;

    /** Since when it has been idle, its cooldown included; 0 if it has not been idle yet. */
    long idleSince;

    private Future<?> progressTimer;
    private boolean coolingDown;
    private long cooldownEnd;

    /** Idle time before the current request; -1 for the first one and once reported. */
    private long idleAge = -1;

    Connection(Backend backend) {
      this.backend = backend;
      address = backend.address;
    }

    void send(UpstreamAttempt next) {
      backendAttempt = next;
      next.connection = this;
      requestWritten = false;
      next.attempt.sendStarted();
      idleAge = idleSince == 0 ? -1 : System.nanoTime() - idleSince;
      headEncoder
          .encode(next.attempt)
          .writeTo(byteContext, next.attempt.request().body(), channel.newPromise())
          .addListener(this);
    }

    /**
     * The whole request has been passed to the kernel, or the write failed. After a connection loss
     * from now on it is unknown whether the request ran; an earlier loss proves that it did not.
     */
    @Override
    public void operationComplete(ChannelFuture write) {
      if (write.isSuccess()) {
        requestWritten = true;
      } else {
        channel.close();
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      try {
        if (backendAttempt == null) {
          // Unsolicited: a kept connection would deliver it as the response to the next request.
          channel.close();
          return;
        }
        if (message instanceof HttpResponse start) {
          responseHead = start;
        }
        if (((HttpObject) message).decoderResult().isFailure()
            || message == responseHead
                && responseHead.status().code() >= 200
                && !hasDefiniteEnd(responseHead)) {
          invalidResponse();
          return;
        }
        if (message instanceof HttpContent content && responseHead.status().code() >= 200) {
          append(content);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void append(HttpContent content) {
      boolean last = content instanceof LastHttpContent;
      if (responseBody.readableBytes() + content.content().readableBytes() > MAX_RESPONSE_BYTES) {
        invalidResponse();
      } else if (last && !responseBody.isReadable()) {
        responseComplete(content.content());
      } else {
        responseBody =
            responseBody.isReadable()
                ? responseBody
                : channel.alloc().buffer(content.content().readableBytes() * 2);
        responseBody.writeBytes(content.content());
        if (last) {
          responseComplete(responseBody);
        }
      }
    }

    private void responseComplete(ByteBuf completeBody) {
      UpstreamAttempt finished = backendAttempt;
      HttpResponse response = responseHead;
      ByteBuf aggregated = responseBody;
      Outcome outcome = requestWritten ? outcome(response) : outcomeBeforeWritten(response);
      backendAttempt = null;
      finished.connection = null;
      responseBody = Unpooled.EMPTY_BUFFER;
      stopProgressTimer();
      reportIdleAge(false);
      idleSince = System.nanoTime();
      if (requestWritten && HttpUtil.isKeepAlive(response) && !decoder.hasUndecodedBytes()) {
        startCooldown();
      } else {
        channel.close();
      }
      finished.attempt.ended(
          outcome,
          reports.read(new HeaderLookup(response.headers())),
          completeBody,
          response.headers().get(HttpHeaderNames.CONTENT_TYPE));
      aggregated.release();
    }

    private void reportIdleAge(boolean connectionLost) {
      if (idleAge >= 0) {
        idleTimeoutEstimator.recordUse(idleAge, connectionLost, System.nanoTime());
        idleAge = -1;
      }
    }

    private void startCooldown() {
      coolingDown = true;
      backend.coolingDown++;
      cooldownEnd = idleSince + COOLDOWN_NANOS;
      cooldowns.addLast(this);
      if (!backend.waiting.isEmpty()) {
        scheduleCooldownEnd(backend, idleSince);
      }
    }

    private void endCooldown() {
      if (coolingDown) {
        coolingDown = false;
        backend.coolingDown--;
      }
    }

    /** The response is invalid; the request may have run if it was written whole. */
    private void invalidResponse() {
      UpstreamAttempt finished = backendAttempt;
      backendAttempt = null;
      finished.connection = null;
      stopProgressTimer();
      channel.close();
      finished.attempt.ended(requestWritten ? Outcome.ERROR : Outcome.CONNECT_FAILED);
    }

    /**
     * A backend starts a request when its last byte has arrived, so a response before that is not
     * its response, however valid it looks, and with the connection closed the request never runs.
     * Only a rejection needs no whole request.
     */
    private static Outcome outcomeBeforeWritten(HttpResponse response) {
      return outcome(response) == Outcome.FULL ? Outcome.FULL : Outcome.CONNECT_FAILED;
    }

    /**
     * Whether no input is unread, the end of the stream included; the connection must be closed if
     * this is false.
     */
    private boolean hasNothingUnread() {
      return !(channel instanceof PeekingChannel socket) || socket.hasNothingUnread();
    }

    /**
     * Starts the progress timeout with the first bytes of an incomplete response: some backends
     * stop within one.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      if (backendAttempt != null
          && progressTimer == null
          && (responseHead != null || decoder.hasUndecodedBytes())) {
        progressTimer = startProgressTimer();
      }
    }

    private Future<?> startProgressTimer() {
      long receivedBefore = decoder.receivedBytes();
      return loop.schedule(
          () -> {
            progressTimer = null;
            if (backendAttempt != null
                && decoder.receivedBytes() - receivedBefore >= MIN_PROGRESS_BYTES) {
              progressTimer = startProgressTimer();
            } else if (backendAttempt != null) {
              invalidResponse();
            }
          },
          PROGRESS_TIMEOUT_MS,
          TimeUnit.MILLISECONDS);
    }

    private void stopProgressTimer() {
      responseHead = null;
      if (progressTimer != null) {
        progressTimer.cancel(false);
        progressTimer = null;
      }
    }

    /**
     * Whether chunks or a permitted length delimit the response. The end of the connection does
     * not, as it could be a connection loss.
     */
    private static boolean hasDefiniteEnd(HttpResponse response) {
      return HttpUtil.isTransferEncodingChunked(response)
          || response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
              && HttpUtil.getContentLength(response, -1L) <= MAX_RESPONSE_BYTES;
    }

    private static Outcome outcome(HttpResponse response) {
      int status = response.status().code();
      if (status == 200) {
        return Outcome.OK;
      }
      boolean rejectedUnread =
          (status == 503 || status == 504) && "1".equals(response.headers().get(TURNED_AWAY));
      return rejectedUnread ? Outcome.FULL : Outcome.ERROR;
    }

    /**
     * Called before the decoder is notified of the end, which it could take for the end of a body
     * without a length: such a body can't be distinguished from a truncated one.
     */
    void channelClosed() {
      connections--;
      backend.connections--;
      unreleasedDescriptors++;
      // Of two nested timers at least one runs in a later loop iteration, which began with the
      // select that
      // released the descriptor.
      loop.schedule(
          () -> loop.schedule(() -> unreleasedDescriptors--, 0, TimeUnit.MILLISECONDS),
          0,
          TimeUnit.MILLISECONDS);
      backend.idle.remove(this);
      responseBody.release();
      responseBody = Unpooled.EMPTY_BUFFER;
      if (backendAttempt != null && responseHead == null && !decoder.hasUndecodedBytes()) {
        reportIdleAge(true);
      }
      stopProgressTimer();
      if (coolingDown) {
        endCooldown();
        connectIfNeeded(backend);
      }
      UpstreamAttempt lost = backendAttempt;
      if (lost != null) {
        backendAttempt = null;
        lost.connection = null;
        lost.attempt.ended(requestWritten ? Outcome.RESET : Outcome.CONNECT_FAILED);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      channel.close();
    }
  }
}
