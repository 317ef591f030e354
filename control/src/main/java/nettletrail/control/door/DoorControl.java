package nettletrail.control.door;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.Directory;
import nettletrail.protocol.DoorHeartbeat;
import nettletrail.protocol.DoorHeartbeatReply;
import nettletrail.protocol.FeedAck;
import nettletrail.protocol.FeedEvents;
import nettletrail.protocol.FeedSnapshot;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.RegistryUpdate;
import org.apache.avro.specific.SpecificRecord;

/**
 * The door's view of the control plane: it dials all core processes, sends them heartbeats, follows
 * their feeds and keeps the newest configuration, whose first one has to be confirmed.
 *
 * <p>Pure: every method takes what happened and the steady clock in nanoseconds, and returns what
 * has to be done. One thread.
 */
public final class DoorControl {
  private static final long MILLIS = 1_000_000L;

  /** To the core process that sends configurations: it confirms them too. */
  private static final long HEARTBEAT_EVERY = 400 * MILLIS;

  /** To all others, which only have to know that the door lives, and who may know more. */
  private static final long HEARTBEAT_TO_OTHERS = 1_000 * MILLIS;

  /**
   * To the source while the door waits for an owner to be known, or for its configuration to be
   * confirmed. All doors wait at once after a loss of all machines, so the others aren't asked more
   * often.
   */
  private static final long HEARTBEAT_WHEN_WAITING = 100 * MILLIS;

  /** For clocks that run unlike each other, and for a request that is let in and isn't sent yet. */
  private static final long IN_FORCE_MARGIN = 150 * MILLIS;

  private static final long UNDIAL_AFTER = 30_000 * MILLIS;
  private static final long REACHABLE = 2_000 * MILLIS;
  private static final long HAND_OVER_ENDS_EVERY = 500 * MILLIS;

  /** Updates of doors are numbered alike: the core process's feed shows that it has them. */
  private static final long UNNUMBERED = 0;

  private final DoorControlSettings settings;
  private final Map<String, CoreLink> links = new LinkedHashMap<>();
  private final BackendView backends = new BackendView();
  private final OwnerDirectory owners = new OwnerDirectory();
  private final DoorCount doorCount = new DoorCount();
  private final KeyLease keys;
  private final ConfigurationGate configuration;
  private final ConfigurationFollower follower;
  private final GrantClient grants;
  private Set<String> seeds;
  private long lastTick;
  private long endsHandedOverAt;
  private boolean draining;

  /** Nothing is dialled before {@link #settingsChanged} or {@link #tick}. */
  public DoorControl(DoorControlSettings settings, long now) {
    this.settings = settings;
    this.keys = new KeyLease(settings.revokeMs());
    this.configuration = new ConfigurationGate(keys);
    this.follower = new ConfigurationFollower(settings.door(), settings.zone(), configuration);
    this.grants = new GrantClient(settings.door(), settings.incarnation(), new Owners());
    this.seeds = new HashSet<>(settings.seeds());
    this.lastTick = now;
    this.endsHandedOverAt = now;
  }

  /** The settings name these seeds from here on. */
  public List<DoorAction> settingsChanged(List<String> seedAddresses, long now) {
    seeds = new HashSet<>(seedAddresses);
    return dialNew(seeds, now);
  }

  /** The door is about to end; its heartbeats say so. */
  public void drain() {
    draining = true;
  }

  /** A link to a core process is up. */
  public List<DoorAction> linkUp(String address, long now) {
    CoreLink link = links.computeIfAbsent(address, unseen -> new CoreLink(address, now));
    link.linkUp(now);
    return poll(now);
  }

  /** The link to a core process is lost. */
  public List<DoorAction> linkDown(String address, long now) {
    CoreLink link = links.get(address);
    if (link != null) {
      link.linkDown(now);
      backends.unlinked(address);
    }
    follower.chooseSource(links.values(), now);
    return poll(now);
  }

  /** A message of a core process; those that don't concern the door are ignored. */
  public List<DoorAction> received(String address, SpecificRecord message, long now) {
    List<DoorAction> actions = new ArrayList<>();
    CoreLink link = links.get(address);
    if (link == null) {
      return actions;
    }
    if (message instanceof DoorHeartbeatReply reply) {
      heartbeatReply(link, reply, actions, now);
    } else if (message instanceof ConfigurationChunk chunk) {
      follower
          .received(chunk, links.values(), now)
          .ifPresent(fetch -> actions.add(new DoorAction.SendToCore(address, fetch)));
      putConfigurationInForce(actions, now);
    } else if (message instanceof FeedSnapshot snapshot) {
      snapshot(link, snapshot, actions, now);
    } else if (message instanceof FeedEvents events) {
      events(link, events, actions, now);
    } else if (message instanceof GrantReply reply) {
      grants.received(reply, now);
    }
    actions.addAll(poll(now));
    return actions;
  }

  /** To be called about every 50 ms. */
  public List<DoorAction> tick(long now) {
    lastTick = now;
    List<DoorAction> actions = dialNew(seeds, now);
    undialUseless(actions, now);
    backends.tick(now);
    doorCount.tick(links.values(), now);
    handOverEnds(actions, now);
    follower.chooseSource(links.values(), now);
    follower.fetchMissing(links.values(), now).ifPresent(actions::add);
    putConfigurationInForce(actions, now);
    actions.addAll(poll(now));
    return actions;
  }

  /**
   * What is due outside of the ticks: to be called after a request found too few quota tokens, and
   * when {@link #nextPoll} says so.
   */
  public List<DoorAction> poll(long now) {
    List<DoorAction> actions = new ArrayList<>();
    boolean waits = grants.ownerMissing() || configuration.awaitsConfirmation();
    for (CoreLink link : links.values()) {
      if (link.heartbeatDue(heartbeatPeriod(link, waits), now)) {
        actions.add(new DoorAction.SendToCore(link.address(), heartbeat(link, now)));
      }
    }
    actions.addAll(grants.poll(now));
    for (String service : backends.takeChangedServices()) {
      actions.add(new DoorAction.BackendsChanged(service));
    }
    return actions;
  }

  /** How many nanoseconds after the last poll the next one is due, if that is before a tick. */
  public OptionalLong nextPoll() {
    return grants.asksSoon()
        ? OptionalLong.of(GrantClient.ASK_AGAIN_WHEN_SHORT)
        : OptionalLong.empty();
  }

  private long heartbeatPeriod(CoreLink link, boolean waits) {
    if (follower.isSource(link)) {
      return waits ? HEARTBEAT_WHEN_WAITING : HEARTBEAT_EVERY;
    }
    return HEARTBEAT_TO_OTHERS;
  }

  /**
   * A configuration that {@link DoorAction.ConfigurationChanged} told is in force since now.
   *
   * @param took how long that kept the thread busy, in nanoseconds; the next one is spaced by it
   */
  public void configurationInForce(long took, long now) {
    configuration.putInForce(took, now);
  }

  /** The sequence of the configuration in force, 0 for none; never goes back. */
  public long configurationSequence() {
    return configuration.inForceSequence();
  }

  /**
   * The steady instant, nanoseconds, until which keys may be used and refused; empty when nothing
   * was ever confirmed.
   */
  public OptionalLong keysValidUntil() {
    return keys.until();
  }

  /** Whether keys may be used and refused at this instant. */
  public boolean keysValid(long now) {
    OptionalLong until = keys.until();
    return until.isPresent() && now - until.getAsLong() < 0;
  }

  /**
   * Whether requests may be routed by the configuration in force. Not so when a newer one is known
   * to be committed and may have been acknowledged for as long as the time within which it has to
   * be in force. What is newer was acknowledged after the last instant at which a majority
   * confirmed the one in force; so this holds whenever the newer one comes, and however late.
   */
  public boolean routingIsCurrent(long now) {
    boolean newest = follower.newest() <= configuration.inForceSequence();
    long span = settings.inForceMs() * MILLIS - IN_FORCE_MARGIN;
    return newest || keys.confirmedWithin(span, now);
  }

  /**
   * The backends of a service that aren't gone, ready and closing ones; the list isn't changed
   * later.
   */
  public List<Backend> backends(String service) {
    return backends.backends(service);
  }

  /**
   * How many doors there are, 0 while that isn't known; falls only after a while, for budgets that
   * all doors share.
   */
  public int doorCount() {
    return doorCount.count();
  }

  /** Whether a core process answered lately, as of the last tick. */
  public boolean coreReachable() {
    for (CoreLink link : links.values()) {
      if (link.repliedWithin(REACHABLE, lastTick)) {
        return true;
      }
    }
    return false;
  }

  /** The quota tokens that this door holds. */
  public GrantClient grants() {
    return grants;
  }

  private DoorHeartbeat heartbeat(CoreLink link, long now) {
    return new DoorHeartbeat(
        settings.door(),
        settings.zone(),
        settings.incarnation(),
        now,
        configuration.heldSequence(),
        link.feed(),
        link.offset(),
        draining,
        follower.isSource(link),
        link.directoryDigest());
  }

  private void heartbeatReply(
      CoreLink link, DoorHeartbeatReply reply, List<DoorAction> actions, long now) {
    link.replied(reply, now);
    follower.named(reply.getConfigurationSequence(), now);
    configuration.confirmed(reply);
    putConfigurationInForce(actions, now);
    directory(link, reply.getDirectory(), now);
    doorCount.tick(links.values(), now);
    if (reply.getFeed() == link.feed() && reply.getFeedOffset() == link.offset()) {
      backends.linked(link.address(), now);
    }
    actions.addAll(dialNew(link.directoryMembers(), now));
  }

  /** {@code directory}: null where it is the one that this core process told before. */
  private void directory(CoreLink link, Directory directory, long now) {
    if (directory == null) {
      owners.confirmed(link.address(), now);
    } else {
      owners.told(link.address(), directory.getOwners(), now);
      link.told(directory);
    }
  }

  private void putConfigurationInForce(List<DoorAction> actions, long now) {
    configuration
        .takeDue(now)
        .ifPresent(
            due ->
                actions.add(
                    new DoorAction.ConfigurationChanged(
                        due.sequence(), due.edition(), due.document())));
  }

  private void snapshot(CoreLink link, FeedSnapshot snapshot, List<DoorAction> actions, long now) {
    boolean sameIncarnation = link.feed() == snapshot.getFeed();
    backends.linked(link.address(), now);
    backends.snapshot(link.address(), snapshot.getBackends(), sameIncarnation, now);
    link.read(snapshot.getFeed(), snapshot.getOffset());
    acknowledge(link, actions);
  }

  /**
   * Ends are acknowledged at once, since their backends wait for that; of anything else the next
   * heartbeat tells.
   *
   * <p>Events that don't join what was read are left: the next heartbeat tells the core process
   * where the door stands.
   */
  private void events(CoreLink link, FeedEvents events, List<DoorAction> actions, long now) {
    if (events.getFeed() != link.feed() || events.getFromOffset() > link.offset()) {
      return;
    }
    backends.linked(link.address(), now);
    if (events.getOffset() > link.offset()) {
      events.getBackends().forEach(backend -> backends.reported(link.address(), backend, now));
      events.getExpired().forEach(id -> backends.expired(link.address(), id));
      link.read(events.getFeed(), events.getOffset());
    }
    if (events.getBackends().stream().anyMatch(DoorControl::ends)) {
      acknowledge(link, actions);
    }
  }

  private static boolean ends(Backend backend) {
    return backend.getState() != BackendState.READY;
  }

  private void acknowledge(CoreLink link, List<DoorAction> actions) {
    FeedAck acknowledgement = new FeedAck(settings.door(), link.feed(), link.offset());
    actions.add(new DoorAction.SendToCore(link.address(), acknowledgement));
  }

  /**
   * Tells core processes which backends close or are gone, as far as their feeds don't say so: a
   * core process that lost its memory would take a late call of such a backend for a new one.
   */
  private void handOverEnds(List<DoorAction> actions, long now) {
    if (now - endsHandedOverAt < HAND_OVER_ENDS_EVERY) {
      return;
    }
    endsHandedOverAt = now;
    for (String core : backends.linked()) {
      List<Backend> ends = backends.endsUnknownTo(core, now);
      if (!ends.isEmpty()) {
        RegistryUpdate update = new RegistryUpdate(settings.door(), UNNUMBERED, ends);
        actions.add(new DoorAction.SendToCore(core, update));
      }
    }
  }

  private List<DoorAction> dialNew(Iterable<String> addresses, long now) {
    List<DoorAction> actions = new ArrayList<>();
    for (String address : addresses) {
      CoreLink known = links.get(address);
      if (known == null) {
        links.put(address, new CoreLink(address, now));
        actions.add(new DoorAction.Dial(address));
      } else {
        known.named(now);
      }
    }
    return actions;
  }

  private void undialUseless(List<DoorAction> actions, long now) {
    for (Iterator<CoreLink> iterator = links.values().iterator(); iterator.hasNext(); ) {
      CoreLink link = iterator.next();
      if (link.uselessFor(UNDIAL_AFTER, now)) {
        iterator.remove();
        owners.forget(link.address());
        actions.add(new DoorAction.Undial(link.address()));
      }
    }
  }

  /** Owners among the linked core processes. */
  private final class Owners implements GrantClient.OwnerLookup {
    @Override
    public Optional<String> owner(int shard, long now) {
      return owners.owner(shard, DoorControl.this::isUp, now);
    }

    @Override
    public void denied(int shard, String address, long now) {
      owners.denied(shard, address, now);
    }
  }

  private boolean isUp(String address) {
    CoreLink link = links.get(address);
    return link != null && link.up();
  }
}
