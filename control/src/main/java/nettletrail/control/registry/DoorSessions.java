package nettletrail.control.registry;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.ConfigurationFetch;
import nettletrail.protocol.DoorHeartbeat;
import nettletrail.protocol.FeedAck;

/**
 * The doors at this core process: their leases, and which configurations and feed entries each of
 * them was sent and acknowledged. Not thread-safe; instants are steady nanoseconds.
 */
public final class DoorSessions {
  /** A session without a link is dropped so long after its lease expired. */
  private static final long SESSION_RETENTION_NANOS = 60_000_000_000L;

  private final Map<String, DoorSession> sessions = new LinkedHashMap<>();
  private final Feed feed;
  private final FeedPublisher feedPublisher;
  private final ConfigurationSender configurations = new ConfigurationSender();
  private final long formerLeasesExpireAt;

  /**
   * Knows no door yet. Leases from this process's former incarnation may run for as long as a lease
   * that was given at {@code now}.
   *
   * @param feed whose entries are sent
   * @param registry the contents of snapshots
   */
  public DoorSessions(Feed feed, BackendRegistry registry, long now) {
    this.feed = feed;
    this.feedPublisher = new FeedPublisher(feed, registry);
    this.formerLeasesExpireAt = now + DoorSession.LEASE_NANOS;
  }

  /** A link to the door is up; nothing is sent before its first heartbeat reports what it has. */
  public void linkUp(String door, long now) {
    session(door, now).linkUp();
  }

  /** The door's link is down; its lease runs on. */
  public void linkDown(String door, long now) {
    session(door, now).linkDown();
  }

  /** Renews the door's lease. */
  public void heartbeat(String door, DoorHeartbeat heartbeat, long now) {
    session(door, now).heartbeat(heartbeat, now);
  }

  /** A door acknowledged the feed up to an offset. */
  public void acknowledged(String door, FeedAck acknowledgement) {
    DoorSession session = sessions.get(door);
    if (session != null) {
      session.feedPosition().acknowledged(acknowledgement.getFeed(), acknowledgement.getOffset());
    }
  }

  /** A newer configuration is committed. {@code document}: as it is stored; not to be changed. */
  public void configurationCommitted(long sequence, long edition, ByteBuffer document) {
    configurations.committed(sequence, edition, document);
  }

  /** Answers a door's request for a chunk; with nothing while no configuration is known. */
  public List<RegistryAction> fetchConfiguration(String door, ConfigurationFetch fetch, long now) {
    if (configurations.sequence() == 0) {
      return List.of();
    }
    DoorSession session = session(door, now);
    ConfigurationChunk chunk =
        configurations.requestedChunk(fetch, session.configurationSequence());
    session.configurationSent(chunk.getSequence());
    return List.of(new RegistryAction.SendToDoor(door, chunk));
  }

  /** Drops idle sessions and sends all doors what is due to them. */
  public List<RegistryAction> push(long now) {
    List<RegistryAction> actions = new ArrayList<>();
    sessions.values().removeIf(session -> session.isIdleFor(SESSION_RETENTION_NANOS, now));
    sessions.values().forEach(session -> push(session, actions, now));
    return actions;
  }

  /** Sends one door what is due to it. */
  public List<RegistryAction> push(String door, long now) {
    List<RegistryAction> actions = new ArrayList<>();
    push(session(door, now), actions, now);
    return actions;
  }

  private void push(DoorSession session, List<RegistryAction> actions, long now) {
    if (session.isReady()) {
      pushConfiguration(session, actions);
      feedPublisher
          .nextMessage(session.feedPosition(), now)
          .ifPresent(
              message -> actions.add(new RegistryAction.SendToDoor(session.door(), message)));
    }
  }

  private void pushConfiguration(DoorSession session, List<RegistryAction> actions) {
    if (session.needsConfiguration(configurations.sequence())) {
      session.configurationSent(configurations.sequence());
      ConfigurationChunk chunk = configurations.firstChunk(session.configurationSequence());
      actions.add(new RegistryAction.SendToDoor(session.door(), chunk));
    }
  }

  /** All known doors, for operators. */
  public List<DoorStatus> status(long now) {
    return sessions.values().stream().map(session -> session.status(now)).toList();
  }

  /** How many doors hold a lease. */
  public int liveDoors(long now) {
    int live = 0;
    for (DoorSession session : sessions.values()) {
      live += session.isLive(now) ? 1 : 0;
    }
    return live;
  }

  /** Whether the link to any door is up and the door has sent a heartbeat over it. */
  public boolean isAnyConnected() {
    return sessions.values().stream().anyMatch(DoorSession::isReady);
  }

  /**
   * Whether every connected door was sent the feed up to this offset. Each event that appends a
   * withdrawal pushes the feed before calls are answered, so this holds for all connected doors
   * then; it is asked so that an event which doesn't push acknowledges nothing.
   */
  public boolean isSentToAllConnected(long offset) {
    for (DoorSession session : sessions.values()) {
      if (session.isReady() && !session.feedPosition().isSent(feed.id(), offset)) {
        return false;
      }
    }
    return true;
  }

  /** Whether no door holds a lease, nor one from this process's former incarnation. */
  public boolean isNoneLive(long now) {
    return areLeasesKnown(now) && liveDoors(now) == 0;
  }

  /**
   * Whether there are live doors and each of them acknowledged the feed up to this offset; false
   * while it isn't known which doors are live.
   */
  public boolean isAcknowledgedByAllLive(long offset, long now) {
    if (!areLeasesKnown(now)) {
      return false;
    }
    boolean any = false;
    for (DoorSession session : sessions.values()) {
      if (session.isLive(now)) {
        any = true;
        if (!session.feedPosition().isAcknowledged(feed.id(), offset)) {
          return false;
        }
      }
    }
    return any;
  }

  private boolean areLeasesKnown(long now) {
    return now - formerLeasesExpireAt >= 0;
  }

  private DoorSession session(String door, long now) {
    return sessions.computeIfAbsent(door, name -> new DoorSession(name, now));
  }
}
