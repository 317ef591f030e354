package nettletrail.control.door;

import java.util.Optional;
import nettletrail.protocol.FeedAck;
import nettletrail.protocol.FeedEvents;
import nettletrail.protocol.FeedSnapshot;

/**
 * Follows the backend feed of each core process: a snapshot, then events by offset. Applies what it
 * reads to the {@link BackendView} and returns the acknowledgement to send, if one is due.
 */
final class FeedFollower {
  private final String door;
  private final BackendView backends;

  FeedFollower(String door, BackendView backends) {
    this.door = door;
    this.backends = backends;
  }

  /** Replaces what was read from this core process; acknowledged at once. */
  DoorAction snapshot(CoreLink link, FeedSnapshot snapshot, long now) {
    String core = link.address();
    backends.feedLive(core, now);
    if (link.feed() == snapshot.getFeed()) {
      backends.resync(core, snapshot.getBackends(), now);
    } else {
      backends.restart(core, snapshot.getBackends(), now);
    }
    link.feedRead(snapshot.getFeed(), snapshot.getOffset());
    return acknowledgement(link);
  }

  /**
   * Applies events. Those of another feed, or that would leave a gap, are dropped: the next
   * heartbeat reports the offset from which the core process sends again.
   *
   * @return an acknowledgement if a backend is closing or gone, since the core process answers that
   *     backend only then; empty otherwise, since the next heartbeat carries the offset
   */
  Optional<DoorAction> events(CoreLink link, FeedEvents events, long now) {
    if (events.getFeed() != link.feed() || events.getFromOffset() > link.feedOffset()) {
      return Optional.empty();
    }
    String core = link.address();
    backends.feedLive(core, now);
    if (events.getOffset() > link.feedOffset()) {
      events.getBackends().forEach(backend -> backends.update(core, backend, now));
      events.getExpired().forEach(id -> backends.expired(core, id));
      link.feedRead(events.getFeed(), events.getOffset());
    }
    boolean deregisters = events.getBackends().stream().anyMatch(KnownBackend::isDeregistration);
    return deregisters ? Optional.of(acknowledgement(link)) : Optional.empty();
  }

  /** A core process reported its feed's end: it is being followed if nothing is missing. */
  void endReported(CoreLink link, long feed, long offset, long now) {
    if (feed == link.feed() && offset == link.feedOffset()) {
      backends.feedLive(link.address(), now);
    }
  }

  private DoorAction acknowledgement(CoreLink link) {
    FeedAck acknowledgement = new FeedAck(door, link.feed(), link.feedOffset());
    return new DoorAction.SendToCore(link.address(), acknowledgement);
  }
}
