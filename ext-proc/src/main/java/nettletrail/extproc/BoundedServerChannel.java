package nettletrail.extproc;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.List;
import nettletrail.core.Log;

/**
 * A listener with a maximum number of connections. A connection above the limit is closed as soon
 * as it is accepted, so that a burst of callers can't exhaust the file descriptors that clients and
 * backends need.
 */
final class BoundedServerChannel extends NioServerSocketChannel {
  private final int maxConnections;
  private final String protocol;
  private int openConnections;
  private boolean limitLogged;

  BoundedServerChannel(int maxConnections, String protocol) {
    this.maxConnections = maxConnections;
    this.protocol = protocol;
  }

  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    int alreadyAccepted = accepted.size();
    super.doReadMessages(accepted);
    for (int i = accepted.size() - 1; i >= alreadyAccepted; i--) {
      Channel channel = (Channel) accepted.get(i);
      if (openConnections >= maxConnections) {
        accepted.remove(i);
        channel.unsafe().closeForcibly();
        if (!limitLogged) {
          limitLogged = true;
          Log.line(
              "ext_proc: "
                  + protocol
                  + ": limit of "
                  + maxConnections
                  + " connections reached; further ones are closed "
                  + "(most_callers)");
        }
      } else {
        openConnections++;
        channel
            .closeFuture()
            .addListener(
                closed -> {
                  openConnections--;
                  limitLogged = false;
                });
      }
    }
    return accepted.size() - alreadyAccepted;
  }
}
