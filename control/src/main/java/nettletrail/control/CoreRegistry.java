package nettletrail.control;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import nettletrail.control.grant.GrantOwner;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.control.grant.QuotaStatus;
import nettletrail.control.registry.BackendRegistry;
import nettletrail.control.registry.BackendRegistry.Change;
import nettletrail.control.registry.BackendStatus;
import nettletrail.control.registry.CorePeers;
import nettletrail.control.registry.DoorSessions;
import nettletrail.control.registry.DoorStatus;
import nettletrail.control.registry.Feed;
import nettletrail.control.registry.PendingCalls;
import nettletrail.control.registry.RegistryAction;
import nettletrail.control.registry.RegistryAction.AnswerBackend;
import nettletrail.control.registry.RegistryAction.SendToCore;
import nettletrail.control.registry.RegistryAction.SendToDoor;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendFreshness;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.ConfigurationFetch;
import nettletrail.protocol.Directory;
import nettletrail.protocol.DoorHeartbeat;
import nettletrail.protocol.DoorHeartbeatReply;
import nettletrail.protocol.FeedAck;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.GrantRequest;
import nettletrail.protocol.Member;
import nettletrail.protocol.RegistryDigest;
import nettletrail.protocol.RegistryUpdate;
import nettletrail.protocol.RegistryUpdateReply;
import org.apache.avro.specific.SpecificRecord;

/**
 * A core process's part in the registry of backends, the feed to the doors, the doors' leases and
 * the grants of quota.
 *
 * <p>Pure: every method takes what happened and the steady clock in nanoseconds, and returns what
 * has to be done. One thread. Messages that don't concern these parts are ignored.
 *
 * <p>Backends: a call that brings nothing new is answered at once and reaches other core processes
 * only in digests. A change goes to them as an update, kept as a hint until it is acknowledged, and
 * to the doors through the feed. That a backend closes or is gone is acknowledged once another core
 * process has it and it was handed to all linked doors, or all live doors acknowledged it, or there
 * is neither another core process nor a live door. A process that just started knows which doors
 * are live only after a lease.
 */
public final class CoreRegistry {
  private static final long MILLIS = 1_000_000L;
  private static final long DIGEST_EVERY = 700 * MILLIS;
  private static final int OK = 200;

  /** Doors hear of a new owner this much later at most. */
  private static final long DIRECTORY_LASTS = 50 * MILLIS;

  /** An odd number, so that no bit of an earlier name is lost. */
  private static final long DIGEST_FACTOR = 0x9e3779b97f4a7c15L;

  private static final String DELETE = "DELETE";

  private final CoreRegistrySettings settings;
  private final ShardOwnership ownership;
  private final BackendRegistry registry;
  private final Feed feed;
  private final DoorSessions doors;
  private final CorePeers peers;
  private final GrantOwner grants;
  private final PendingCalls pending = new PendingCalls();
  private long nextDigest;
  private long configurationSequence;
  private Directory directory;
  private long directoryMadeAt;

  /** Begins empty. {@code ownership} is asked at each call. */
  public CoreRegistry(CoreRegistrySettings settings, ShardOwnership ownership, long now) {
    this.settings = settings;
    this.ownership = ownership;
    this.registry = new BackendRegistry(settings.heartbeatMs(), now);
    this.feed = new Feed(settings.address(), settings.feed());
    this.doors = new DoorSessions(feed, registry, now);
    this.peers = new CorePeers(settings.address(), settings.feed());
    this.grants = new GrantOwner(settings.grants());
    this.nextDigest = now + DIGEST_EVERY;
  }

  /**
   * A backend called. {@code method} is PUT or DELETE; of a DELETE only the id counts. An {@link
   * AnswerBackend} with the same number follows, now or within 800 ms.
   */
  public List<RegistryAction> backendCall(long call, String method, Backend record, long now) {
    Backend report = method.equals(DELETE) ? gone(record) : record;
    Change change = registry.heardDirectly(report, now);
    List<RegistryAction> actions = new ArrayList<>();
    Backend held = registry.get(report.getId());
    boolean ready = report.getState() == BackendState.READY;
    if (ready && change != Change.CHANGED) {
      actions.add(new AnswerBackend(call, OK));
      return actions;
    }
    if (change == Change.CHANGED) {
      followMembers();
      publish(held);
    }
    if (ready) {
      actions.add(new AnswerBackend(call, OK));
    } else {
      acknowledgeLater(call, held, now);
    }
    actions.addAll(flush(now));
    return actions;
  }

  /** A message of another core process. {@code address}: the peer's address as it is dialled. */
  public List<RegistryAction> receiveFromCore(String address, SpecificRecord message, long now) {
    List<RegistryAction> actions = new ArrayList<>();
    if (message instanceof RegistryUpdate update) {
      update.getBackends().forEach(backend -> enterFromPeer(backend, now));
      actions.add(
          new SendToCore(address, new RegistryUpdateReply(settings.address(), update.getUpdate())));
    } else if (message instanceof RegistryUpdateReply reply) {
      peers.acknowledged(address, reply).forEach(pending::otherCoreHas);
    } else if (message instanceof RegistryDigest digest) {
      digest.getBackends().forEach(freshness -> heardElsewhere(freshness, now));
    } else {
      return actions;
    }
    actions.addAll(flush(now));
    return actions;
  }

  /** A message of a door. {@code door}: what it goes by in {@link SendToDoor}. */
  public List<RegistryAction> receiveFromDoor(String door, SpecificRecord message, long now) {
    List<RegistryAction> actions = new ArrayList<>();
    if (message instanceof DoorHeartbeat heartbeat) {
      doors.heartbeat(door, heartbeat, now);
      actions.addAll(doors.push(door, now));
      actions.addAll(settle(now));
      actions.add(new SendToDoor(door, heartbeatReply(heartbeat, now)));
    } else if (message instanceof FeedAck acknowledgement) {
      doors.acknowledged(door, acknowledgement);
      actions.addAll(settle(now));
    } else if (message instanceof ConfigurationFetch fetch) {
      actions.addAll(doors.fetched(door, fetch, now));
    } else if (message instanceof GrantRequest request) {
      actions.add(new SendToDoor(door, grant(request, now)));
    } else if (message instanceof RegistryUpdate ends) {
      ends.getBackends().forEach(backend -> enterEnd(backend, now));
      actions.addAll(flush(now));
    }
    return actions;
  }

  /** A link with a door is up. */
  public List<RegistryAction> doorUp(String door, long now) {
    doors.linkUp(door, now);
    return List.of();
  }

  /** The link with a door is gone. */
  public List<RegistryAction> doorDown(String door, long now) {
    doors.linkDown(door, now);
    return flush(now);
  }

  /** A link with another core process is up. */
  public List<RegistryAction> coreUp(String address, long now) {
    peers.up(address, registry.contentsForPeers(), now);
    return flush(now);
  }

  /** The link with another core process is gone. */
  public List<RegistryAction> coreDown(String address, long now) {
    peers.down(address);
    registry.hearingDisturbed(now);
    return List.of();
  }

  /**
   * A configuration is committed, as this process knows; one that is older than another told before
   * is ignored.
   *
   * @param document as it is stored and sent; not to be changed
   * @param limits the limits of all its tenants, also of those without one
   */
  public List<RegistryAction> configuration(
      long sequence, long edition, ByteBuffer document, Map<String, QuotaLimit> limits, long now) {
    if (sequence <= configurationSequence) {
      return List.of();
    }
    configurationSequence = sequence;
    doors.configuration(sequence, edition, document);
    grants.updateLimits(limits, now);
    return flush(now);
  }

  /** To be called about every 50 ms. */
  public List<RegistryAction> tick(long now) {
    followMembers();
    noteOwnedShards(now);
    for (String id : registry.expire(now)) {
      feed.appendExpired(id);
    }
    List<RegistryAction> actions = new ArrayList<>();
    if (now - nextDigest >= 0) {
      nextDigest = now + DIGEST_EVERY;
      List<BackendFreshness> heard = registry.takeDigest(now);
      if (!heard.isEmpty()) {
        actions.addAll(peers.digest(new RegistryDigest(settings.address(), heard)));
      }
    }
    actions.addAll(flush(now));
    return actions;
  }

  /** The backends that are known and not expired, with tombstones. */
  public List<Backend> backends() {
    return registry.contents();
  }

  /** How many doors hold a lease here. */
  public int liveDoors(long now) {
    return doors.liveDoors(now);
  }

  /** The doors as this process knows them, for operators. */
  public List<DoorStatus> doorStatus(long now) {
    return doors.status(now);
  }

  /** The backends as this process knows them, for operators. */
  public List<BackendStatus> backendStatus(long now) {
    return registry.status(now);
  }

  /** A tenant's quota, if this process grants it; for operators. */
  public Optional<QuotaStatus> quotaStatus(String tenant, long now) {
    int shard = ShardMap.shardOf(tenant);
    return ownership.owns(shard, now) ? grants.status(shard, tenant, now) : Optional.empty();
  }

  private void enterFromPeer(Backend backend, long now) {
    if (registry.enter(backend, now) == Change.CHANGED) {
      feed.append(registry.get(backend.getId()));
    }
  }

  /** A door knows that a backend closes or is gone, which this process may have lost. */
  private void enterEnd(Backend backend, long now) {
    boolean ends = backend.getState() != BackendState.READY;
    if (ends && registry.enter(backend, now) == Change.CHANGED) {
      followMembers();
      publish(registry.get(backend.getId()));
    }
  }

  private void heardElsewhere(BackendFreshness freshness, long now) {
    if (registry.heardElsewhere(freshness, now)) {
      feed.append(registry.get(freshness.getId()));
    }
  }

  private void publish(Backend backend) {
    peers.tell(backend);
    feed.append(backend);
  }

  /**
   * A repeated call waits on its own; the report is told again, so that there is something to be
   * acknowledged. Doors have to have the feed up to the newest end only: what came after it may
   * still wait to leave together.
   */
  private void acknowledgeLater(long call, Backend held, long now) {
    followMembers();
    peers.tell(held);
    pending.add(call, held, feed.lastEndOffset(), now);
  }

  /** What is due to anybody; costs as much as there are doors and peers. */
  private List<RegistryAction> flush(long now) {
    List<RegistryAction> actions = new ArrayList<>(peers.send(now));
    actions.addAll(doors.push(now));
    actions.addAll(settle(now));
    return actions;
  }

  private List<RegistryAction> settle(long now) {
    return pending.settle(call -> covered(call, now), now);
  }

  private boolean covered(PendingCalls.Call call, long now) {
    return call.otherCoreHasIt() && doors.handedToAllLinked(call.offset())
        || doors.acknowledgedByAllLive(call.offset(), now)
        || onlyCore() && doors.noneLive(now);
  }

  /** Nobody else could have it. Not so while the membership isn't known yet. */
  private boolean onlyCore() {
    return peers.none() && !ownership.members().isEmpty();
  }

  private void followMembers() {
    Set<String> addresses = new HashSet<>();
    for (Member member : ownership.members()) {
      addresses.add(member.getAddress());
    }
    peers.members(addresses);
  }

  private void noteOwnedShards(long now) {
    for (int shard = 0; shard < ownership.shardCount(); shard++) {
      if (ownership.owns(shard, now)) {
        grants.shardOwned(shard, ownership.token(shard), now);
      }
    }
  }

  private GrantReply grant(GrantRequest request, long now) {
    int shard = request.getShard();
    boolean known = shard >= 0 && shard < ownership.shardCount();
    if (!known || !ownership.owns(shard, now)) {
      return GrantOwner.notOwner(settings.address(), request);
    }
    return grants.grant(settings.address(), request, ownership.token(shard), now);
  }

  private DoorHeartbeatReply heartbeatReply(DoorHeartbeat heartbeat, long now) {
    OptionalLong confirmedAt = ownership.confirmedAt();
    long ageMs = confirmedAt.isPresent() ? ageMsRoundedUp(now - confirmedAt.getAsLong()) : 0;
    Directory directory = currentDirectory(now);
    boolean known = heartbeat.getDirectoryDigest() == directory.getDigest();
    return new DoorHeartbeatReply(
        settings.address(),
        heartbeat.getSentAt(),
        confirmedAt.isPresent(),
        ageMs,
        ownership.configurationSequence(),
        feed.id(),
        feed.offset(),
        doors.liveDoors(now),
        settings.zone(),
        known ? null : directory);
  }

  /** As of the last tick at most. */
  private Directory currentDirectory(long now) {
    if (directory == null || now - directoryMadeAt >= DIRECTORY_LASTS) {
      directory = directory(now);
      directoryMadeAt = now;
    }
    return directory;
  }

  private Directory directory(long now) {
    List<Member> members = ownership.members();
    List<String> owners = owners(now);
    return new Directory(digest(members, owners), members, owners);
  }

  /** Above 0, which stands for none. */
  private static long digest(List<Member> members, List<String> owners) {
    long digest = 1;
    for (Member member : members) {
      digest = DIGEST_FACTOR * digest + member.getId().hashCode();
      digest = DIGEST_FACTOR * digest + member.getAddress().hashCode();
    }
    for (String owner : owners) {
      digest = DIGEST_FACTOR * digest + owner.hashCode();
    }
    return Math.max(1, digest & Long.MAX_VALUE);
  }

  private List<String> owners(long now) {
    List<String> owners = new ArrayList<>();
    for (int shard = 0; shard < ownership.shardCount(); shard++) {
      owners.add(ownership.owns(shard, now) ? settings.address() : ownership.ownerAddress(shard));
    }
    return owners;
  }

  private static long ageMsRoundedUp(long nanos) {
    return (Math.max(0, nanos) + MILLIS - 1) / MILLIS;
  }

  private Backend gone(Backend record) {
    Backend held = registry.get(record.getId());
    Backend base = held == null ? record : held;
    return Backend.newBuilder(base)
        .setState(BackendState.GONE)
        .setCallSequence(Math.max(record.getCallSequence(), base.getCallSequence()))
        .build();
  }
}
