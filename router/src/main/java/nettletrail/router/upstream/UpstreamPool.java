package nettletrail.router.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import nettletrail.router.BackendEndpoint;
import nettletrail.upstream.IdleAges;
import nettletrail.upstream.PeekingChannel;

/**
 * The connections of this door to all backends. Each incarnation of a backend has its own, so that
 * a request never goes to whoever uses the address next. On one event loop.
 */
public final class UpstreamPool {
  /**
   * An answered connection rests so long before its next request, so that what a backend sends
   * behind its answer shows: bytes that come after the next request was written would be taken for
   * that one's answer.
   */
  static final long REST_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** A send that was asked for. */
  public interface Ticket {
    /**
     * Gives the send up: the connection, if it has one, is closed. The attempt hears nothing more.
     */
    void cancel();

    /**
     * Whether more of the answer is read for now.
     *
     * @param on false while the client does not take what was read
     */
    void setReading(boolean on);
  }

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final int maxConnections;
  private final Map<String, BackendChannels> backends = new HashMap<>();

  /** Connections that rest, the first to have rested first; some of them may have closed since. */
  private final ArrayDeque<UpstreamConnection> resting = new ArrayDeque<>();

  private final IdleAges idleAges = new IdleAges(System.nanoTime());
  private int connections;

  /**
   * @param connectTimeoutMs after which a connection that is not up has failed
   * @param maxConnections to all backends together
   */
  public UpstreamPool(EventLoop loop, int connectTimeoutMs, int maxConnections) {
    this.loop = loop;
    this.maxConnections = maxConnections;
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(PeekingChannel.factory())
            .option(ChannelOption.TCP_NODELAY, true)
            // The backend's orderly end is told apart from a reset: an answer may end with it.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
  }

  /**
   * Sends a request, now or when a connection is free.
   *
   * @param maxToBackend connections that this door may have to the backend
   */
  public Ticket send(BackendEndpoint endpoint, int maxToBackend, Attempt attempt) {
    long now = System.nanoTime();
    endRests(now);
    BackendChannels backend =
        backends.computeIfAbsent(endpoint.id(), id -> new BackendChannels(this, endpoint));
    return backend.send(attempt, maxToBackend, now);
  }

  /** Closes what is idle at this incarnation and forgets it once its last connection has closed. */
  public void retire(String backendId) {
    BackendChannels backend = backends.get(backendId);
    if (backend != null) {
      backend.retire();
      forgetIfUnused(backend);
    }
  }

  /**
   * Closes what is idle at this incarnation: its next request shows by a new connection whether it
   * is there.
   */
  public void closeIdle(String backendId) {
    BackendChannels backend = backends.get(backendId);
    if (backend != null) {
      backend.closeIdle();
    }
  }

  /** Ends rests and closes what was idle for too long. To be called about every second. */
  public void tick(long now) {
    endRests(now);
    for (BackendChannels backend : new ArrayList<>(backends.values())) {
      backend.closeStale(now);
      forgetIfUnused(backend);
    }
  }

  void forgetIfUnused(BackendChannels backend) {
    if (backend.isRetired() && backend.isUnused()) {
      backends.remove(backend.id(), backend);
    }
  }

  /** What breaks of reused connections have taught. */
  IdleAges idleAges() {
    return idleAges;
  }

  EventLoop loop() {
    return loop;
  }

  Bootstrap bootstrap() {
    return bootstrap.clone();
  }

  /** Counts one more connection; false if there is no room for it. */
  boolean reserveConnection() {
    if (connections >= maxConnections && !closeOldestIdle()) {
      return false;
    }
    connections++;
    return true;
  }

  void releaseConnection() {
    connections--;
  }

  private boolean closeOldestIdle() {
    BackendChannels holder = null;
    for (BackendChannels backend : backends.values()) {
      if (backend.idleSince() != 0
          && (holder == null || backend.idleSince() - holder.idleSince() < 0)) {
        holder = backend;
      }
    }
    return holder != null && holder.closeOldestIdle();
  }

  /** A connection whose answer is whole rests. */
  void rest(UpstreamConnection connection, long now) {
    connection.restUntil(now + REST_NANOS);
    resting.addLast(connection);
  }

  /**
   * Some request waits for a connection that rests: the loop is woken when the first one has
   * rested.
   */
  void wakeAtRestOf(BackendChannels backend, long now) {
    for (UpstreamConnection each : resting) {
      if (each.isResting() && each.backend() == backend) {
        long left = Math.max(0, each.restEnd() - now);
        loop.schedule(() -> endRests(System.nanoTime()), left, TimeUnit.NANOSECONDS);
        return;
      }
    }
  }

  /** Connections that have rested are free, if nothing has come behind their answers. */
  private void endRests(long now) {
    for (UpstreamConnection first = resting.peekFirst();
        first != null && first.restEnd() - now <= 0;
        first = resting.peekFirst()) {
      resting.pollFirst();
      if (!first.isResting()) {
        continue; // it has closed since
      }
      if (first.isQuiet()) {
        first.backend().rested(first, now);
      } else {
        first.close();
      }
    }
  }
}
