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
 * The doors that talk to this core process: their leases, and what has to be pushed to each of
 * them.
 */
public final class DoorSessions {
  private static final long FORGET_AFTER = 60_000_000_000L;

  /** Between two messages of the feed to one door that tell of no end. */
  private static final long FEED_PAUSE = 100_000_000L;

  private final Map<String, DoorSession> sessions = new LinkedHashMap<>();
  private final Feed feed;
  private final BackendRegistry registry;
  private final long leasesKnownFrom;
  private final ConfigurationSender configurations = new ConfigurationSender();

  /**
   * Pushes from this feed, and snapshots from this registry. Leases that doors got from this
   * process's former life may run for as long as a lease from {@code now} on.
   */
  public DoorSessions(Feed feed, BackendRegistry registry, long now) {
    this.feed = feed;
    this.registry = registry;
    this.leasesKnownFrom = now + DoorSession.LEASE;
  }

  /**
   * A link to the door is up; nothing is pushed before its first heartbeat tells where it stands.
   */
  public void linkUp(String door, long now) {
    session(door, now).linkUp();
  }

  /** The door's link is gone; its lease runs on. */
  public void linkDown(String door, long now) {
    session(door, now).linkDown();
  }

  /** Renews the door's lease. */
  public void heartbeat(String door, DoorHeartbeat heartbeat, long now) {
    session(door, now).heartbeat(heartbeat, now);
  }

  /** A door has read the feed up to an offset. */
  public void acknowledged(String door, FeedAck acknowledgement) {
    DoorSession session = sessions.get(door);
    if (session != null) {
      session.acknowledged(acknowledgement.getFeed(), acknowledgement.getOffset());
    }
  }

  /** A newer configuration is committed. {@code document}: as it is stored; not to be changed. */
  public void configuration(long sequence, long edition, ByteBuffer document) {
    configurations.committed(sequence, edition, document);
  }

  /** A door asks for a piece of a configuration; it gets nothing while none is known. */
  public List<RegistryAction> fetched(String door, ConfigurationFetch fetch, long now) {
    if (configurations.sequence() == 0) {
      return List.of();
    }
    DoorSession session = session(door, now);
    ConfigurationChunk answer = configurations.answer(fetch, session.configurationSequence());
    session.configurationPushed(answer.getSequence());
    return List.of(new RegistryAction.SendToDoor(door, answer));
  }

  /** What doors lack and weren't sent yet. */
  public List<RegistryAction> push(long now) {
    List<RegistryAction> actions = new ArrayList<>();
    sessions.values().removeIf(session -> session.silentFor(FORGET_AFTER, now));
    sessions.values().forEach(session -> push(session, actions, now));
    return actions;
  }

  /** What this door lacks and wasn't sent yet. */
  public List<RegistryAction> push(String door, long now) {
    List<RegistryAction> actions = new ArrayList<>();
    push(session(door, now), actions, now);
    return actions;
  }

  private void push(DoorSession session, List<RegistryAction> actions, long now) {
    if (session.ready()) {
      pushConfiguration(session, actions);
      pushFeed(session, actions, now);
    }
  }

  /** All doors that are known, for operators. */
  public List<DoorStatus> status(long now) {
    return sessions.values().stream().map(session -> session.status(now)).toList();
  }

  /** How many doors hold a lease. */
  public int liveDoors(long now) {
    int live = 0;
    for (DoorSession session : sessions.values()) {
      live += session.live(now) ? 1 : 0;
    }
    return live;
  }

  /** Whether every door with a working link was sent the feed up to this offset. */
  public boolean handedToAllLinked(long offset) {
    for (DoorSession session : sessions.values()) {
      if (session.ready() && (session.feed() != feed.id() || session.sentOffset() < offset)) {
        return false;
      }
    }
    return true;
  }

  /** Whether no door holds a lease, also none of a former life of this process. */
  public boolean noneLive(long now) {
    return leasesKnown(now) && liveDoors(now) == 0;
  }

  private boolean leasesKnown(long now) {
    return now - leasesKnownFrom >= 0;
  }

  /**
   * Whether there are live doors and each of them acknowledged the feed up to this offset; false
   * while it isn't known which doors are live.
   */
  public boolean acknowledgedByAllLive(long offset, long now) {
    if (!leasesKnown(now)) {
      return false;
    }
    boolean any = false;
    for (DoorSession session : sessions.values()) {
      if (session.live(now)) {
        any = true;
        if (session.feed() != feed.id() || session.acknowledgedOffset() < offset) {
          return false;
        }
      }
    }
    return any;
  }

  private void pushConfiguration(DoorSession session, List<RegistryAction> actions) {
    if (session.needsConfiguration(configurations.sequence())) {
      session.configurationPushed(configurations.sequence());
      actions.add(
          new RegistryAction.SendToDoor(
              session.door(), configurations.first(session.configurationSequence())));
    }
  }

  private void pushFeed(DoorSession session, List<RegistryAction> actions, long now) {
    if (!feed.holdsAfter(session.feed(), session.sentOffset())) {
      actions.add(
          new RegistryAction.SendToDoor(session.door(), feed.snapshot(registry.contents())));
      session.feedSent(feed.id(), feed.offset(), now);
    } else if (session.sentOffset() < feed.offset() && isFeedDue(session, now)) {
      actions.add(
          new RegistryAction.SendToDoor(session.door(), feed.eventsAfter(session.sentOffset())));
      session.feedSent(feed.id(), feed.offset(), now);
    }
  }

  /**
   * Entries that come soon after others wait a little and leave together, unless a backend has
   * ended: nothing may be sent there any more.
   */
  private boolean isFeedDue(DoorSession session, long now) {
    boolean ended = session.sentOffset() < feed.lastEndOffset();
    return ended || session.feedSentBefore(now - FEED_PAUSE);
  }

  private DoorSession session(String door, long now) {
    return sessions.computeIfAbsent(door, name -> new DoorSession(name, now));
  }
}
