package nettletrail.proxy;

import com.google.protobuf.ByteString;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.service.ext_proc.v3.CommonResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.HeaderMutation;
import io.envoyproxy.envoy.service.ext_proc.v3.HeadersResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * The floor that an external processor is measured against: a bare gRPC server of the same protocol that decides
 * nothing and answers each message at once, with messages of the same size, to nodes in turn.
 */
public final class EchoProcessor implements AutoCloseable {
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final Server server;
    private int turn;

    public EchoProcessor(String... nodes) throws IOException {
        server = NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .channelType(NioServerSocketChannel.class).bossEventLoopGroup(group).workerEventLoopGroup(group)
                .directExecutor().addService(new ExternalProcessorGrpc.ExternalProcessorImplBase() {
                    @Override
                    public StreamObserver<ProcessingRequest> process(StreamObserver<ProcessingResponse> out) {
                        return new Echo(out, nodes);
                    }
                }).build().start();
    }

    public int port() {
        return ((InetSocketAddress) server.getListenSockets().get(0)).getPort();
    }

    @Override
    public void close() {
        server.shutdownNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private final class Echo implements StreamObserver<ProcessingRequest> {
        private final StreamObserver<ProcessingResponse> out;
        private final String[] nodes;

        Echo(StreamObserver<ProcessingResponse> out, String[] nodes) {
            this.out = out;
            this.nodes = nodes;
        }

        @Override
        public void onNext(ProcessingRequest message) {
            ProcessingResponse.Builder answer = ProcessingResponse.newBuilder();
            if (message.hasRequestHeaders()) {
                String node = nodes[turn++ % nodes.length];
                answer.setRequestHeaders(HeadersResponse.newBuilder().setResponse(CommonResponse.newBuilder()
                        .setHeaderMutation(HeaderMutation.newBuilder()
                                .addSetHeaders(header("x-gateway-destination-endpoint", node))
                                .addSetHeaders(header("x-envoy-original-dst-host", node))
                                .addSetHeaders(header("x-remaining-ms", "2900"))
                                .addSetHeaders(header("x-envoy-max-retries", "0")))));
            } else {
                answer.setResponseHeaders(HeadersResponse.getDefaultInstance());
            }
            out.onNext(answer.build());
        }

        @Override
        public void onError(Throwable fault) { }

        @Override
        public void onCompleted() {
            out.onCompleted();
        }

        private static HeaderValueOption header(String name, String value) {
            return HeaderValueOption.newBuilder().setHeader(HeaderValue.newBuilder().setKey(name)
                    .setRawValue(ByteString.copyFromUtf8(value))).build();
        }
    }
}
