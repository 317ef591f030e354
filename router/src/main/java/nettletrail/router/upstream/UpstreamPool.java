package nettletrail.router.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import nettletrail.router.BackendEndpoint;
import nettletrail.upstream.IdleTimeoutEstimator;
import nettletrail.upstream.PeekingChannel;

/**
 * The connections of this door to all backends. Each incarnation of a backend has its own pool, so
 * that a request never reaches another process which uses the same address later. All methods are
 * called on the event loop.
 */
public final class UpstreamPool {
  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final int maxConnections;
  private final Map<String, BackendConnectionPool> backends = new HashMap<>();
  private final CooldownQueue cooldowns;
  private final IdleTimeoutEstimator idleTimeoutEstimator =
      new IdleTimeoutEstimator(System.nanoTime());
  private int connections;

  /**
   * @param connectTimeoutMs timeout for opening a connection, in ms
   * @param maxConnections to all backends together
   */
  public UpstreamPool(EventLoop loop, int connectTimeoutMs, int maxConnections) {
    this.loop = loop;
    this.maxConnections = maxConnections;
    cooldowns = new CooldownQueue(loop);
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(PeekingChannel.factory())
            .option(ChannelOption.TCP_NODELAY, true)
            // Tells an orderly end from a reset: a response may end with the connection.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
  }

  /**
   * Sends a request, now or when a connection is free. Methods of the attempt may be called before
   * this returns.
   *
   * @param maxToBackend connections that this door may have to the backend
   */
  public AttemptHandle send(BackendEndpoint endpoint, int maxToBackend, Attempt attempt) {
    long now = System.nanoTime();
    cooldowns.endElapsed(now);
    BackendConnectionPool backend =
        backends.computeIfAbsent(endpoint.id(), id -> new BackendConnectionPool(this, endpoint));
    return backend.send(attempt, maxToBackend, now);
  }

  /** Closes the idle connections to an incarnation; the others close after their response. */
  public void retire(String backendId) {
    BackendConnectionPool backend = backends.get(backendId);
    if (backend != null) {
      backend.retire();
      removeIfUnused(backend);
    }
  }

  /** Closes the idle connections to an incarnation, so that its next request opens a new one. */
  public void closeIdle(String backendId) {
    BackendConnectionPool backend = backends.get(backendId);
    if (backend != null) {
      backend.closeIdle();
    }
  }

  /** Ends cooldowns and closes stale connections; to be called about once a second. */
  public void tick(long now) {
    cooldowns.endElapsed(now);
    for (BackendConnectionPool backend : new ArrayList<>(backends.values())) {
      backend.closeStale(now);
      removeIfUnused(backend);
    }
  }

  void removeIfUnused(BackendConnectionPool backend) {
    if (backend.isRetired() && backend.isUnused()) {
      backends.remove(backend.id(), backend);
    }
  }

  /** The idle times at which reused connections turned out to be closed. */
  IdleTimeoutEstimator idleTimeoutEstimator() {
    return idleTimeoutEstimator;
  }

  CooldownQueue cooldowns() {
    return cooldowns;
  }

  EventLoop loop() {
    return loop;
  }

  Bootstrap bootstrap() {
    return bootstrap.clone();
  }

  /**
   * Counts a new connection; at the limit the least recently used idle one is closed for it.
   *
   * @return false if the limit is reached and no connection is idle
   */
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
    BackendConnectionPool oldest = null;
    for (BackendConnectionPool backend : backends.values()) {
      if (backend.oldestIdleSince() != 0
          && (oldest == null || backend.oldestIdleSince() - oldest.oldestIdleSince() < 0)) {
        oldest = backend;
      }
    }
    return oldest != null && oldest.closeOldestIdle();
  }
}
