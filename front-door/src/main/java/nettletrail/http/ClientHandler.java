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
 * One client connection: requests are checked and handed on one at a time, and each gets one final answer, in the
 * order in which they came.
 */
public final class ClientHandler extends ChannelInboundHandlerAdapter implements RequestClient {
    /** Requests that wait behind the open one, and their bytes. What a client sends beyond is refused, in its turn. */
    private static final int MOST_WAITING = 64;
    private static final int MOST_WAITING_BYTES = 128 << 10;
    /** Answers that wait behind those, of which nothing else is kept; what is sent beyond is not read as requests. */
    private static final int MOST_OWED = 4_096;
    private static final long MS = 1_000_000L;
    private static final int EXPECTED_HEAD = 128;
    private static final String READY = "/-/ready";
    private static final byte[] OK = line(HttpResponseStatus.OK);
    private static final byte[] REFUSED = line(HttpResponseStatus.TOO_MANY_REQUESTS);
    private static final byte[] LENGTH = HeadBytes.constant("\r\ncontent-length: ");
    private static final byte[] TYPE = HeadBytes.constant("\r\ncontent-type: ");
    private static final byte[] RETRY_AFTER = HeadBytes.constant("\r\nretry-after: ");
    private static final byte[] CHALLENGE = HeadBytes.constant("\r\nwww-authenticate: ");
    private static final byte[] CLOSE_AND_END = HeadBytes.constant("\r\nconnection: close\r\n\r\n");
    private static final byte[] END = HeadBytes.constant("\r\n\r\n");
    public static final int NOT_EVICTABLE = 3;

    /** What the whole front door knows and a connection needs. */
    public interface Owner {
        boolean ready();

        boolean draining();

        void connectionOpened(ClientHandler connection);

        void connectionClosed(ClientHandler connection);
    }

    private record Waiting(FullHttpRequest request, long since) { }

    private final Owner owner;
    private final RequestValidator intake;
    private final Dispatcher dispatcher;
    private final AttemptTransport carrier;
    private final RequestDecoder decoder = new RequestDecoder();
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    /** Answers to what came behind all that waits. */
    private final ArrayDeque<HttpResponseStatus> owed = new ArrayDeque<>();
    private Channel channel;
    /** From where on there are only bytes. */
    private ChannelHandlerContext wire;
    private Dispatcher.ActiveRequest live;
    /** For the answer that is being written, or null. */
    private String challenge;
    private boolean open;
    /** The client asked for the end of the connection, sent what can't be read, or too much. */
    private boolean leaving;
    /** The last answer is on its way: nothing more is handled. */
    private boolean ended;
    private boolean asked;
    /** A request is being taken up: what is read meanwhile waits. */
    private boolean takingUp;
    private boolean handling;
    /** The connection's first request was read, which may have lain in the kernel's queue for long. */
    private boolean first = true;
    private int waitingBytes;
    private long openedAt;
    private boolean heard;
    private long partSince;
    private long idleSince;
    /** As the last sweep found it. */
    private long unwrittenBefore;
    private long unwrittenSince;

    private ClientHandler(Owner owner, RequestValidator intake, Dispatcher dispatcher, AttemptTransport carrier) {
        this.owner = owner;
        this.intake = intake;
        this.dispatcher = dispatcher;
        this.carrier = carrier;
    }

    /** All that a client's connection is made of. */
    public static void add(ChannelPipeline to, Owner owner, RequestValidator intake, Dispatcher dispatcher,
            AttemptTransport carrier) {
        ClientHandler handler = new ClientHandler(owner, intake, dispatcher, carrier);
        // The encoder is the aggregator's, for its 100 Continue; answers are written from before it.
        to.addLast(handler.decoder, new HttpResponseEncoder(), new RequestAggregator(BackendPool.MAX_BODY_BYTES, handler::tooLarge), handler);
        handler.wire = to.context(RequestDecoder.class);
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
        gone();
    }

    private void gone() {
        owner.connectionClosed(this);
        dropWaiting();
        if (live != null) {
            Dispatcher.ActiveRequest left = live;
            live = null;
            left.clientDisconnected();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (ended || leaving || !(message instanceof FullHttpRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        heard = true;
        asked = true;
        partSince = 0;
        int bytes = request.content().readableBytes();
        if (owed.isEmpty() && waiting.size() < MOST_WAITING && waitingBytes + bytes <= MOST_WAITING_BYTES) {
            waitingBytes += bytes;
            waiting.addLast(new Waiting(request, System.nanoTime()));
            return;
        }
        try {
            oweAnswerTo(request);
        } finally {
            request.release();
        }
    }

    /** All that has been read as a request is answered; of this one that is all that is done. */
    private void oweAnswerTo(FullHttpRequest request) {
        if (owed.size() == MOST_OWED) {
            stopReading();
            return;
        }
        RequestHeadValidator.HeadError fault = RequestHeadValidator.findError(request);
        if (isOdd(request) || fault != null && !fault.endKnown()) {
            owed.addLast(fault == null ? HttpResponseStatus.BAD_REQUEST : fault.status());
            stopReading();
            return;
        }
        owed.addLast(fault != null ? fault.status() : statusBehindOthers(request));
        if (!HttpUtil.isKeepAlive(request)) {
            stopReading();
        }
    }

    private HttpResponseStatus statusBehindOthers(FullHttpRequest request) {
        String uri = RequestHeadValidator.normalizeTarget(request.method(), request.uri());
        String path = path(uri);
        if (path.equals(READY)) {
            return readiness();
        } else if (!isForBackends(path)) {
            return HttpResponseStatus.NOT_FOUND;
        }
        InboundRequest arrival = intake.validate(request.method(), uri, new HeaderLookup(request.headers()),
                request.content(), System.nanoTime());
        return arrival == null || !dispatcher.isUnusedId(arrival.requestId()) ? HttpResponseStatus.BAD_REQUEST
                : HttpResponseStatus.TOO_MANY_REQUESTS;
    }

    /** What it has sent so far is answered. The rest is thrown away, but read, or its leaving would go unnoticed. */
    private void stopReading() {
        leaving = true;
        LingeringClose.discardInput(channel.pipeline());
    }

    /**
     * Never while bytes are being decoded: whether the client has left lies behind its request, where only a further read finds
     * it, and that is made before an attempt's first byte. Where it may have left long ago, it is made at once: nothing is asked for
     * nobody.
     */
    private void takeUp() {
        if (takingUp || open || ended || waiting.isEmpty() && owed.isEmpty()) {
            return;
        }
        takingUp = true;
        try {
            boolean old = first || dispatcher.isLoopLate();
            first = false;
            if (!old || readPending()) {
                handleNext();
            }
        } finally {
            takingUp = false;
        }
    }

    @Override
    public boolean readPending() {
        if (channel.isActive()) {
            PendingInput.readAll(channel);
            if (!channel.isActive()) {
                gone(); // the channel itself tells it only in a turn of its own
            }
        }
        return channel.isActive();
    }

    private void dropWaiting() {
        for (Waiting next = waiting.pollFirst(); next != null; next = waiting.pollFirst()) {
            next.request().release();
        }
        waitingBytes = 0;
        owed.clear();
    }

    /** A body too large is told by its head, or by its chunks; none of it is kept. */
    void tooLarge() {
        heard = true;
        if (!ended && evictionRank() != NOT_EVICTABLE) {
            refuseToRead(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (!ended) {
            owed.addLast(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            stopReading();
        }
    }

    /** Notes since when a part of a request lies here: a client that stops in its middle must not hold on for ever. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        boolean came = decoder.pollBytesReceived();
        if (came && !heard && !open && waiting.isEmpty() && partSince == 0) {
            partSince = System.nanoTime();
        }
        heard = false;
        takeUp();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }

    /** Between two requests, as far as has been read. */
    public boolean isIdle() {
        return evictionRank() != NOT_EVICTABLE && partSince == 0;
    }

    /** A part of a request lies here, and none is open. */
    private boolean half() {
        return evictionRank() != NOT_EVICTABLE && partSince != 0;
    }

    /** How soon it goes when room is needed: the lowest first. */
    public int evictionRank() {
        if (open || ended || !waiting.isEmpty() || !owed.isEmpty() || unwritten() > 0) {
            return NOT_EVICTABLE;
        }
        return partSince != 0 ? 1 : asked ? 2 : 0;
    }

    public long idleSinceNanos() {
        return idleSince;
    }

    /** Bytes of answers that the kernel has not taken yet: closed now, these would be cut off. */
    private long unwritten() {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        return out == null ? 0 : out.totalPendingWriteBytes();
    }

    /** Whether it has taken nothing of its answers for so long, ns. */
    private boolean deaf(long now, long mostNs) {
        long left = open ? 0 : unwritten();
        if (left == 0 || left != unwrittenBefore) {
            unwrittenBefore = left;
            unwrittenSince = now;
        }
        return left > 0 && now - unwrittenSince > mostNs;
    }

    /**
     * Closes it if nobody is owed anything on it: what lies unread is read first, for it may be a request, and closed on
     * it would be lost. A client whose request crosses the close itself sends it again.
     *
     * @return whether it is closed
     */
    public boolean closeIfEvictable() {
        if (evictionRank() == NOT_EVICTABLE || readPending() && evictionRank() == NOT_EVICTABLE) {
            return false;
        }
        channel.close();
        return true;
    }

    /** Ends what has stood too long: half a request (a trickle does not restart its clock), silence, a deaf client. */
    public void closeIfTimedOut(long nowNanos, long timeoutNanos) {
        boolean deaf = deaf(nowNanos, timeoutNanos);
        if (ended ? nowNanos - idleSince > timeoutNanos && (deaf || unwritten() == 0) : deaf) {
            channel.close(); // it does not take its answers
        } else if (half() && nowNanos - (asked ? partSince : openedAt) > timeoutNanos) {
            if (readPending() && half()) {
                refuseToRead(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        } else if (isIdle() && nowNanos - idleSince > timeoutNanos) {
            if (readPending() && isIdle()) {
                channel.close();
            }
        }
    }

    /** A client that does not read its answers is not handled further until it does. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        handleNext();
    }

    private void handle(FullHttpRequest request, long since) {
        open = true;
        leaving |= !HttpUtil.isKeepAlive(request);
        boolean handedOn = false;
        try {
            boolean odd = isOdd(request);
            RequestHeadValidator.HeadError fault = RequestHeadValidator.findError(request);
            if (odd || fault != null && !fault.endKnown()) {
                refuseToRead(odd ? HttpResponseStatus.BAD_REQUEST : fault.status(), odd ? "" : fault.message());
                return;
            }
            if (fault != null) {
                answer(fault.status(), fault.message());
                return;
            }
            String uri = RequestHeadValidator.normalizeTarget(request.method(), request.uri());
            String path = path(uri);
            if (path.equals(READY)) {
                answer(readiness());
            } else if (!isForBackends(path)) {
                answer(HttpResponseStatus.NOT_FOUND);
            } else {
                InboundRequest arrival = intake.validate(request.method(), uri,
                        new HeaderLookup(request.headers()), request.content(), since);
                if (arrival == null || !dispatcher.isUnusedId(arrival.requestId())) {
                    // Never 429 or 503, which say that the same request may be sent again.
                    answer(HttpResponseStatus.BAD_REQUEST);
                } else {
                    handedOn = true;
                    Dispatcher.ActiveRequest taken = dispatcher.accept(arrival, this, carrier);
                    live = taken.isEnded() ? live : taken;
                }
            }
        } finally {
            if (!handedOn) {
                request.release();
            }
        }
    }

    /** What is left of Transfer-Encoding here is no chunks, so the body's end was guessed; nor has a GET a body. */
    private static boolean isOdd(FullHttpRequest request) {
        return request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                || request.method().equals(HttpMethod.GET) && request.content().isReadable();
    }

    private HttpResponseStatus readiness() {
        return owner.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
    }

    private static boolean isForBackends(String path) {
        return path.equals("/api") || path.startsWith("/api/");
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    // ---- The one final answer ---------------------------------------------------------------------------

    @Override
    public void served(ByteBuf body, String contentType) {
        answer(HttpResponseStatus.OK, body, contentType, null);
    }

    @Override
    public void rejected(long retryAfterNs) {
        answer(HttpResponseStatus.TOO_MANY_REQUESTS, Unpooled.EMPTY_BUFFER, null, retryAfter(retryAfterNs));
    }

    @Override
    public void failed(int status) {
        answer(HttpResponseStatus.valueOf(status));
    }

    @Override
    public void denied(Authorizer.Denial denial) {
        challenge = denial.challenge().isEmpty() ? null : denial.challenge();
        answer(HttpResponseStatus.valueOf(denial.status()), denial.message(), retryAfter(denial.retryAfterNanos()));
    }

    private static String retryAfter(long ns) {
        return ns > 0 ? Double.toString(Math.max(1, ns / MS) / 1000.0) : null;
    }

    /** What can't be read has no end that could be found: the connection goes with the answer. */
    private void refuseToRead(HttpResponseStatus status) {
        refuseToRead(status, "");
    }

    private void refuseToRead(HttpResponseStatus status, String why) {
        dropWaiting();
        leaving = true;
        answer(status, why);
    }

    /** The usual two are made once: under load most answers are one of them. */
    private static byte[] startOf(HttpResponseStatus status) {
        return status == HttpResponseStatus.OK ? OK : status == HttpResponseStatus.TOO_MANY_REQUESTS ? REFUSED : line(status);
    }

    private static byte[] line(HttpResponseStatus status) {
        return HeadBytes.constant("HTTP/1.1 " + status);
    }

    private void answer(HttpResponseStatus status) {
        answer(status, Unpooled.EMPTY_BUFFER, null, null);
    }

    /** @param why for people; "" for no body */
    private void answer(HttpResponseStatus status, String why) {
        if (why.isEmpty()) {
            answer(status);
        } else {
            answer(status, why, null);
        }
    }

    private void answer(HttpResponseStatus status, String why, String retryAfter) {
        ByteBuf body = Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8);
        answer(status, body, "text/plain; charset=utf-8", retryAfter);
        body.release();
    }

    /** @param body still the caller's */
    private void answer(HttpResponseStatus status, ByteBuf body, String contentType, String retryAfter) {
        HeadBytes head = new HeadBytes(EXPECTED_HEAD).add(startOf(status)).add(LENGTH).add(body.readableBytes());
        if (contentType != null) {
            head.add(TYPE).add(contentType);
        }
        if (retryAfter != null) {
            head.add(RETRY_AFTER).add(retryAfter);
        }
        if (challenge != null) {
            head.add(CHALLENGE).add(challenge);
            challenge = null;
        }
        boolean last = waiting.isEmpty() && owed.isEmpty() && (leaving || owner.draining());
        head.add(last ? CLOSE_AND_END : END);
        open = false;
        live = null;
        partSince = 0;
        idleSince = System.nanoTime();
        if (last) {
            ended = true;
            LingeringClose.discardInput(channel.pipeline());
            head.writeTo(wire, body, channel.newPromise())
                    .addListener(written -> LingeringClose.closeAfterLinger((SocketChannel) channel));
            return;
        }
        head.writeTo(wire, body, channel.voidPromise());
        handleNext();
    }

    /** In a loop: what is answered at once would otherwise bring up the next ever deeper on the stack. */
    private void handleNext() {
        if (handling) {
            return;
        }
        handling = true;
        try {
            while (!open && !ended && channel.isWritable() && !(waiting.isEmpty() && owed.isEmpty())) {
                Waiting next = waiting.pollFirst();
                if (next == null) {
                    answer(owed.pollFirst());
                } else {
                    waitingBytes -= next.request().content().readableBytes();
                    handle(next.request(), next.since());
                }
            }
        } finally {
            handling = false;
        }
    }
}
