package nettletrail.control.door;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.Backend;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.Directory;
import nettletrail.protocol.DoorHeartbeatReply;
import nettletrail.protocol.FeedEvents;
import nettletrail.protocol.FeedSnapshot;
import nettletrail.protocol.GrantReply;
import org.apache.avro.specific.SpecificRecord;

/**
 * The door's client of the control plane. It routes each event to the class that handles it: {@link
 * CoreLinks} dials core processes, {@link CoreHeartbeats} sends heartbeats, {@link FeedFollower}
 * reads backends, {@link ConfigurationFollower} receives configurations, {@link GrantClient}
 * requests quota tokens.
 *
 * <p>Does no I/O and reads no clock: every method takes what happened and the reading of the steady
 * clock in nanoseconds, and returns the actions to perform, in order. All calls are made by one
 * thread, with instants that don't decrease.
 */
public final class DoorControl {
  /** A core process counts as reachable for so long after a reply. */
  private static final long REACHABLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final CoreLinks links;
  private final CoreHeartbeats heartbeats;
  private final BackendView backends = new BackendView();
  private final FeedFollower feeds;
  private final DeregistrationHandoff handoff;
  private final OwnerDirectory owners = new OwnerDirectory();
  private final DoorCount doorCount = new DoorCount();
  private final KeyLease keys;
  private final CoreContact contact;
  private final ConfigurationActivation activation;
  private final ConfigurationFollower follower;
  private final GrantClient grants;
  private final RoutingFreshness routing;
  private long lastTickAt;

  /** Dials nothing before {@link #seedsChanged} or {@link #tick}. */
  public DoorControl(DoorControlSettings settings, long now) {
    String door = settings.door();
    this.links = new CoreLinks(settings.seeds());
    this.feeds = new FeedFollower(door, backends);
    this.handoff = new DeregistrationHandoff(door, backends, now);
    this.keys = new KeyLease(settings.revokeMs());
    this.contact = new CoreContact(settings.revokeMs(), now);
    this.activation = new ConfigurationActivation(keys);
    this.follower = new ConfigurationFollower(door, settings.zone(), activation);
    this.grants =
        new GrantClient(door, settings.incarnation(), new LinkedOwnerLookup(owners, links));
    this.heartbeats = new CoreHeartbeats(settings, activation, follower, grants);
    this.routing =
        new RoutingFreshness(follower, activation, keys, settings.activationDeadlineMs());
    this.lastTickAt = now;
  }

  /** The settings list these seeds from now on. */
  public List<DoorAction> seedsChanged(List<String> seedAddresses, long now) {
    links.seedsChanged(seedAddresses);
    return links.dialSeeds(now);
  }

  /** The door begins its graceful shutdown; its heartbeats announce it from now on. */
  public void drain() {
    heartbeats.drain();
  }

  /** The link to a core process is established. */
  public List<DoorAction> linkUp(String address, long now) {
    links.linkUp(address, now);
    return poll(now);
  }

  /** The link to a core process is lost. */
  public List<DoorAction> linkDown(String address, long now) {
    Optional<CoreLink> link = links.find(address);
    if (link.isPresent()) {
      link.get().linkDown(now);
      backends.feedLost(address);
    }
    follower.selectSource(links.all(), now);
    return poll(now);
  }

  /**
   * A message from a core process; kinds that aren't meant for doors are ignored. So is one that
   * arrives when its link is down: it would mark a feed as followed that has a gap.
   */
  public List<DoorAction> received(String address, SpecificRecord message, long now) {
    Optional<CoreLink> link = links.find(address).filter(CoreLink::isUp);
    if (link.isEmpty()) {
      return new ArrayList<>();
    }
    List<DoorAction> actions = dispatch(link.get(), message, now);
    actions.addAll(poll(now));
    return actions;
  }

  private List<DoorAction> dispatch(CoreLink link, SpecificRecord message, long now) {
    List<DoorAction> actions = new ArrayList<>();
    if (message instanceof DoorHeartbeatReply reply) {
      heartbeatReply(link, reply, actions, now);
    } else if (message instanceof ConfigurationChunk chunk) {
      configurationChunk(link, chunk, actions, now);
    } else if (message instanceof FeedSnapshot snapshot) {
      actions.add(feeds.snapshot(link, snapshot, now));
    } else if (message instanceof FeedEvents events) {
      feeds.events(link, events, now).ifPresent(actions::add);
    } else if (message instanceof GrantReply reply) {
      grants.received(reply, now);
    }
    return actions;
  }

  private void heartbeatReply(
      CoreLink link, DoorHeartbeatReply reply, List<DoorAction> actions, long now) {
    link.replied(reply, now);
    follower.announced(reply.getConfigurationSequence(), now);
    keys.confirmed(reply);
    contact.replied(reply.getSentAt());
    activateDueConfiguration(actions, now);
    directory(link, reply.getDirectory(), now);
    doorCount.update(links.all(), now);
    feeds.endReported(link, reply.getFeed(), reply.getFeedOffset(), now);
    actions.addAll(links.dialMembers(link, now));
  }

  /** {@code directory}: null when it is the same as the last one of this core process. */
  private void directory(CoreLink link, Directory directory, long now) {
    if (directory == null) {
      owners.ownersUnchanged(link.address(), now);
    } else {
      owners.ownersChanged(link.address(), directory.getOwners(), now);
      link.directoryChanged(directory);
    }
  }

  private void configurationChunk(
      CoreLink link, ConfigurationChunk chunk, List<DoorAction> actions, long now) {
    follower
        .received(chunk, links.all(), now)
        .ifPresent(fetch -> actions.add(new DoorAction.SendToCore(link.address(), fetch)));
    activateDueConfiguration(actions, now);
  }

  private void activateDueConfiguration(List<DoorAction> actions, long now) {
    activation
        .activateDue(now)
        .map(
            configuration ->
                new DoorAction.ConfigurationChanged(
                    configuration.sequence(), configuration.edition(), configuration.document()))
        .ifPresent(actions::add);
  }

  /** Does what is due by time; to be called about every 50 ms. */
  public List<DoorAction> tick(long now) {
    lastTickAt = now;
    List<DoorAction> actions = links.dialSeeds(now);
    undialObsolete(actions, now);
    backends.tick(now);
    doorCount.update(links.all(), now);
    actions.addAll(handoff.poll(now));
    follower.selectSource(links.all(), now);
    follower.fetchOverdue(links.all(), now).ifPresent(actions::add);
    activateDueConfiguration(actions, now);
    actions.addAll(poll(now));
    return actions;
  }

  private void undialObsolete(List<DoorAction> actions, long now) {
    for (String address : links.removeObsolete(now)) {
      owners.remove(address);
      actions.add(new DoorAction.Undial(address));
    }
  }

  /**
   * Does what can't wait for the next tick: to be called after a request found too few quota
   * tokens, and when {@link #nextPoll} says so.
   */
  public List<DoorAction> poll(long now) {
    List<DoorAction> actions = heartbeats.poll(links.all(), now);
    actions.addAll(grants.poll(now));
    for (String service : backends.drainChangedServices()) {
      actions.add(new DoorAction.BackendsChanged(service));
    }
    return actions;
  }

  /** How many nanoseconds after the last poll the next one is due; empty when a tick will do. */
  public OptionalLong nextPoll() {
    return grants.nextPoll();
  }

  /**
   * The caller has finished the activation of the last {@link DoorAction.ConfigurationChanged}.
   *
   * @param took how long that occupied the thread, in nanoseconds; delays the next activation
   */
  public void configurationActivated(long took, long now) {
    activation.activated(took, now);
  }

  /** The sequence of the active configuration, 0 for none; never decreases. */
  public long configurationSequence() {
    return activation.activeSequence();
  }

  /**
   * Whether API keys may be accepted and rejected at this instant: the active configuration was
   * confirmed as the newest lately enough, and the door isn't cut off from the core.
   */
  public boolean areKeysValid(long now) {
    return keys.isValid(now) && !contact.isLost(now);
  }

  /**
   * Whether requests may be routed by the active configuration; false once a newer one may be
   * active at other doors.
   */
  public boolean isRoutingCurrent(long now) {
    return routing.isCurrent(now);
  }

  /** An immutable list of a service's backends that aren't gone: the ready and the closing ones. */
  public List<Backend> backends(String service) {
    return backends.backends(service);
  }

  /** The number of doors that share budgets, 0 while unknown; decreases only after a while. */
  public int doorCount() {
    return doorCount.count();
  }

  /** Whether a core process replied shortly before the last tick. */
  public boolean isCoreReachable() {
    return links.all().stream().anyMatch(link -> link.repliedWithin(REACHABLE_NANOS, lastTickAt));
  }

  /** The quota tokens that were granted to this door. */
  public GrantClient grants() {
    return grants;
  }
}
