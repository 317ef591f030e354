package nettletrail.router.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.util.ArrayDeque;
import nettletrail.router.BackendEndpoint;

/**
 * The connections of this door to one incarnation of a backend, and the attempts that wait for one.
 * All on the event loop.
 */
final class BackendConnectionPool {
  private final UpstreamPool pool;
  private final BackendEndpoint endpoint;

  /** The most recently used last, and used first, so that surplus connections become stale. */
  private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();

  private final ArrayDeque<PooledAttempt> waiting = new ArrayDeque<>();
  private int connecting;
  private int coolingDown;
  private int connections;
  private int maxConnections = 1;
  private boolean retired;

  BackendConnectionPool(UpstreamPool pool, BackendEndpoint endpoint) {
    this.pool = pool;
    this.endpoint = endpoint;
  }

  String id() {
    return endpoint.id();
  }

  /** Sends an attempt on an idle connection, or queues it for the next one. */
  AttemptHandle send(Attempt attempt, int newMaxConnections, long now) {
    maxConnections = Math.max(1, newMaxConnections);
    PooledAttempt pooled = new PooledAttempt(attempt, this);
    UpstreamConnection connection = pollIdle(now);
    if (connection != null) {
      if (!connection.carry(pooled)) {
        free(connection, now);
      }
      return pooled;
    }
    waiting.addLast(pooled);
    connectIfNeeded();
    if (pooled.isWaiting() && coolingDown > 0) {
      pool.cooldowns().scheduleEndFor(this, now);
    }
    return pooled;
  }

  /** Removes an attempt that was cancelled. */
  void removeWaiting(PooledAttempt cancelled) {
    waiting.remove(cancelled);
  }

  /** The most recently used idle connection that is still usable; closes those that are not. */
  private UpstreamConnection pollIdle(long now) {
    UpstreamConnection latest = idle.pollLast();
    while (latest != null) {
      if (latest.reuse().isFresh(now) && latest.hasNothingUnread()) {
        return latest;
      }
      latest.close(); // stale, closed by the backend, or with unsolicited bytes
      latest = idle.pollLast();
    }
    return null;
  }

  /** Connections that cool down count: they are free sooner than a new one would be open. */
  private void connectIfNeeded() {
    while (connecting + coolingDown < waiting.size() && connections < maxConnections) {
      if (!pool.reserveConnection()) {
        break;
      }
      connect();
    }
    if (connections == 0 && !waiting.isEmpty()) {
      failWaiting(0);
    }
  }

  private void connect() {
    connecting++;
    connections++;
    UpstreamConnection connection = new UpstreamConnection(this, pool.idleTimeoutEstimator());
    ChannelFuture opening =
        pool.bootstrap()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connection.initChannel(channel);
                  }
                })
            .connect(endpoint.address());
    opening.channel().closeFuture().addListener(closed -> connection.closed());
    opening.addListener(done -> connected(connection, opening));
  }

  private void connected(UpstreamConnection connection, ChannelFuture opened) {
    connecting--;
    if (opened.isSuccess()) {
      free(connection, System.nanoTime());
    } else {
      opened.channel().close();
      failWaiting(connecting + coolingDown);
    }
  }

  /** Fails the waiting attempts for which no connection is expected. */
  private void failWaiting(int expectedConnections) {
    while (waiting.size() > expectedConnections) {
      waiting.pollFirst().fail(AttemptFailure.CONNECT_FAILED);
    }
  }

  /** A connection's cooldown has elapsed. */
  void cooldownEnded(UpstreamConnection connection, long now) {
    connection.reuse().endCooldown();
    coolingDown--;
    free(connection, now);
  }

  /** A connection is free: the first waiting attempt that confirms takes it. */
  private void free(UpstreamConnection connection, long now) {
    if (!connection.isOpen()) {
      return;
    }
    PooledAttempt next = waiting.pollFirst();
    while (next != null) {
      if (!next.hasEnded() && connection.carry(next)) {
        return;
      }
      next = waiting.pollFirst();
    }
    if (retired) {
      connection.close();
      return;
    }
    connection.becomesIdle(now);
    idle.addLast(connection);
  }

  /** A connection's response has ended and it may be reused. */
  void responseEnded(UpstreamConnection connection, long now) {
    if (retired) {
      connection.close();
      return;
    }
    coolingDown++;
    pool.cooldowns().add(connection, now);
    if (!waiting.isEmpty()) {
      pool.cooldowns().scheduleEndFor(this, now);
    }
  }

  /** A connection has closed; called before its attempt is notified. */
  void closed(UpstreamConnection connection) {
    connections--;
    pool.releaseConnection();
    idle.remove(connection);
    if (connection.reuse().isCoolingDown()) {
      connection.reuse().endCooldown();
      coolingDown--;
    }
    if (!waiting.isEmpty()) {
      pool.loop().execute(this::connectIfNeeded);
    }
    pool.removeIfUnused(this);
  }

  /** The incarnation is no longer ready: connections close once their response has ended. */
  void retire() {
    retired = true;
    closeIdle();
  }

  void closeIdle() {
    for (UpstreamConnection each = idle.pollFirst(); each != null; each = idle.pollFirst()) {
      each.close();
    }
  }

  boolean isRetired() {
    return retired;
  }

  boolean isUnused() {
    return connections == 0 && waiting.isEmpty();
  }

  void closeStale(long now) {
    UpstreamConnection oldest = idle.peekFirst();
    while (oldest != null && !oldest.reuse().isFresh(now)) {
      idle.pollFirst();
      oldest.close();
      oldest = idle.peekFirst();
    }
  }

  /** Since when the least recently used connection is idle, ns; 0 if none is. */
  long oldestIdleSince() {
    UpstreamConnection oldest = idle.peekFirst();
    return oldest == null ? 0 : oldest.reuse().idleSince();
  }

  boolean closeOldestIdle() {
    UpstreamConnection oldest = idle.pollFirst();
    if (oldest == null) {
      return false;
    }
    oldest.close();
    return true;
  }
}
