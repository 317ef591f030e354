package nettletrail.extproc;

import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import nettletrail.core.AttemptTransport;
import nettletrail.core.BackendReport;
import nettletrail.core.Dispatcher;
import nettletrail.core.Frontend;
import nettletrail.core.Log;
import nettletrail.core.RequestValidator;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;
import nettletrail.http.RequestDecoder;

/**
 * The external processor as a front: its two listeners on the front door's event loop, where gRPC calls run too, so
 * that no ask waits for another thread and the module needs no lock.
 */
public final class ExtProcServer implements Frontend {
    private static final int MOST_METADATA = 16 << 10;
    /** Resets of streams that a connection may send in a window before it is closed: HTTP/2 rapid reset. */
    private static final int MOST_RESETS = 2_000;
    private static final int RESET_WINDOW_S = 1;
    private static final int MOST_HTTP_BODY = 4 << 10;
    private static final int MOST_LINE = 8 << 10;
    private static final int MOST_HEADERS = 32 << 10;
    /** An HTTP caller that says nothing for so long is closed. */
    private static final int MOST_SILENT_S = 60;

    private final ExtProcSettings settings;
    private final EventLoopGroup group;
    private final GatewaySettingsReader reader;
    private final Gateway.Settings deployment;
    private final boolean dryRun;
    private final EventLoop loop;
    private final Processor processor;
    private final BackendReport.Reader reports;
    private final ChannelGroup callers;
    private Server server;
    private Channel http;

    /** The front that the settings describe. */
    public static Frontend.Factory factory(ExtProcSettings settings) {
        return (group, reader, deployment) -> new ExtProcServer(settings, group, reader, deployment, true);
    }

    /** The same without a dry run: it starts at once and is cold. */
    static ExtProcServer cold(ExtProcSettings settings, EventLoopGroup group, GatewaySettingsReader reader,
            Gateway.Settings deployment) {
        return new ExtProcServer(settings, group, reader, deployment, false);
    }

    private ExtProcServer(ExtProcSettings settings, EventLoopGroup group, GatewaySettingsReader reader,
            Gateway.Settings deployment, boolean dryRun) {
        this.settings = settings;
        this.group = group;
        this.reader = reader;
        this.deployment = deployment;
        this.dryRun = dryRun;
        loop = group.next();
        processor = new Processor(loop, settings, new RequestValidator(reader, deployment));
        reports = new BackendReport.Reader(reader);
        callers = new DefaultChannelGroup(loop);
    }

    @Override
    public AttemptTransport attemptTransport() {
        return processor;
    }

    @Override
    public void open(Dispatcher dispatcher) throws IOException {
        processor.open(dispatcher);
        if (dryRun) {
            DryRun.run(group, settings, reader, deployment);
        }
        if (settings.listen() != null) {
            server = grpc();
            try {
                server.start();
            } catch (IOException e) {
                throw new IOException("ext_proc.listen: can't listen on " + settings.listen() + ": " + cause(e)
                        + "; name an address of this machine that is free", e);
            }
            Log.line("ext_proc listens on " + grpcAddress() + " (gRPC)");
        }
        if (settings.httpListen() != null) {
            var bound = new ServerBootstrap().group(group)
                    .channelFactory(() -> new BoundedServerChannel(settings.mostCallers(), "http"))
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel made) {
                            callers.add(made);
                            made.pipeline().addLast(new IdleStateHandler(MOST_SILENT_S, 0, 0) {
                                @Override
                                protected void channelIdle(io.netty.channel.ChannelHandlerContext on,
                                        io.netty.handler.timeout.IdleStateEvent event) {
                                    on.close();
                                }
                            }, new RequestDecoder(MOST_LINE, MOST_HEADERS), new HttpResponseEncoder(),
                                    new HttpObjectAggregator(MOST_HTTP_BODY, true),
                                    new HttpAsks(processor, reports, settings));
                        }
                    }).bind(settings.httpListen()).awaitUninterruptibly();
            if (!bound.isSuccess()) {
                throw new IOException("ext_proc.http_listen: can't listen on " + settings.httpListen() + ": "
                        + cause(bound.cause()) + "; name an address of this machine that is free", bound.cause());
            }
            http = bound.channel();
            Log.line("ext_proc listens on " + http.localAddress() + " (HTTP)");
        }
    }

    private static String cause(Throwable of) {
        return String.valueOf((of.getCause() == null ? of : of.getCause()).getMessage());
    }

    private Server grpc() {
        Answers answers = new Answers(settings);
        return NettyServerBuilder.forAddress(settings.listen())
                .channelFactory(() -> new BoundedServerChannel(settings.mostCallers(), "gRPC"))
                .bossEventLoopGroup(group).workerEventLoopGroup(group).directExecutor()
                .withChildOption(ChannelOption.TCP_NODELAY, true)
                .maxInboundMessageSize(settings.mostMessage())
                .maxInboundMetadataSize(MOST_METADATA)
                .maxConcurrentCallsPerConnection(settings.mostStreams())
                .maxRstFramesPerWindow(MOST_RESETS, RESET_WINDOW_S)
                .permitKeepAliveTime(5, TimeUnit.SECONDS).permitKeepAliveWithoutCalls(true)
                .keepAliveTime(30, TimeUnit.SECONDS).keepAliveTimeout(5, TimeUnit.SECONDS)
                .addService(new ExternalProcessorGrpc.ExternalProcessorImplBase() {
                    @Override
                    public StreamObserver<ProcessingRequest> process(StreamObserver<ProcessingResponse> out) {
                        return new AskStream(processor, answers, reports, settings,
                                (ServerCallStreamObserver<ProcessingResponse>) out);
                    }
                }).build();
    }

    /** Where it listens for gRPC, or null. */
    public InetSocketAddress grpcAddress() {
        return server == null ? null : (InetSocketAddress) server.getListenSockets().get(0);
    }

    /** Where it listens for HTTP, or null. */
    public InetSocketAddress httpAddress() {
        return http == null ? null : (InetSocketAddress) http.localAddress();
    }

    /** For tests; asked on the loop. */
    Processor processor() {
        return processor;
    }

    /** What has happened since the start, by name; asked on the loop. */
    public java.util.Map<String, Object> counters() {
        return processor.counters().all();
    }

    /** Calls that are open go on: gRPC callers are told to open no more, HTTP ones are closed when idle. */
    @Override
    public void drain() {
        Log.line("ext_proc: draining, " + processor.undecided() + " undecided, "
                + (processor.held() - processor.undecided()) + " without an outcome");
        if (server != null) {
            server.shutdown();
        }
        if (http != null) {
            http.close();
            for (Channel caller : callers) {
                HttpAsks asks = caller.pipeline().get(HttpAsks.class);
                if (asks != null && asks.idle()) {
                    caller.close();
                }
            }
        }
    }

    @Override
    public boolean drained() {
        return processor.held() == 0;
    }

    @Override
    public void close() {
        if (server != null) {
            server.shutdownNow();
        }
        if (http != null) {
            http.close();
        }
        callers.close();
    }
}
