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
 * Warms up the JIT with synthetic decision requests before the first proxy can connect. The JVM
 * interprets code that has rarely run, and the first requests to a cold processor took hundreds of
 * ms of a budget of 20 ms. It uses its own processor, decision module and listener, all discarded
 * before the real listener opens, so that only compiled code remains. It uses real loopback sockets
 * because much of the code on the path is socket code. Its duration is bounded; a slow machine
 * starts less warm.
 */
final class ExtProcWarmUp {
  private static final int REQUESTS = 6_000;
  private static final int CONCURRENCY = 16;
  private static final int CONNECTIONS = 4;
  private static final long MAX_DURATION_MS = 4_000;
  private static final int CUSTOMERS = 64;
  private static final long ENDPOINT_ID = 1;

  private final EventLoop loop;
  private final Gateway.Settings deploymentSettings;
  private final List<String> classes;
  private final List<String> plans;
  private final Dispatcher dispatcher;
  private final Server server;
  private final List<ManagedChannel> channels = new ArrayList<>();
  private final CountDownLatch done = new CountDownLatch(1);
  private final long startedAtNanos = System.nanoTime();
  private int started;
  private int finished;
  private int forwarded;

  private ExtProcWarmUp(
      EventLoopGroup group,
      ExtProcSettings extProcSettings,
      GatewaySettingsReader reader,
      Gateway.Settings deployment)
      throws IOException {
    loop = group.next();
    deploymentSettings = deployment;
    classes = reader.names("Services");
    plans = reader.names("TiersOfService");
    Processor processor =
        new Processor(loop, extProcSettings, new RequestValidator(reader, deployment));
    dispatcher =
        new Dispatcher(
            loop,
            new EventLoopClock(),
            RequestLimiter.NONE,
            List.of(processor),
            reader,
            deployment,
            GatewayDecider::new);
    processor.open(dispatcher);
    ExtProcResponses responses = new ExtProcResponses(extProcSettings);
    BackendReport.Reader reportReader = new BackendReport.Reader(reader);
    server =
        NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .channelType(NioServerSocketChannel.class)
            .bossEventLoopGroup(group)
            .workerEventLoopGroup(group)
            .directExecutor()
            .addService(
                new ExternalProcessorGrpc.ExternalProcessorImplBase() {
                  @Override
                  public StreamObserver<ProcessingRequest> process(
                      StreamObserver<ProcessingResponse> observer) {
                    return new ExtProcStream(
                        processor,
                        responses,
                        reportReader,
                        extProcSettings,
                        (ServerCallStreamObserver<ProcessingResponse>) observer);
                  }
                })
            .build()
            .start();
    for (int i = 0; i < CONNECTIONS; i++) {
      channels.add(
          NettyChannelBuilder.forAddress(server.getListenSockets().get(0))
              .usePlaintext()
              .eventLoopGroup(group)
              .channelType(NioSocketChannel.class)
              .directExecutor()
              .build());
    }
  }

  /**
   * Runs the warm-up and waits for its end. Must not be called on the event loop. A failure doesn't
   * fail the start.
   */
  static void run(
      EventLoopGroup group,
      ExtProcSettings extProcSettings,
      GatewaySettingsReader reader,
      Gateway.Settings deployment) {
    try {
      new ExtProcWarmUp(group, extProcSettings, reader, deployment).run();
    } catch (IOException | RuntimeException e) {
      Log.line("ext_proc: warm-up skipped", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() throws InterruptedException {
    loop.execute(
        () -> {
          dispatcher.endpointsUpdated(
              true,
              List.of(
                  new Endpoint(
                      ENDPOINT_ID,
                      "dry",
                      new InetSocketAddress(InetAddress.getLoopbackAddress(), 9),
                      "",
                      "",
                      0,
                      Gateway.DiscoveryState.READY,
                      1,
                      0)));
          for (int i = 0; i < CONCURRENCY; i++) {
            startNext();
          }
        });
    done.await(MAX_DURATION_MS, TimeUnit.MILLISECONDS);
    channels.forEach(ManagedChannel::shutdownNow);
    server.shutdownNow();
    Log.line(
        "ext_proc: dry run: "
            + forwarded
            + " forwarded of "
            + finished
            + " decision requests in "
            + (System.nanoTime() - startedAtNanos) / 1_000_000
            + " ms");
  }

  private void startNext() {
    if (started < REQUESTS && !classes.isEmpty() && !plans.isEmpty()) {
      ExternalProcessorGrpc.newStub(channels.get(started % CONNECTIONS))
          .process(new WarmUpStream(started++));
    } else if (finished >= started) {
      done.countDown();
    }
  }

  private ProcessingRequest requestMessage(int number) {
    int requestClass = number % classes.size();
    boolean get =
        deploymentSettings.classes().get(requestClass).idempotency()
            == Gateway.Idempotency.IDEMPOTENT;
    HeaderMap.Builder headers = HeaderMap.newBuilder();
    add(headers, ":method", get ? "GET" : "POST");
    add(headers, ":path", "/api/dry");
    add(headers, "x-txn", String.format("%016x", number));
    add(headers, "x-lane", classes.get(requestClass));
    add(headers, "x-plan", plans.get(number / classes.size() % plans.size()));
    add(headers, "x-customer", String.format("%016x", number % CUSTOMERS));
    add(headers, "x-remaining-ms", "3000");
    add(headers, "x-quota", "units=0.01,spread=1,first=0");
    add(headers, "x-envoy-attempt-count", "1");
    return ProcessingRequest.newBuilder()
        .setRequestHeaders(HttpHeaders.newBuilder().setHeaders(headers))
        .build();
  }

  private static void add(HeaderMap.Builder target, String name, String value) {
    target.addHeaders(
        HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)));
  }

  /** One stream, from its decision request to its outcome. */
  private final class WarmUpStream
      implements ClientResponseObserver<ProcessingRequest, ProcessingResponse> {
    private final int number;
    private ClientCallStreamObserver<ProcessingRequest> observer;
    private boolean streamDone;

    WarmUpStream(int number) {
      this.number = number;
    }

    @Override
    public void beforeStart(ClientCallStreamObserver<ProcessingRequest> stream) {
      observer = stream;
      loop.execute(() -> observer.onNext(requestMessage(number)));
    }

    @Override
    public void onNext(ProcessingResponse response) {
      if (response.hasRequestHeaders()) {
        forwarded++;
        HeaderMap.Builder headers = HeaderMap.newBuilder();
        add(headers, ":status", number % 50 == 0 ? "500" : "200");
        add(headers, "x-quota-used", "10");
        observer.onNext(
            ProcessingRequest.newBuilder()
                .setResponseHeaders(HttpHeaders.newBuilder().setHeaders(headers))
                .build());
      } else if (response.hasResponseHeaders()) {
        observer.onCompleted();
      }
    }

    private void finish() {
      if (!streamDone) {
        streamDone = true;
        finished++;
        // Scheduled as a task: starting the next stream inside this callback would recurse.
        loop.execute(ExtProcWarmUp.this::startNext);
      }
    }

    @Override
    public void onError(Throwable error) {
      finish();
    }

    @Override
    public void onCompleted() {
      finish();
    }
  }
}
