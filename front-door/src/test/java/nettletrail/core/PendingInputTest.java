package nettletrail.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A close is found behind more data than the event loop reads in one turn. */
@Timeout(30)
class PendingInputTest {
  @Test
  void closeIsDetectedBehindAllPendingBytes() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    BlockingQueue<Channel> taken = new LinkedBlockingQueue<>();
    AtomicInteger bytes = new AtomicInteger();
    try {
      Channel listening =
          new ServerBootstrap()
              .group(group)
              .channel(NioServerSocketChannel.class)
              .childOption(
                  ChannelOption.RCVBUF_ALLOCATOR,
                  new FixedRecvByteBufAllocator(4_096)) // 4 KB a turn
              .childHandler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                      made.pipeline()
                          .addLast(
                              new ChannelInboundHandlerAdapter() {
                                @Override
                                public void channelRead(
                                    ChannelHandlerContext context, Object message) {
                                  bytes.addAndGet(((ByteBuf) message).readableBytes());
                                  ReferenceCountUtil.release(message);
                                }
                              });
                      taken.add(made);
                    }
                  })
              .bind(InetAddress.getLoopbackAddress(), 0)
              .sync()
              .channel();
      InetSocketAddress address = (InetSocketAddress) listening.localAddress();
      CountDownLatch gone = new CountDownLatch(1);
      Future<Boolean> look;
      try (Socket client = new Socket(address.getAddress(), address.getPort())) {
        Channel channel = taken.take();
        look =
            group
                .next()
                .submit(
                    () -> {
                      gone.await();
                      PendingInput.readAll(channel);
                      return channel.isActive();
                    });
        client.getOutputStream().write(new byte[40_000]);
      }
      gone.countDown();
      assertFalse(look.get());
      assertEquals(40_000, bytes.get());
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}
