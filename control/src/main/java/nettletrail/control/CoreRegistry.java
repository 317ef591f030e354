package nettletrail.control;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.control.grant.QuotaStatus;
import nettletrail.control.registry.BackendRegistry;
import nettletrail.control.registry.BackendStatus;
import nettletrail.control.registry.DoorSessions;
import nettletrail.control.registry.DoorStatus;
import nettletrail.control.registry.DurableWithdrawals;
import nettletrail.control.registry.Feed;
import nettletrail.control.registry.RegistryAction;
import nettletrail.control.registry.RegistryAction.SendToDoor;
import nettletrail.protocol.Backend;
import nettletrail.protocol.ConfigurationFetch;
import nettletrail.protocol.DoorHeartbeat;
import nettletrail.protocol.FeedAck;
import nettletrail.protocol.GrantRequest;
import nettletrail.protocol.RegistryDigest;
import nettletrail.protocol.RegistryUpdate;
import nettletrail.protocol.RegistryUpdateReply;
import org.apache.avro.specific.SpecificRecord;

/**
 * Entry to a core process's registry of backends, the feed to the doors, the doors' leases and the
 * grants of quota. Routes each event to the manager of its kind of record and decides nothing
 * itself.
 *
 * <p>Pure: each method takes an event and the steady clock in nanoseconds, and returns what has to
 * be done, in order. Not thread-safe: all calls are made by the control thread. Messages of other
 * kinds are ignored.
 */
public final class CoreRegistry {
  private final String address;
  private final BackendRegistry registry;
  private final DoorSessions doors;
  private final ReplicationManager replication;
  private final BackendManager backends;
  private final GrantManager grants;
  private final HeartbeatResponder heartbeats;
  private long configurationSequence;

  /**
   * Begins with the withdrawn backends that this process's disk remembers.
   *
   * @param ownership queried at each call
   * @param storedWithdrawals those of the last {@link RegistryAction.StoreWithdrawals} that was
   *     stored; empty on an empty disk
   */
  public CoreRegistry(
      CoreRegistrySettings settings,
      ShardOwnership ownership,
      List<Backend> storedWithdrawals,
      long now) {
    Feed feed = new Feed(settings.address(), settings.feed());
    this.address = settings.address();
    this.registry = new BackendRegistry(settings.heartbeatMs(), now);
    registry.restore(storedWithdrawals, now);
    this.doors = new DoorSessions(feed, registry, now);
    DurableWithdrawals withdrawals = new DurableWithdrawals(registry);
    this.replication = new ReplicationManager(settings, ownership, feed, doors, withdrawals, now);
    this.backends = new BackendManager(settings, registry, feed, replication, now);
    this.grants = new GrantManager(settings, ownership);
    this.heartbeats = new HeartbeatResponder(settings, ownership, feed, doors);
  }

  /**
   * A backend called. An {@link RegistryAction.AnswerBackend} with the same number follows, now or
   * within 800 ms.
   *
   * @param call the call's number, never used before
   * @param method PUT or DELETE
   * @param record the backend; of a DELETE only its id and call sequence count if it is known
   */
  public List<RegistryAction> backendCall(long call, String method, Backend record, long now) {
    return backends.call(call, method, record, now);
  }

  /** A message of another core process. {@code peer}: the peer's address as it is dialled. */
  public List<RegistryAction> receiveFromCore(String peer, SpecificRecord message, long now) {
    List<RegistryAction> actions = new ArrayList<>();
    if (message instanceof RegistryUpdate update) {
      update.getBackends().forEach(backend -> backends.mergeFromPeer(backend, now));
      replication.acknowledgeWhenDurable(peer, update);
    } else if (message instanceof RegistryUpdateReply reply) {
      replication.acknowledged(peer, reply);
    } else if (message instanceof RegistryDigest digest) {
      digest.getBackends().forEach(freshness -> backends.mergeFromPeer(freshness, now));
    } else {
      return actions;
    }
    actions.addAll(replication.sendDue(now));
    return actions;
  }

  /** A message of a door. {@code door}: its name in {@link SendToDoor}. */
  public List<RegistryAction> receiveFromDoor(String door, SpecificRecord message, long now) {
    if (message instanceof DoorHeartbeat heartbeat) {
      return doorHeartbeat(door, heartbeat, now);
    }
    if (message instanceof FeedAck acknowledgement) {
      doors.acknowledged(door, acknowledgement);
      return replication.answerDue(now);
    }
    if (message instanceof ConfigurationFetch fetch) {
      return doors.fetchConfiguration(door, fetch, now);
    }
    if (message instanceof GrantRequest request) {
      return List.of(new SendToDoor(door, grants.reply(request, now)));
    }
    if (message instanceof RegistryUpdate withdrawals) {
      withdrawals.getBackends().forEach(backend -> backends.mergeFromDoor(backend, now));
      return replication.sendDue(now);
    }
    return List.of();
  }

  private List<RegistryAction> doorHeartbeat(String door, DoorHeartbeat heartbeat, long now) {
    doors.heartbeat(door, heartbeat, now);
    List<RegistryAction> actions = new ArrayList<>(doors.push(door, now));
    actions.addAll(replication.answerDue(now));
    actions.add(new SendToDoor(door, heartbeats.reply(heartbeat, now)));
    return actions;
  }

  /**
   * A {@link RegistryAction.StoreWithdrawals} has ended.
   *
   * @param version as in the action
   * @param durable whether the withdrawals are known to be durable; if not, another write follows
   */
  public List<RegistryAction> withdrawalsStored(long version, boolean durable, long now) {
    replication.withdrawalsStored(version, durable, now);
    return replication.sendDue(now);
  }

  /** A link to a door is up. */
  public List<RegistryAction> doorUp(String door, long now) {
    doors.linkUp(door, now);
    return List.of();
  }

  /** The link to a door is down. */
  public List<RegistryAction> doorDown(String door, long now) {
    doors.linkDown(door, now);
    return replication.sendDue(now);
  }

  /** A link to another core process is up. */
  public List<RegistryAction> coreUp(String peer, long now) {
    replication.peerUp(peer, registry.contentsForPeers(), now);
    return replication.sendDue(now);
  }

  /** The link to another core process is down. */
  public List<RegistryAction> coreDown(String peer, long now) {
    replication.peerDown(peer);
    registry.restartExpiry(now);
    return List.of();
  }

  /**
   * A configuration is committed. One that is not newer than all before is ignored.
   *
   * @param document as it is stored and sent; not to be changed
   * @param limits the limits of all its tenants, {@link QuotaLimit#NONE} of those without one
   */
  public List<RegistryAction> configurationCommitted(
      long sequence, long edition, ByteBuffer document, Map<String, QuotaLimit> limits, long now) {
    if (sequence <= configurationSequence) {
      return List.of();
    }
    configurationSequence = sequence;
    doors.configurationCommitted(sequence, edition, document);
    grants.updateLimits(limits, now);
    return replication.sendDue(now);
  }

  /** Does what is due by time; to be called about every 50 ms. */
  public List<RegistryAction> tick(long now) {
    replication.updateMembers();
    replication.trackContact(now);
    grants.updateOwnedShards(now);
    backends.expire(now);
    List<RegistryAction> actions = new ArrayList<>(backends.digestsDue(now));
    actions.addAll(replication.sendDue(now));
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

  /** A tenant's quota, if this process owns its shard and knows it; for operators. */
  public Optional<QuotaStatus> quotaStatus(String tenant, long now) {
    return grants.status(tenant, now);
  }
}
