package nettletrail.proxy;

import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * A proxy that asks an external processor about each request and carries it to the node it is told. From a seed it
 * gives up waiting for a decision and asks again, asks twice at once, repeats itself on the same stream, loses its
 * client, or never tells the outcome. It carries every decision to forward that reaches it, so that a second one for
 * the same request would show at the backends. On one event loop of its own.
 */
public final class StandInProxy implements AutoCloseable {
    /**
     * What it does, as shares of its requests.
     *
     * @param giveUp stops waiting for the decision within some ms, cancels, and asks again
     * @param askTwice asks a second time on another connection, with the first ask left open, at any point of it
     * @param sameStream says the same again on the same stream
     * @param cancel its client leaves within some ms
     * @param untold ends the stream without telling how the request went
     * @param connections to the processor
     */
    public record Habits(double giveUp, double askTwice, double sameStream, double cancel, double untold,
            int connections) {
        public static final Habits PLAIN = new Habits(0, 0, 0, 0, 0, 1);
        public static final Habits ROUGH = new Habits(0.05, 0.03, 0.01, 0.03, 0.02, 8);
    }

    /**
     * A client's request.
     *
     * @param headers lower case, with {@code :method} and {@code :path}
     */
    public record Request(String id, boolean unsafe, Map<String, String> headers, long remainingMs) {
        /** With the headers that the platform's protocol names. */
        public static Request of(String id, boolean unsafe, String lane, String plan, String customer, double units,
                int spread, long remainingMs) {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put(":method", unsafe ? "POST" : "GET");
            headers.put(":path", "/api/port");
            headers.put(":authority", "service.internal");
            headers.put("x-txn", id);
            headers.put("x-lane", lane);
            headers.put("x-plan", plan);
            headers.put("x-customer", customer);
            headers.put("x-remaining-ms", Long.toString(remainingMs));
            headers.put("x-quota", "units=" + units + ",spread=" + spread + ",first=0");
            headers.put("user-agent", "stand-in-proxy");
            headers.put("x-request-id", "5f0c1a52-0000-4000-8000-" + id.substring(4));
            return new Request(id, unsafe, headers, remainingMs);
        }

        String method() {
            return headers.get(":method");
        }

        Map<String, String> attempt(int number) {
            Map<String, String> all = new LinkedHashMap<>(headers);
            all.put("x-envoy-attempt-count", Integer.toString(number));
            return all;
        }
    }

    /** What it was told and did so far. */
    public static final class Figures {
        public long requests;
        public long asks;
        public long forwarded;
        public long refused;
        public long failed;
        public long malformed;
        public long errors;
        public long withdrawn;
        public long askedAgain;
        public long decidedTwice;
        public long overBudget;
        public long answersReplaced;
        public final Map<Integer, Long> answers = new TreeMap<>();
        public final Histogram decisions = new Histogram(60_000_000L, 3);
        public final List<String> faults = new ArrayList<>();
    }

    private static final long MS = 1_000_000L;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final List<ManagedChannel> channels = new ArrayList<>();
    private final List<ExternalProcessorGrpc.ExternalProcessorStub> stubs = new ArrayList<>();
    private final NodeClient nodes = new NodeClient(loop);
    private final Habits habits;
    private final SplittableRandom random;
    private final long budgetNs;
    private final Map<InetSocketAddress, Boolean> carries = new HashMap<>();
    private Figures figures = new Figures();
    private int undecided;
    private int open;

    /** @param budgetMs within which it wants each decision; later ones are counted */
    public StandInProxy(InetSocketAddress processor, Habits habits, long seed, long budgetMs) {
        this.habits = habits;
        random = new SplittableRandom(seed);
        budgetNs = budgetMs * MS;
        for (int i = 0; i < habits.connections(); i++) {
            ManagedChannel channel = NettyChannelBuilder.forAddress(processor).usePlaintext().eventLoopGroup(group)
                    .channelType(NioSocketChannel.class).directExecutor().build();
            channels.add(channel);
            stubs.add(ExternalProcessorGrpc.newStub(channel));
        }
    }

    /** On which all of it runs. */
    public EventLoop loop() {
        return loop;
    }

    /** A client sends a request. On the loop. */
    public void request(Request request) {
        figures.requests++;
        new Call(request).start();
    }

    /** What it has seen since the last call; begins anew. On the loop. */
    public Figures takeFigures() {
        Figures taken = figures;
        figures = new Figures();
        return taken;
    }

    /** Asks that have no decision and were not given up. On the loop. */
    public int undecided() {
        return undecided;
    }

    /** Asks since the figures were last taken. On the loop. */
    public long asks() {
        return figures.asks;
    }

    /** Streams that are open. On the loop. */
    public int open() {
        return open;
    }

    @Override
    public void close() {
        channels.forEach(ManagedChannel::shutdownNow);
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private final class Call {
        private final Request request;
        private int forwards;
        private boolean clientLeft;

        Call(Request request) {
            this.request = request;
        }

        void start() {
            double draw = random.nextDouble();
            Ask first = new Ask(this, 1);
            first.begin(random.nextInt(stubs.size()));
            double at = habits.giveUp();
            if (draw < at) {
                after(random.nextDouble() * 4, () -> {
                    if (first.giveUp()) {
                        askAgain(2);
                    }
                });
                return;
            }
            at += habits.askTwice();
            if (draw < at) {
                // While the first is undecided, decided, forwarded or answered.
                after(random.nextDouble() * random.nextDouble() * 150, () -> askAgain(random.nextBoolean() ? 1 : 2));
                return;
            }
            at += habits.sameStream();
            if (draw < at) {
                first.say(Messages.requestHeaders(request.attempt(2)));
                return;
            }
            at += habits.cancel();
            if (draw < at) {
                after(random.nextDouble() * random.nextDouble() * 60, () -> {
                    clientLeft = true;
                    first.giveUp();
                    first.drop();
                });
                return;
            }
            first.untold = draw < at + habits.untold();
        }

        private void askAgain(int attempt) {
            figures.askedAgain++;
            new Ask(this, attempt).begin(random.nextInt(stubs.size()));
        }
    }

    private void after(double ms, Runnable then) {
        loop.schedule(then, (long) (ms * MS), TimeUnit.NANOSECONDS);
    }

    private final class Ask implements ClientResponseObserver<ProcessingRequest, ProcessingResponse> {
        private final Call call;
        private final int attempt;
        private ClientCallStreamObserver<ProcessingRequest> out;
        private long askedAt;
        private boolean decided;
        private boolean ended;
        private boolean untold;
        private int carried;
        private Runnable drop;

        Ask(Call call, int attempt) {
            this.call = call;
            this.attempt = attempt;
        }

        void begin(int connection) {
            figures.asks++;
            undecided++;
            open++;
            askedAt = System.nanoTime();
            stubs.get(connection).process(this);
            say(Messages.requestHeaders(call.request.attempt(attempt)));
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<ProcessingRequest> stream) {
            out = stream;
        }

        void say(ProcessingRequest message) {
            if (!ended) {
                out.onNext(message);
            }
        }

        /** Stops waiting for the decision; false if it has come. */
        boolean giveUp() {
            if (decided) {
                return false;
            }
            decided();
            figures.withdrawn++;
            end();
            out.cancel("no longer waited for", null);
            return true;
        }

        /** The client has left: what is under way for it is ended. */
        void drop() {
            if (drop != null) {
                drop.run();
            }
            if (!ended) {
                end();
                out.cancel("client left", null);
            }
        }

        private void decided() {
            if (!decided) {
                decided = true;
                undecided--;
            }
        }

        private void end() {
            if (!ended) {
                ended = true;
                open--;
            }
        }

        @Override
        public void onNext(ProcessingResponse answer) {
            boolean first = !decided;
            if (first) {
                long took = System.nanoTime() - askedAt;
                figures.decisions.recordValue(Math.min(took / 1_000, 59_000_000));
                figures.overBudget += took > budgetNs ? 1 : 0;
                decided();
            }
            switch (answer.getResponseCase()) {
                case REQUEST_HEADERS -> forward(answer);
                case IMMEDIATE_RESPONSE -> immediate(answer, first);
                case RESPONSE_HEADERS -> finish();
                default -> figures.faults.add(call.request.id() + ": unexpected " + answer.getResponseCase());
            }
        }

        private void immediate(ProcessingResponse answer, boolean first) {
            int status = answer.getImmediateResponse().getStatus().getCodeValue();
            figures.answers.merge(status, 1L, Long::sum);
            if (!first) {
                figures.answersReplaced++;
            } else if (status == 429 || status == 503) {
                figures.refused++;
            } else if (status == 400) {
                figures.malformed++;
            } else {
                figures.failed++;
            }
        }

        private void forward(ProcessingResponse decision) {
            figures.forwarded++;
            call.forwards++;
            if (++carried > 1 || call.request.unsafe() && call.forwards > 1) {
                figures.decidedTwice++;
                figures.faults.add(call.request.id() + ": told to forward " + call.forwards + " times");
            }
            String node = Messages.set(decision, "x-gateway-destination-endpoint");
            String remaining = Messages.set(decision, "x-remaining-ms");
            if (node == null || remaining == null) {
                figures.faults.add(call.request.id() + ": told to forward, not to which node or for how long");
                return;
            }
            int colon = node.lastIndexOf(':');
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(),
                    Integer.parseInt(node.substring(colon + 1)));
            carries.put(address, true);
            drop = nodes.send(address, call.request, Long.parseLong(remaining), new NodeClient.Done() {
                @Override
                public void answered(int status, boolean turnedAway) {
                    tell(status, turnedAway, "via_upstream");
                }

                @Override
                public void broken(int status, String details) {
                    tell(status, false, details);
                }
            });
            if (untold) {
                end();
                out.onCompleted();
            }
        }

        private void tell(int status, boolean turnedAway, String details) {
            if (call.clientLeft || ended) {
                return;
            }
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put(":status", Integer.toString(status));
            if (turnedAway) {
                headers.put("x-turned-away", "1");
            }
            figures.answers.merge(status, 1L, Long::sum);
            say(Messages.responseHeaders(headers, details));
        }

        private void finish() {
            if (!ended) {
                end();
                out.onCompleted();
            }
        }

        @Override
        public void onError(Throwable fault) {
            if (!decided) {
                decided();
                figures.errors++;
                figures.faults.add(call.request.id() + ": " + fault.getMessage());
            }
            end();
        }

        @Override
        public void onCompleted() {
            if (!decided) {
                decided();
                figures.errors++;
                figures.faults.add(call.request.id() + ": ended without a decision");
            }
            if (!ended) {
                end();
                out.onCompleted();
            }
        }
    }
}
