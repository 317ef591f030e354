package nettletrail.extproc;

import com.google.protobuf.ByteString;
import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import nettletrail.core.BackendReport;
import nettletrail.core.Dispatcher;
import nettletrail.core.Endpoint;
import nettletrail.core.EventLoopClock;
import nettletrail.core.Log;
import nettletrail.core.RequestLimiter;
import nettletrail.core.RequestValidator;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewayDecider;
import nettletrail.decision.GatewaySettingsReader;

/**
 * Asks of nobody, within the process and before the first proxy can connect: a JVM interprets what it has not run
 * often, and the first asks of a cold processor took hundreds of ms of a budget of 20. Parts of its own, a module of its
 * own, a listener that is gone before the real one comes: nothing stays of it but warm code. The sockets are real ones,
 * on loopback, as theirs is much of the code. Its time is bounded; a slow machine starts less warm.
 */
final class DryRun {
    private static final int ASKS = 6_000;
    private static final int AT_ONCE = 16;
    private static final int CALLERS = 4;
    private static final long MOST_MS = 4_000;
    private static final int CUSTOMERS = 64;
    private static final long NODE = 1;

    private final EventLoop loop;
    private final Gateway.Settings settings;
    private final List<String> classes;
    private final List<String> plans;
    private final Dispatcher dispatcher;
    private final Server server;
    private final List<ManagedChannel> channels = new ArrayList<>();
    private final CountDownLatch over = new CountDownLatch(1);
    private final long startedAt = System.nanoTime();
    private int begun;
    private int ended;
    private int forwarded;

    private DryRun(EventLoopGroup group, ExtProcSettings own, GatewaySettingsReader reader, Gateway.Settings deployment)
            throws IOException {
        loop = group.next();
        settings = deployment;
        classes = reader.names("Services");
        plans = reader.names("TiersOfService");
        Processor processor = new Processor(loop, own, new RequestValidator(reader, deployment));
        dispatcher = new Dispatcher(loop, new EventLoopClock(), RequestLimiter.NONE, List.of(processor), reader,
                deployment,
                GatewayDecider::new);
        processor.open(dispatcher);
        Answers answers = new Answers(own);
        BackendReport.Reader reports = new BackendReport.Reader(reader);
        server = NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .channelType(NioServerSocketChannel.class)
                .bossEventLoopGroup(group).workerEventLoopGroup(group).directExecutor()
                .addService(new ExternalProcessorGrpc.ExternalProcessorImplBase() {
                    @Override
                    public StreamObserver<ProcessingRequest> process(StreamObserver<ProcessingResponse> out) {
                        return new AskStream(processor, answers, reports, own,
                                (ServerCallStreamObserver<ProcessingResponse>) out);
                    }
                }).build().start();
        for (int i = 0; i < CALLERS; i++) {
            channels.add(NettyChannelBuilder.forAddress(server.getListenSockets().get(0)).usePlaintext()
                    .eventLoopGroup(group).channelType(NioSocketChannel.class).directExecutor().build());
        }
    }

    /** Runs it to its end; called off the event loop. Never fails a start. */
    static void run(EventLoopGroup group, ExtProcSettings own, GatewaySettingsReader reader,
            Gateway.Settings deployment) {
        try {
            new DryRun(group, own, reader, deployment).run();
        } catch (IOException | RuntimeException e) {
            Log.line("ext_proc: dry run left out", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() throws InterruptedException {
        loop.execute(() -> {
            dispatcher.endpointsUpdated(true, List.of(new Endpoint(NODE, "dry", new InetSocketAddress(
                    InetAddress.getLoopbackAddress(), 9), "", "", 0, Gateway.DiscoveryState.READY, 1, 0)));
            for (int i = 0; i < AT_ONCE; i++) {
                next();
            }
        });
        over.await(MOST_MS, TimeUnit.MILLISECONDS);
        channels.forEach(ManagedChannel::shutdownNow);
        server.shutdownNow();
        Log.line("ext_proc: dry run: " + forwarded + " forwarded of " + ended + " asks in "
                + (System.nanoTime() - startedAt) / 1_000_000 + " ms");
    }

    private void next() {
        if (begun < ASKS && !classes.isEmpty() && !plans.isEmpty()) {
            ExternalProcessorGrpc.newStub(channels.get(begun % CALLERS)).process(new One(begun++));
        } else if (ended >= begun) {
            over.countDown();
        }
    }

    private ProcessingRequest ask(int number) {
        int kind = number % classes.size();
        boolean get = settings.classes().get(kind).idempotency() == Gateway.Idempotency.IDEMPOTENT;
        HeaderMap.Builder headers = HeaderMap.newBuilder();
        add(headers, ":method", get ? "GET" : "POST");
        add(headers, ":path", "/api/dry");
        add(headers, "x-txn", String.format("%016x", number));
        add(headers, "x-lane", classes.get(kind));
        add(headers, "x-plan", plans.get(number / classes.size() % plans.size()));
        add(headers, "x-customer", String.format("%016x", number % CUSTOMERS));
        add(headers, "x-remaining-ms", "3000");
        add(headers, "x-quota", "units=0.01,spread=1,first=0");
        add(headers, "x-envoy-attempt-count", "1");
        return ProcessingRequest.newBuilder().setRequestHeaders(HttpHeaders.newBuilder().setHeaders(headers)).build();
    }

    private static void add(HeaderMap.Builder to, String name, String value) {
        to.addHeaders(HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)));
    }

    /** A stream from its ask to its outcome. */
    private final class One implements ClientResponseObserver<ProcessingRequest, ProcessingResponse> {
        private final int number;
        private ClientCallStreamObserver<ProcessingRequest> out;
        private boolean done;

        One(int number) {
            this.number = number;
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<ProcessingRequest> stream) {
            out = stream;
            loop.execute(() -> out.onNext(ask(number)));
        }

        @Override
        public void onNext(ProcessingResponse answer) {
            if (answer.hasRequestHeaders()) {
                forwarded++;
                HeaderMap.Builder headers = HeaderMap.newBuilder();
                add(headers, ":status", number % 50 == 0 ? "500" : "200");
                add(headers, "x-quota-used", "10");
                out.onNext(ProcessingRequest.newBuilder().setResponseHeaders(
                        HttpHeaders.newBuilder().setHeaders(headers)).build());
            } else if (answer.hasResponseHeaders()) {
                out.onCompleted();
            }
        }

        private void end() {
            if (!done) {
                done = true;
                ended++;
                // At the loop's next turn: begun within the last one's end they would nest.
                loop.execute(DryRun.this::next);
            }
        }

        @Override
        public void onError(Throwable fault) {
            end();
        }

        @Override
        public void onCompleted() {
            end();
        }
    }
}
