package nettletrail.router.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.util.ArrayDeque;
import nettletrail.router.BackendEndpoint;

/**
 * The connections of this door to one incarnation of a backend, and the requests that wait for one.
 */
final class BackendChannels {
  /** One request that waits or is on a connection. */
  final class Ride implements UpstreamPool.Ticket {
    final Attempt attempt;
    private UpstreamConnection connection;
    private boolean over;

    Ride(Attempt attempt) {
      this.attempt = attempt;
    }

    void boarded(UpstreamConnection on) {
      connection = on;
    }

    /** The connection is done with it. */
    void left() {
      connection = null;
      over = true;
    }

    @Override
    public void cancel() {
      if (over) {
        return;
      }
      over = true;
      UpstreamConnection on = connection;
      connection = null;
      if (on == null) {
        waiting.remove(this);
      } else {
        on.abort();
      }
    }

    @Override
    public void setReading(boolean on) {
      if (connection != null) {
        connection.setReading(on);
      }
    }

    void fail(AttemptFailure failure) {
      if (!over) {
        over = true;
        attempt.failed(failure);
      }
    }
  }

  private final UpstreamPool pool;
  private final BackendEndpoint endpoint;

  /** Most recently used last: taken from the end, so that those not needed grow old and go. */
  private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();

  private final ArrayDeque<Ride> waiting = new ArrayDeque<>();
  private int connecting;
  private int resting;
  private int connections;
  private int max = 1;
  private boolean retired;

  BackendChannels(UpstreamPool pool, BackendEndpoint endpoint) {
    this.pool = pool;
    this.endpoint = endpoint;
  }

  String id() {
    return endpoint.id();
  }

  UpstreamPool.Ticket send(Attempt attempt, int maxConnections, long now) {
    max = Math.max(1, maxConnections);
    Ride ride = new Ride(attempt);
    UpstreamConnection free = takeIdle(now);
    if (free != null) {
      if (!free.carry(ride)) {
        ready(free, now);
      }
      return ride;
    }
    waiting.addLast(ride);
    connectIfNeeded();
    if (!ride.over && ride.connection == null && resting > 0) {
      pool.wakeAtRestOf(this, now);
    }
    return ride;
  }

  /** The youngest idle connection that may still be used; those that may not are closed. */
  private UpstreamConnection takeIdle(long now) {
    UpstreamConnection youngest = idle.pollLast();
    while (youngest != null) {
      if (youngest.isFresh(now) && youngest.isQuiet()) {
        return youngest;
      }
      youngest.close(); // too old, or its end or bytes that nobody asked for lie unread
      youngest = idle.pollLast();
    }
    return null;
  }

  /** One that rests is free sooner than it costs the backend to take a new one. */
  private void connectIfNeeded() {
    while (connecting + resting < waiting.size() && connections < max) {
      if (!pool.reserveConnection()) {
        break;
      }
      connect();
    }
    if (connections == 0 && !waiting.isEmpty()) {
      failWaiting(0, AttemptFailure.NOT_CONNECTED);
    }
  }

  private void connect() {
    connecting++;
    connections++;
    UpstreamConnection connection = new UpstreamConnection(this, pool);
    ChannelFuture opening =
        pool.bootstrap()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connection.addTo(channel);
                  }
                })
            .connect(endpoint.address());
    opening.channel().closeFuture().addListener(closed -> connection.closed());
    opening.addListener(
        done -> {
          connecting--;
          if (done.isSuccess()) {
            ready(connection, System.nanoTime());
          } else {
            opening.channel().close();
            failWaiting(connecting + resting, AttemptFailure.NOT_CONNECTED);
          }
        });
  }

  /**
   * Fails those for whom no connection is coming up; one that came free may have taken one already.
   */
  private void failWaiting(int kept, AttemptFailure failure) {
    while (waiting.size() > kept) {
      waiting.pollFirst().fail(failure);
    }
  }

  /** A connection has rested. */
  void rested(UpstreamConnection connection, long now) {
    connection.endRest();
    resting--;
    ready(connection, now);
  }

  /** A connection is free: the first that waits and still wants to be sent takes it. */
  private void ready(UpstreamConnection connection, long now) {
    if (!connection.isOpen()) {
      return;
    }
    Ride next = waiting.pollFirst();
    while (next != null) {
      if (!next.over && connection.carry(next)) {
        return;
      }
      next = waiting.pollFirst();
    }
    if (retired) {
      connection.close();
      return;
    }
    connection.idleFrom(now);
    idle.addLast(connection);
  }

  /** A connection has answered and may be used again. */
  void answered(UpstreamConnection connection, long now) {
    if (retired) {
      connection.close();
      return;
    }
    resting++;
    pool.rest(connection, now);
    if (!waiting.isEmpty()) {
      pool.wakeAtRestOf(this, now);
    }
  }

  /** A connection has closed; told before whoever was on it hears of it. */
  void closed(UpstreamConnection connection) {
    connections--;
    pool.releaseConnection();
    idle.remove(connection);
    if (connection.isResting()) {
      connection.endRest();
      resting--;
    }
    if (!waiting.isEmpty()) {
      pool.loop().execute(this::connectIfNeeded);
    }
    pool.forgetIfUnused(this);
  }

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
    while (oldest != null && !oldest.isFresh(now)) {
      idle.pollFirst();
      oldest.close();
      oldest = idle.peekFirst();
    }
  }

  /** Since when the connection is idle that is so the longest; 0 if none is. */
  long idleSince() {
    UpstreamConnection oldest = idle.peekFirst();
    return oldest == null ? 0 : oldest.idleSince();
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
