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
 * The connections to each backend, one request at a time on each, and how an attempt on one of them ends. An
 * attempt is written once: nothing here sends it again.
 */
public final class BackendPool implements AttemptTransport {
    /** The largest body that the protocol knows. */
    public static final int MAX_BODY_BYTES = 64 << 10;
    /**
     * The largest answer that is passed on. Backends were seen to send good ones of 400 KB, and to take these for
     * spoilt loses a request that has run. It is held whole, so it could do harm where very many such answers wait for
     * clients that do not read: what comes then fails for want of buffers.
     */
    private static final int MOST_ANSWER = 512 << 10;
    private static final int EXPECTED_HEAD = 256;
    private static final byte[] GET = HeadBytes.constant("GET ");
    private static final byte[] SPACE = HeadBytes.constant(" ");
    private static final byte[] HOST =
            HeadBytes.constant(" HTTP/1.1\r\nhost: service.internal\r\n" + RequestValidator.TXN + ": ");
    private static final byte[] REMAINING = HeadBytes.constant("\r\n" + RequestValidator.REMAINING + ": ");
    private static final byte[] LENGTH = HeadBytes.constant("\r\ncontent-length: ");
    private static final byte[] END = HeadBytes.constant("\r\n\r\n");
    private static final AsciiString TURNED_AWAY = AsciiString.cached("X-Turned-Away");
    private static final long SWEEP_MS = 1_000;
    /**
     * An answered connection rests so long before its next request, so that what a backend sends behind its answer
     * shows: bytes that come after the next request was written would be taken for that one's answer. They were
     * seen to come 0.04 to 4.1 ms later: with a rest of 4 ms the last of them would have been another request's answer.
     * More than twice that is rested; it costs a connection a tenth of what a request takes.
     */
    static final long REST_NS = 10_000_000L;
    /**
     * An answer that began and stays silent for so long has no end: backends write each in one go. One that goes on at
     * {@link #LEAST_PART} bytes in each such time is a large one over a slow link, and is waited for.
     */
    private static final long MOST_PART_MS = 250;
    private static final int LEAST_PART = 1 << 10;
    /**
     * Requests a second that found only resting connections, from which on a backend gets one more. Fewer wait out the
     * rest: a new connection costs the backend work. With more, what rests is as good as lost for them, and a spare one
     * is paid for once.
     */
    private static final int REST_WAITS = 8;
    /** From one look for descriptors that are about to be free to the next. */
    private static final long RELEASE_MS = 1;
    /** Connections that may rest at one backend before no spare ones are added. */
    private static final int MOST_RESTING = 24;

    /** An attempt, and the connection that it is on. */
    private static final class Ride implements StartedAttempt {
        private final BackendAttempt attempt;
        private Backend backend;
        private Connection connection;

        Ride(BackendAttempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public boolean isUnsent() {
            return connection == null;
        }

        /** Closed first: told before, the module could send the request again while this attempt is still out. */
        @Override
        public Outcome cancel() {
            Connection left = connection;
            if (left == null) {
                backend.waiting.remove(this);
                return Outcome.NEVER_SENT;
            }
            left.ride = null;
            left.channel.close();
            return left.written ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED;
        }
    }

    private static final class Backend {
        SocketAddress address;
        boolean open;
        long sinceMs;
        int connecting;
        int resting;
        int connections;
        int restWaits;
        long restWaitsSince;
        /** Most recently used last: taken from the end, so that those not needed grow old and go. */
        final ArrayDeque<Connection> idle = new ArrayDeque<>();
        final ArrayDeque<Ride> waiting = new ArrayDeque<>();
    }

    /** How a request's head is written to a backend. */
    public interface HeadEncoder {
        HeadBytes encode(BackendAttempt attempt);
    }

    private final EventLoop loop;
    private final HeadEncoder headEncoder;
    private final BackendReport.Reader reports;
    private final Bootstrap bootstrap;
    private final long idleNs;
    private final int most;
    private final LongObjectHashMap<Backend> backends = new LongObjectHashMap<>();
    private final IdleTimeoutEstimator ages = new IdleTimeoutEstimator(System.nanoTime());
    /** Connections that rest, the first to have rested first; some of them may have closed since. */
    private final ArrayDeque<Connection> resters = new ArrayDeque<>();
    private int connections;
    /** Closed ones whose descriptors the loop has not given back yet: it does when it next looks at its sockets. */
    private int releasing;

    /**
     * @param connectTimeoutNs a connection not up by then has failed
     * @param idleNs a backend closes a connection that has stood idle for so long
     * @param most connections to all backends together
     */
    public BackendPool(EventLoop loop, BackendReport.Reader reports, long connectTimeoutNs, long idleNs, int most) {
        this(loop, reports, BackendPool::head, connectTimeoutNs, idleNs, most);
    }

    /** The same to servers that want other heads. */
    public BackendPool(EventLoop loop, BackendReport.Reader reports, HeadEncoder headEncoder, long connectTimeoutNs, long idleNs,
            int most) {
        this(loop, reports, headEncoder, new Bootstrap().group(loop).channelFactory(PeekingChannel.factory())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (connectTimeoutNs / 1_000_000)), idleNs, most);
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** One whose connections are no sockets, and which nobody sweeps: it lives for a moment. */
    public BackendPool(EventLoop loop, BackendReport.Reader reports, Bootstrap bootstrap, long idleNs, int most) {
        this(loop, reports, BackendPool::head, bootstrap, idleNs, most);
    }

    private BackendPool(EventLoop loop, BackendReport.Reader reports, HeadEncoder headEncoder, Bootstrap bootstrap, long idleNs,
            int most) {
        this.loop = loop;
        this.headEncoder = headEncoder;
        this.reports = reports;
        this.bootstrap = bootstrap;
        // Well before the backend does it: a request that crosses its close is lost, and may have run.
        this.idleNs = idleNs / 3 * 2;
        this.most = most;
    }

    /** Attempts that wait for a backend now closed to them have ended. */
    @Override
    public void endpointsUpdated(boolean whole, List<Endpoint> entries) {
        if (whole) {
            backends.values().forEach(backend -> backend.open = false);
        }
        for (Endpoint entry : entries) {
            Backend backend = backends.computeIfAbsent(entry.id(), id -> new Backend());
            backend.open = entry.state() == DiscoveryState.READY;
            // Connections to a process that is gone, or to where it is no longer, are of no use.
            boolean moved = entry.address() != null && !entry.address().equals(backend.address);
            if (moved || entry.startedAtMs() != backend.sinceMs) {
                closeIdle(backend);
            }
            backend.address = moved ? entry.address() : backend.address;
            backend.sinceMs = entry.startedAtMs();
        }
        for (Backend backend : List.copyOf(backends.values())) {
            if (!backend.open) {
                closeIdle(backend);
                refuseWaiting(backend);
            }
        }
        forgetGone();
    }

    private void forgetGone() {
        List<Long> gone = new ArrayList<>();
        for (LongObjectHashMap.PrimitiveEntry<Backend> entry : backends.entries()) {
            if (!entry.value().open && entry.value().connections == 0) {
                gone.add(entry.key());
            }
        }
        gone.forEach(backends::remove);
    }

    @Override
    public StartedAttempt start(BackendAttempt attempt) {
        Ride ride = new Ride(attempt);
        boolean wanted = attempt.isWanted(); // before the list is looked at: it may have changed by this
        Backend backend = backends.get(attempt.backendId());
        if (!wanted || backend == null || !backend.open) {
            attempt.ended(Outcome.NEVER_SENT);
            return ride;
        }
        ride.backend = backend;
        long now = System.nanoTime();
        endRests(now);
        Connection connection = backend.idle.pollLast();
        while (connection != null && !connection.quiet()) {
            connection.channel.close(); // its end, or bytes that nobody asked for, lie unread
            connection = backend.idle.pollLast();
        }
        if (connection != null && now - connection.idleSince <= ages.maxIdleNanos(now)) {
            connection.carry(ride);
            return ride;
        }
        if (connection != null) {
            // The youngest is too old, and so are all others.
            connection.channel.close();
            closeIdle(backend);
        }
        backend.waiting.addLast(ride);
        connectIfNeeded(backend);
        if (ride.connection == null && backend.resting > 0) {
            wakeAtRestOf(backend, now);
        }
        return ride;
    }

    /** Some request waits for one that rests there. */
    private void wakeAtRestOf(Backend backend, long now) {
        for (Connection each : resters) {
            if (each.resting && each.backend == backend) {
                loop.schedule(() -> endRests(System.nanoTime()), Math.max(0, each.restUntil - now),
                        TimeUnit.NANOSECONDS);
                return;
            }
        }
    }

    /**
     * Connections that have rested are free, if nothing has come behind their answers. Called when one is looked for,
     * at a wake of its own if a request waits for one, and now and then; a timer for each would wake the loop once more
     * for each request. Looked at on the socket: what came may not have been read yet, on a loop that is late or has the
     * next request's event first.
     */
    private void endRests(long now) {
        for (Connection first = resters.peekFirst(); first != null && first.restUntil - now <= 0;
                first = resters.peekFirst()) {
            resters.pollFirst();
            if (!first.resting) {
                continue; // it has closed since
            }
            if (!first.quiet()) {
                first.channel.close();
            } else {
                first.endRest();
                ready(first);
            }
        }
    }

    /** The request's head as it is written to a backend. */
    private static HeadBytes head(BackendAttempt attempt) {
        InboundRequest arrival = attempt.request();
        boolean get = arrival.method() == HttpMethod.GET;
        HeadBytes head = new HeadBytes(EXPECTED_HEAD);
        if (get) {
            head.add(GET);
        } else {
            head.add(arrival.method().name()).add(SPACE);
        }
        head.add(arrival.uri()).add(HOST).add(arrival.requestId()).add(REMAINING).add(attempt.remainingMs());
        if (!get) {
            head.add(LENGTH).add(arrival.body().readableBytes());
        }
        return head.add(END);
    }

    /** One that rests is free sooner than a new one, and costs the backend nothing; if there are enough of them. */
    private void connectIfNeeded(Backend backend) {
        if (backend.connecting + backend.resting < backend.waiting.size()) {
            connect(backend);
        } else if (backend.resting > 0 && backend.connecting == 0 && !backend.waiting.isEmpty()
                && restsTooOften(backend) && connections < most / 2) {
            connect(backend); // whichever is free first takes what waits; the other is there for the next
        }
    }

    private static boolean restsTooOften(Backend backend) {
        long now = System.nanoTime();
        if (now - backend.restWaitsSince > TimeUnit.SECONDS.toNanos(1)) {
            backend.restWaitsSince = now;
            backend.restWaits = 0;
        }
        return ++backend.restWaits >= REST_WAITS && backend.resting < MOST_RESTING;
    }

    private void connect(Backend backend) {
        if (connections >= most && !closeOldest()) {
            backend.waiting.pollLast().attempt.ended(Outcome.NEVER_SENT);
            return;
        }
        backend.connecting++;
        backend.connections++;
        connections++;
        open(backend);
    }

    /** It is counted. Waits for descriptors that are about to be free, or those of others would be taken. */
    private void open(Backend backend) {
        if (!backend.open || backend.waiting.isEmpty()) {
            backend.connecting--; // drained or served meanwhile
            backend.connections--;
            connections--;
            return;
        }
        if (connections + releasing > most) {
            loop.schedule(() -> open(backend), RELEASE_MS, TimeUnit.MILLISECONDS);
            return;
        }
        Connection connection = new Connection(backend);
        ChannelFuture connecting = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel made) {
                made.pipeline().addLast(connection.decoder, connection);
                connection.wire = made.pipeline().context(connection.decoder);
            }
        }).connect(backend.address);
        connection.channel = connecting.channel();
        connection.channel.closeFuture().addListener(closed -> connection.closed());
        connecting.addListener(done -> {
            backend.connecting--;
            if (done.isSuccess()) {
                ready(connection);
                return;
            }
            connection.channel.close();
            // One that came free may have taken an attempt already; the rest still has a connection coming up.
            while (backend.waiting.size() > backend.connecting + backend.resting) {
                backend.waiting.pollFirst().attempt.ended(Outcome.CONNECT_FAILED);
            }
        });
    }

    /** A connection is free for the next attempt. */
    private void ready(Connection connection) {
        Backend backend = connection.backend;
        for (Ride first = backend.waiting.peekFirst(); first != null && !first.attempt.isWanted();
                first = backend.waiting.peekFirst()) {
            if (backend.waiting.remove(first)) { // else it has been abandoned by what was heard
                first.attempt.ended(Outcome.NEVER_SENT);
            }
        }
        // A drain may have been heard while the connection came up: the list is looked at again before the
        // first byte, for a send after the grace breaks the rule on drains.
        if (!backend.open || !backend.address.equals(connection.address)) {
            connection.channel.close();
            if (!backend.open) {
                refuseWaiting(backend);
            } else {
                connectIfNeeded(backend);
            }
            return;
        }
        Ride next = backend.waiting.pollFirst();
        if (next != null) {
            connection.carry(next);
        } else {
            connection.idleSince = connection.idleSince == 0 ? System.nanoTime() : connection.idleSince;
            backend.idle.addLast(connection);
        }
    }

    private void refuseWaiting(Backend backend) {
        for (Ride next = backend.waiting.pollFirst(); next != null; next = backend.waiting.pollFirst()) {
            next.attempt.ended(Outcome.NEVER_SENT);
        }
    }

    private static void closeIdle(Backend backend) {
        for (Connection next = backend.idle.pollFirst(); next != null; next = backend.idle.pollFirst()) {
            next.channel.close();
        }
    }

    /** Makes room for a new connection; false if all are in use. */
    private boolean closeOldest() {
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

    private void sweep() {
        long now = System.nanoTime();
        endRests(now);
        for (Backend backend : backends.values()) {
            Connection first = backend.idle.peekFirst();
            while (first != null && now - first.idleSince > idleNs) {
                backend.idle.pollFirst();
                first.channel.close();
                first = backend.idle.peekFirst();
            }
        }
    }

    private final class Connection extends ChannelInboundHandlerAdapter implements ChannelFutureListener {
        final Backend backend;
        final SocketAddress address;
        final ResponseDecoder decoder = new ResponseDecoder();
        Channel channel;
        /** From where on there are only bytes. */
        ChannelHandlerContext wire;
        Ride ride;
        boolean written;
        HttpResponse head;
        ByteBuf body = Unpooled.EMPTY_BUFFER;
        /** Since when it stands idle, its rest included; 0 until it has done so. */
        long idleSince;
        private Future<?> partClock;
        private boolean resting;
        private long restUntil;
        /** For how long it had stood idle when its request came; -1 if that is its first, or once it is told. */
        private long age = -1;

        Connection(Backend backend) {
            this.backend = backend;
            address = backend.address;
        }

        void carry(Ride next) {
            ride = next;
            next.connection = this;
            written = false;
            next.attempt.sendStarted();
            age = idleSince == 0 ? -1 : System.nanoTime() - idleSince;
            headEncoder.encode(next.attempt).writeTo(wire, next.attempt.request().body(), channel.newPromise()).addListener(this);
        }

        /**
         * The whole request is in the kernel's hands, or it never will be. A break from now on leaves open
         * whether it ran; a break before proves that it did not.
         */
        @Override
        public void operationComplete(ChannelFuture write) {
            if (write.isSuccess()) {
                written = true;
            } else {
                channel.close();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                if (ride == null) {
                    // Nobody asked: were it kept, the next request would get another's answer.
                    channel.close();
                    return;
                }
                if (message instanceof HttpResponse start) {
                    head = start;
                }
                if (((HttpObject) message).decoderResult().isFailure()
                        || message == head && head.status().code() >= 200 && !hasEnd(head)) {
                    spoilt();
                    return;
                }
                if (message instanceof HttpContent content && head.status().code() >= 200) {
                    take(content);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void take(HttpContent content) {
            boolean whole = content instanceof LastHttpContent;
            if (body.readableBytes() + content.content().readableBytes() > MOST_ANSWER) {
                spoilt();
            } else if (whole && !body.isReadable()) {
                answered(content.content());
            } else {
                body = body.isReadable() ? body : channel.alloc().buffer(content.content().readableBytes() * 2);
                body.writeBytes(content.content());
                if (whole) {
                    answered(body);
                }
            }
        }

        private void answered(ByteBuf whole) {
            Ride ended = ride;
            HttpResponse answer = head;
            ByteBuf gathered = body;
            Outcome outcome = written ? outcome(answer) : outcomeOfUnwritten(answer);
            ride = null;
            ended.connection = null;
            body = Unpooled.EMPTY_BUFFER;
            stopClock();
            toldAge(false);
            idleSince = System.nanoTime();
            if (written && HttpUtil.isKeepAlive(answer) && !decoder.hasUndecodedBytes()) {
                rest();
            } else {
                channel.close();
            }
            ended.attempt.ended(outcome, reports.read(new HeaderLookup(answer.headers())), whole,
                    answer.headers().get(HttpHeaderNames.CONTENT_TYPE));
            gathered.release();
        }

        private void toldAge(boolean broke) {
            if (age >= 0) {
                ages.recordUse(age, broke, System.nanoTime());
                age = -1;
            }
        }

        private void rest() {
            resting = true;
            backend.resting++;
            restUntil = idleSince + REST_NS;
            resters.addLast(this);
            if (!backend.waiting.isEmpty()) {
                wakeAtRestOf(backend, idleSince);
            }
        }

        private void endRest() {
            if (resting) {
                resting = false;
                backend.resting--;
            }
        }

        /** What came is no answer to anything, but the request has run. */
        private void spoilt() {
            Ride ended = ride;
            ride = null;
            ended.connection = null;
            stopClock();
            channel.close();
            ended.attempt.ended(written ? Outcome.ERROR : Outcome.CONNECT_FAILED);
        }

        /**
         * A backend begins a request when its last byte has come, so that what comes before is no answer to it, however good it
         * looks; and with the connection closed it never runs. Only to be turned away needs no whole request.
         */
        private static Outcome outcomeOfUnwritten(HttpResponse answer) {
            return outcome(answer) == Outcome.FULL ? Outcome.FULL : Outcome.CONNECT_FAILED;
        }

        /** Whether nothing has come on it that is not read yet, its end included; to be closed if not. */
        private boolean quiet() {
            return !(channel instanceof PeekingChannel socket) || socket.hasNothingUnread();
        }

        /** Starts with an answer's first bytes, if these are not all: some stop in their middle and stay silent. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (ride != null && partClock == null && (head != null || decoder.hasUndecodedBytes())) {
                partClock = nextPart();
            }
        }

        private Future<?> nextPart() {
            long before = decoder.receivedBytes();
            return loop.schedule(() -> {
                partClock = null;
                if (ride != null && decoder.receivedBytes() - before >= LEAST_PART) {
                    partClock = nextPart();
                } else if (ride != null) {
                    spoilt();
                }
            }, MOST_PART_MS, TimeUnit.MILLISECONDS);
        }

        private void stopClock() {
            head = null;
            if (partClock != null) {
                partClock.cancel(false);
                partClock = null;
            }
        }

        /** An answer ends with its length or its last chunk; the end of the connection could as well be a break. */
        private static boolean hasEnd(HttpResponse answer) {
            return HttpUtil.isTransferEncodingChunked(answer)
                    || answer.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                    && HttpUtil.getContentLength(answer, -1L) <= MOST_ANSWER;
        }

        private static Outcome outcome(HttpResponse answer) {
            int status = answer.status().code();
            if (status == 200) {
                return Outcome.OK;
            }
            boolean unseen = (status == 503 || status == 504) && "1".equals(answer.headers().get(TURNED_AWAY));
            return unseen ? Outcome.FULL : Outcome.ERROR;
        }

        /**
         * Comes before the decoder hears of the end and could take that for the end of a body without a length:
         * such a body can't be told from one cut short.
         */
        void closed() {
            connections--;
            backend.connections--;
            releasing++;
            // Of two timers, the second made by the first, at least one is heard in a later round: it began with that look.
            loop.schedule(() -> loop.schedule(() -> releasing--, 0, TimeUnit.MILLISECONDS), 0, TimeUnit.MILLISECONDS);
            backend.idle.remove(this);
            body.release();
            body = Unpooled.EMPTY_BUFFER;
            if (ride != null && head == null && !decoder.hasUndecodedBytes()) {
                toldAge(true);
            }
            stopClock();
            if (resting) {
                endRest();
                connectIfNeeded(backend);
            }
            Ride broken = ride;
            if (broken != null) {
                ride = null;
                broken.connection = null;
                broken.attempt.ended(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }
    }
}
