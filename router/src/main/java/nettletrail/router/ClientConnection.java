package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import nettletrail.configuration.Limits;
import nettletrail.core.Unread;
import nettletrail.http.Farewell;
import nettletrail.http.HeadRules;
import nettletrail.http.RequestAggregator;
import nettletrail.http.RequestDecoder;
import nettletrail.upstream.HeadBytes;

/**
 * One connection of a client. Its requests are answered one at a time, in the order in which they
 * came; what comes meanwhile waits, up to a bound, beyond which nothing more is read until it is
 * answered.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter
    implements ExpectationGate.Connection {
  private static final int MAX_WAITING = 16;
  private static final int MAX_WAITING_BYTES = 512 << 10;
  private static final AsciiString[] ONCE =
      HeadRules.once(
          RequestHeaders.ATTEMPT_ID,
          RequestHeaders.KEY,
          RequestHeaders.TIME_LEFT,
          RequestHeaders.TOKEN_COUNT,
          RequestHeaders.PROMPT_PREFIX,
          RequestHeaders.LAST_EVENT_ID);
  private static final long MAX_DEAF_AT_END_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** What a connection needs of the router. */
  interface Owner {
    /** Takes a request that is to be answered by {@link ClientConnection}'s methods, once. */
    Exchange arrived(ClientConnection connection, ClientRequest request);

    /** Begins with it; it may be answered before this returns. */
    void start(Exchange exchange);

    boolean isDraining();

    /** When a request must be answered whose head came at {@code since}; nothing if unknown. */
    OptionalLong deadline(HttpRequest head, long since);

    void opened(ClientConnection connection);

    void closed(ClientConnection connection);
  }

  private record Waiting(FullHttpRequest request, long arrivedAt) {}

  private final Owner owner;
  private final RequestDecoder decoder;
  private final ExpectationGate expectations = new ExpectationGate(this);
  private final PartialRequest partial = new PartialRequest();
  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
  private Channel channel;
  private ResponseWriter writer;

  private Exchange open;

  /** The client asked for the end of the connection, or sent what can't be read. */
  private boolean leaving;

  /** The last answer is on its way: nothing more is handled. */
  private boolean ended;

  private boolean handling;
  private boolean readSomething;
  private int waitingBytes;
  private long idleSince;

  /** Since when a part of a request lies here; 0 if none does. */
  private long partSince;

  private ClientConnection(Owner owner, Limits limits) {
    this.owner = owner;
    decoder = new RequestDecoder(limits.headerBytes(), limits.headerBytes());
  }

  /** Puts all that a client's connection is made of into its pipeline. */
  static void add(ChannelPipeline pipeline, Owner owner, Limits limits) {
    ClientConnection connection = new ClientConnection(owner, limits);
    RequestAggregator aggregator =
        new RequestAggregator(
            limits.bodyBytes(),
            () -> connection.refuseUnread(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE));
    // The encoder is the aggregator's, for its 100 Continue; answers are written from before it.
    pipeline.addLast(
        connection.decoder,
        connection.partial,
        new HttpResponseEncoder(),
        connection.expectations,
        aggregator,
        connection);
    connection.writer = new ResponseWriter(pipeline.context(RequestDecoder.class));
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    idleSince = System.nanoTime();
    owner.opened(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    gone();
  }

  private void gone() {
    owner.closed(this);
    for (Waiting next = waiting.pollFirst(); next != null; next = waiting.pollFirst()) {
      next.request().release();
    }
    writer.drop();
    Exchange left = open;
    open = null;
    if (left != null) {
      left.clientDisconnected();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (ended || leaving || !(message instanceof FullHttpRequest request)) {
      ReferenceCountUtil.release(message);
      return;
    }
    readSomething = true;
    expectations.bodyCame();
    partSince = 0;
    waitingBytes += request.content().readableBytes();
    waiting.addLast(new Waiting(request, partial.since()));
    leaving = !HttpUtil.isKeepAlive(request) || ClientRequest.isHttp10(request);
    if (waiting.size() >= MAX_WAITING || waitingBytes >= MAX_WAITING_BYTES && open != null) {
      channel.config().setAutoRead(false);
    }
  }

  /**
   * Requests are taken up here: not while bytes are being decoded, so that the socket may be looked
   * at.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    boolean came = decoder.tookBytes();
    if (came && !readSomething && open == null && waiting.isEmpty() && partSince == 0) {
      partSince = System.nanoTime();
    }
    readSomething = false;
    handleNext();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (open != null) {
      open.clientWritable(channel.isWritable());
    } else {
      handleNext();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    channel.close();
  }

  /**
   * In a loop: what is answered at once would otherwise bring up the next ever deeper on the stack.
   */
  private void handleNext() {
    if (handling) {
      return;
    }
    handling = true;
    try {
      while (open == null && !ended && channel.isActive() && channel.isWritable()) {
        Waiting next = waiting.pollFirst();
        if (next == null) {
          break;
        }
        waitingBytes -= next.request().content().readableBytes();
        if (!channel.config().isAutoRead()) {
          channel.config().setAutoRead(true);
        }
        handle(next.request(), next.arrivedAt());
      }
    } finally {
      handling = false;
    }
  }

  private void handle(FullHttpRequest request, long arrivedAt) {
    HeadRules.Fault fault = HeadRules.fault(request, ONCE);
    boolean odd = isOdd(request);
    if (odd || fault != null) {
      leaving |= odd || !fault.framed();
      request.release();
      answer(new Refusal(odd ? HttpResponseStatus.BAD_REQUEST : fault.status(), 0));
      return;
    }
    String target = HeadRules.target(request.method(), request.uri());
    ClientRequest taken = new ClientRequest(request, target, arrivedAt);
    Exchange exchange = owner.arrived(this, taken);
    open = exchange;
    owner.start(exchange);
  }

  /**
   * What is left of Transfer-Encoding here is no chunks, so the body's end was guessed; nor has a
   * GET a body.
   */
  private static boolean isOdd(FullHttpRequest request) {
    return request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        || request.method().equals(HttpMethod.GET) && request.content().isReadable();
  }

  @Override
  public boolean owesAnswers() {
    return open != null || !waiting.isEmpty() || leaving || ended;
  }

  @Override
  public void refuseUnread(HttpResponseStatus status) {
    if (!ended && open == null && waiting.isEmpty()) {
      leaving = true;
      answer(new Refusal(status, 0));
    } else if (!ended) {
      leaving = true; // behind others: those are answered, then the connection ends
      Farewell.stopReading(channel.pipeline());
    }
  }

  /**
   * Looks whether the client is still there: reads all that has come. Not while its bytes are being
   * decoded.
   *
   * @return whether it is
   */
  boolean look() {
    if (channel.isActive()) {
      Unread.take(channel);
      if (!channel.isActive()) {
        gone(); // the channel itself tells it only in a turn of its own
      }
    }
    return channel.isActive();
  }

  // ---- Answers: each request gets one, by answer, forward, or the stream's methods ----

  /** The router's own answer. */
  void answer(Refusal refusal) {
    boolean last = isLast();
    finish(ResponseHead.ofRefusal(refusal, last), Unpooled.EMPTY_BUFFER, last);
  }

  /**
   * A backend's whole answer.
   *
   * @param body not released here
   * @param bodiless whether the answer has no body by its nature
   */
  void forward(HttpResponse answer, ByteBuf body, boolean bodiless) {
    boolean last = isLast();
    long length = bodiless ? ResponseHead.LENGTH_AS_ANSWERED : body.readableBytes();
    finish(ResponseHead.of(answer, length, last), body, last);
  }

  private void finish(HeadBytes head, ByteBuf body, boolean last) {
    if (channel.isActive()) {
      writer.write(head, body, last);
    }
    answered(last);
  }

  private void answered(boolean last) {
    ended |= last;
    open = null;
    partSince = 0;
    idleSince = System.nanoTime();
    handleNext();
    if (!owesAnswers()) {
      expectations.allAnswered();
    }
  }

  /** Whether the connection ends with the answer to the request in hand. */
  private boolean isLast() {
    return waiting.isEmpty() && (leaving || owner.isDraining());
  }

  /** Whether the head of a streamed answer is written. */
  boolean isStreaming() {
    return writer.isStreaming();
  }

  /** Begins an answer whose body comes in parts. */
  void beginStream(HttpResponse answer) {
    writer.beginStream(answer, isLast());
  }

  /** Adds bytes to the body; they go out with {@link #flushStream}. */
  void streamBytes(ByteBuf source, int from, int length) {
    writer.streamBytes(source, from, length);
  }

  /** Sends what was added. */
  void flushStream() {
    writer.flushStream();
  }

  /** The streamed answer is whole. */
  void endStream() {
    answered(writer.endStream());
  }

  /** The streamed answer will not be whole: the connection ends without its last chunk. */
  void breakStream() {
    ended = true;
    open = null;
    writer.breakStream();
  }

  ByteBufAllocator allocator() {
    return channel.alloc();
  }

  // ---- Time limits ----

  /** Whether no request is in hand, waits or is in part here. */
  private boolean isIdle() {
    return isResting() && !hasPart() && writer.unwritten() == 0;
  }

  /** Whether no whole request is here and another one may come. */
  private boolean isResting() {
    return !ended && open == null && waiting.isEmpty();
  }

  private boolean hasPart() {
    return partSince != 0 || partial.head() != null;
  }

  /** Whether a part of a request lies here and none is in hand. */
  private boolean isHalf() {
    return isResting() && hasPart();
  }

  /** Whether the part of a request has stood too long, or the whole would come too late. */
  private boolean isPartOverdue(long now, long maxNanos) {
    if (partSince != 0 && now - partSince > maxNanos) {
      return true;
    }
    HttpRequest head = partial.head();
    if (head == null) {
      return false;
    }
    OptionalLong deadline = owner.deadline(head, partial.since());
    return deadline.isPresent() && now - deadline.getAsLong() > 0;
  }

  /** Ends what has stood too long; what lies unread is read first. */
  void sweep(long now, Limits limits) {
    long idleNanos = TimeUnit.MILLISECONDS.toNanos(limits.idleMs());
    long partNanos = Math.max(idleNanos, TimeUnit.MILLISECONDS.toNanos(limits.headerMs()));
    if (writer.isStuck(now, ended ? MAX_DEAF_AT_END_NANOS : idleNanos)) {
      channel.close();
    } else if (isHalf() && isPartOverdue(now, partNanos)) {
      if (look() && isHalf()) {
        leaving = true;
        answer(new Refusal(HttpResponseStatus.REQUEST_TIMEOUT, 0));
      }
    } else if (now - idleSince > idleNanos) {
      closeIfIdle();
    }
  }

  /**
   * Closes it if nobody is owed anything on it: what lies unread is read first, for it may be a
   * request.
   *
   * @return whether it did
   */
  boolean closeIfIdle() {
    if (isIdle() && look() && isIdle()) {
      channel.close();
      return true;
    }
    return false;
  }
}
