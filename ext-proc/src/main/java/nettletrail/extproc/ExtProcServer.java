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
 * The external processor's server. Its gRPC and HTTP listeners share the front door's event loop,
 * where gRPC calls run too, so that no decision request waits for another thread and the decision
 * module needs no lock.
 */
public final class ExtProcServer implements Frontend {
  private static final int MAX_METADATA_BYTES = 16 << 10;

  /**
   * A connection with more stream resets in a window is closed, against HTTP/2 rapid reset attacks.
   */
  private static final int MAX_RESETS_PER_WINDOW = 2_000;

  private static final int RESET_WINDOW_SECONDS = 1;
  private static final int MAX_HTTP_BODY_BYTES = 4 << 10;
  private static final int MAX_REQUEST_LINE_BYTES = 8 << 10;
  private static final int MAX_HEADER_BYTES = 32 << 10;

  /** An HTTP connection that sends nothing for this time is closed. */
  private static final int MAX_IDLE_SECONDS = 60;

  private final ExtProcSettings settings;
  private final EventLoopGroup group;
  private final GatewaySettingsReader reader;
  private final Gateway.Settings deployment;
  private final boolean warmUp;
  private final EventLoop loop;
  private final Processor processor;
  private final BackendReport.Reader reportReader;
  private final ChannelGroup httpConnections;
  private Server grpcServer;
  private Channel httpListener;

  /** Returns a factory for the server that the settings describe. */
  public static Frontend.Factory factory(ExtProcSettings settings) {
    return (group, reader, deployment) ->
        new ExtProcServer(settings, group, reader, deployment, true);
  }

  /** A server without a warm-up, for tests: it starts at once, with cold code. */
  static ExtProcServer withoutWarmUp(
      ExtProcSettings settings,
      EventLoopGroup group,
      GatewaySettingsReader reader,
      Gateway.Settings deployment) {
    return new ExtProcServer(settings, group, reader, deployment, false);
  }

  private ExtProcServer(
      ExtProcSettings settings,
      EventLoopGroup group,
      GatewaySettingsReader reader,
      Gateway.Settings deployment,
      boolean warmUp) {
    this.settings = settings;
    this.group = group;
    this.reader = reader;
    this.deployment = deployment;
    this.warmUp = warmUp;
    loop = group.next();
    processor = new Processor(loop, settings, new RequestValidator(reader, deployment));
    reportReader = new BackendReport.Reader(reader);
    httpConnections = new DefaultChannelGroup(loop);
  }

  @Override
  public AttemptTransport attemptTransport() {
    return processor;
  }

  @Override
  public void open(Dispatcher dispatcher) throws IOException {
    processor.open(dispatcher);
    if (warmUp) {
      ExtProcWarmUp.run(group, settings, reader, deployment);
    }
    if (settings.listen() != null) {
      grpcServer = buildGrpcServer();
      try {
        grpcServer.start();
      } catch (IOException e) {
        throw new IOException(
            "ext_proc.listen: can't listen on "
                + settings.listen()
                + ": "
                + causeMessage(e)
                + "; name an address of this machine that is free",
            e);
      }
      Log.line("ext_proc listens on " + grpcAddress() + " (gRPC)");
    }
    if (settings.httpListen() != null) {
      var bindFuture =
          new ServerBootstrap()
              .group(group)
              .channelFactory(() -> new BoundedServerChannel(settings.maxConnections(), "http"))
              .childOption(ChannelOption.TCP_NODELAY, true)
              .childHandler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                      httpConnections.add(channel);
                      channel
                          .pipeline()
                          .addLast(
                              new IdleStateHandler(MAX_IDLE_SECONDS, 0, 0) {
                                @Override
                                protected void channelIdle(
                                    io.netty.channel.ChannelHandlerContext context,
                                    io.netty.handler.timeout.IdleStateEvent event) {
                                  context.close();
                                }
                              },
                              new RequestDecoder(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES),
                              new HttpResponseEncoder(),
                              new HttpObjectAggregator(MAX_HTTP_BODY_BYTES, true),
                              new ForwardAuthHandler(processor, reportReader, settings));
                    }
                  })
              .bind(settings.httpListen())
              .awaitUninterruptibly();
      if (!bindFuture.isSuccess()) {
        throw new IOException(
            "ext_proc.http_listen: can't listen on "
                + settings.httpListen()
                + ": "
                + causeMessage(bindFuture.cause())
                + "; name an address of this machine that is free",
            bindFuture.cause());
      }
      httpListener = bindFuture.channel();
      Log.line("ext_proc listens on " + httpListener.localAddress() + " (HTTP)");
    }
  }

  private static String causeMessage(Throwable error) {
    return String.valueOf((error.getCause() == null ? error : error.getCause()).getMessage());
  }

  private Server buildGrpcServer() {
    ExtProcResponses responses = new ExtProcResponses(settings);
    return NettyServerBuilder.forAddress(settings.listen())
        .channelFactory(() -> new BoundedServerChannel(settings.maxConnections(), "gRPC"))
        .bossEventLoopGroup(group)
        .workerEventLoopGroup(group)
        .directExecutor()
        .withChildOption(ChannelOption.TCP_NODELAY, true)
        .maxInboundMessageSize(settings.maxMessageBytes())
        .maxInboundMetadataSize(MAX_METADATA_BYTES)
        .maxConcurrentCallsPerConnection(settings.maxStreamsPerConnection())
        .maxRstFramesPerWindow(MAX_RESETS_PER_WINDOW, RESET_WINDOW_SECONDS)
        .permitKeepAliveTime(5, TimeUnit.SECONDS)
        .permitKeepAliveWithoutCalls(true)
        .keepAliveTime(30, TimeUnit.SECONDS)
        .keepAliveTimeout(5, TimeUnit.SECONDS)
        .addService(
            new ExternalProcessorGrpc.ExternalProcessorImplBase() {
              @Override
              public StreamObserver<ProcessingRequest> process(
                  StreamObserver<ProcessingResponse> responseObserver) {
                return new ExtProcStream(
                    processor,
                    responses,
                    reportReader,
                    settings,
                    (ServerCallStreamObserver<ProcessingResponse>) responseObserver);
              }
            })
        .build();
  }

  /** Returns the address of the gRPC listener, or null if there is none. */
  public InetSocketAddress grpcAddress() {
    return grpcServer == null ? null : (InetSocketAddress) grpcServer.getListenSockets().get(0);
  }

  /** Returns the address of the HTTP listener, or null if there is none. */
  public InetSocketAddress httpAddress() {
    return httpListener == null ? null : (InetSocketAddress) httpListener.localAddress();
  }

  /** Returns the processor, for tests; call it on the event loop. */
  Processor processor() {
    return processor;
  }

  /** Returns the counters since the start, by name; call it on the event loop. */
  public java.util.Map<String, Object> counters() {
    return processor.counters().all();
  }

  /**
   * Open calls continue: gRPC clients are instructed to open no more, idle HTTP connections are
   * closed.
   */
  @Override
  public void drain() {
    Log.line(
        "ext_proc: draining, "
            + processor.awaitingDecision()
            + " awaiting a decision, "
            + (processor.openCount() - processor.awaitingDecision())
            + " awaiting an outcome");
    if (grpcServer != null) {
      grpcServer.shutdown();
    }
    if (httpListener != null) {
      httpListener.close();
      for (Channel connection : httpConnections) {
        ForwardAuthHandler handler = connection.pipeline().get(ForwardAuthHandler.class);
        if (handler != null && handler.idle()) {
          connection.close();
        }
      }
    }
  }

  @Override
  public boolean drained() {
    return processor.openCount() == 0;
  }

  @Override
  public void close() {
    if (grpcServer != null) {
      grpcServer.shutdownNow();
    }
    if (httpListener != null) {
      httpListener.close();
    }
    httpConnections.close();
  }
}
