package nettletrail.router;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import nettletrail.configuration.Limits;

/**
 * Time limits of one client connection: idle time, time for an incomplete request, and time without
 * progress of a response's write. On the event loop.
 */
final class ClientTimeouts {
  /** For a client that doesn't read the last response. */
  private static final long MAX_STALLED_LAST_WRITE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final Channel channel;
  private final ClientConnection connection;
  private final ResponseWriter writer;
  private final PartialRequestTracker partial;
  private final PartialRequestTracker.DeadlineSource deadlines;
  private long idleSince = System.nanoTime();

  ClientTimeouts(
      Channel channel,
      ClientConnection connection,
      ResponseWriter writer,
      PartialRequestTracker partial,
      PartialRequestTracker.DeadlineSource deadlines) {
    this.channel = channel;
    this.connection = connection;
    this.writer = writer;
    this.partial = partial;
    this.deadlines = deadlines;
  }

  /** A response is written: the idle time starts anew. */
  void responseEnded() {
    partial.resetFirstBytes();
    idleSince = System.nanoTime();
  }

  /** Closes the connection, or rejects its incomplete request, if a limit has passed. */
  void check(long now, Limits limits) {
    long idleNanos = TimeUnit.MILLISECONDS.toNanos(limits.idleMs());
    long headNanos = Math.max(idleNanos, TimeUnit.MILLISECONDS.toNanos(limits.headerMs()));
    long writeNanos = connection.hasEnded() ? MAX_STALLED_LAST_WRITE_NANOS : idleNanos;
    if (writer.isStalled(now, writeNanos)) {
      channel.close();
    } else if (hasOnlyPartialRequest() && partial.isOverdue(now, headNanos, deadlines)) {
      if (connection.isClientConnected() && hasOnlyPartialRequest()) {
        connection.rejectOverdue();
      }
    } else if (now - idleSince > idleNanos) {
      closeIfIdle();
    }
  }

  /**
   * Closes the connection if it is idle. Unread bytes are read first, since they may be a request.
   *
   * @return whether it was closed
   */
  boolean closeIfIdle() {
    if (isIdle() && connection.isClientConnected() && isIdle()) {
      channel.close();
      return true;
    }
    return false;
  }

  /** Whether there is no request, no part of one and no unwritten response. */
  private boolean isIdle() {
    return connection.awaitsRequest() && !partial.hasPartialRequest() && writer.unwritten() == 0;
  }

  private boolean hasOnlyPartialRequest() {
    return connection.awaitsRequest() && partial.hasPartialRequest();
  }
}
