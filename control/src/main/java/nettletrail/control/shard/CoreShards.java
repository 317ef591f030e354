package nettletrail.control.shard;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import nettletrail.protocol.Accept;
import nettletrail.protocol.AcceptReply;
import nettletrail.protocol.ConfirmQuery;
import nettletrail.protocol.ConfirmReply;
import nettletrail.protocol.JoinRequest;
import nettletrail.protocol.LeaseRelease;
import nettletrail.protocol.Member;
import nettletrail.protocol.OrderForward;
import nettletrail.protocol.OrderForwardReply;
import nettletrail.protocol.OwnerHeartbeat;
import nettletrail.protocol.OwnerHeartbeatReply;
import nettletrail.protocol.PreVote;
import nettletrail.protocol.PreVoteReply;
import nettletrail.protocol.Prepare;
import nettletrail.protocol.PrepareReply;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardHeartbeat;
import nettletrail.protocol.ShardHeartbeatReply;
import nettletrail.protocol.ShardVersion;
import nettletrail.protocol.VersionQuery;
import nettletrail.protocol.VersionReply;
import nettletrail.store.NodeIdentity;
import nettletrail.store.StoredShard;
import org.apache.avro.specific.SpecificRecord;

/**
 * All replicated shards of one core process: shard {@value #CONFIGURATION_SHARD} holds the
 * configuration, the others only decide who owns them.
 *
 * <p>Pure and confined to one thread: each event returns the actions that follow from it. Times are
 * nanoseconds of this process' steady clock. {@link #tick} is due about every 50 ms; timers are no
 * finer than that.
 */
public final class CoreShards {

  /** The shard that holds the operator's configuration. */
  public static final int CONFIGURATION_SHARD = 0;

  private final ShardSettings settings;
  private final Member self;
  private final ActionQueue actionQueue;
  private final List<ShardReplica> replicas = new ArrayList<>();
  private final ShardReplica configurationReplica;
  private final ConfigurationRegister register;
  private final OperatorRequestRouter requestRouter;
  private final ConfirmationRounds confirmations;
  private final PeerDirectory peerDirectory;
  private final long startedAt;
  private long heartbeatDueAt;
  private long joinDueAt;
  private long announcedSequence;

  /**
   * Starts the process' shards.
   *
   * @param self identity and address of this process
   * @param seedAddresses where other core processes may be found; at the first run the founding
   *     group
   * @param firstRun true only at the first start of the whole system
   * @param stored what the disk holds, by shard; a shard that is missing has nothing
   * @param seed of the random numbers; should differ between processes and lives
   */
  public CoreShards(
      ShardSettings settings,
      Member self,
      List<String> seedAddresses,
      boolean firstRun,
      int shardCount,
      Map<Integer, StoredShard> stored,
      long seed,
      long now) {
    this(
        settings,
        new CoreStart(self, seedAddresses, firstRun, shardCount, stored),
        seed,
        now,
        new DocumentRules());
  }

  /** As the other constructor, with other rules for documents. */
  CoreShards(
      ShardSettings settings, CoreStart start, long seed, long now, ConfigurationRules rules) {
    this.settings = settings;
    this.self = start.self();
    this.startedAt = now;
    this.actionQueue = new ActionQueue(self.getAddress());
    this.peerDirectory = new PeerDirectory(start.seedAddresses());
    SplittableRandom random = new SplittableRandom(seed);
    for (int shard = 0; shard < start.shardCount(); shard++) {
      replicas.add(startReplica(shard, start, random.split(), now));
    }
    this.configurationReplica = replicas.get(CONFIGURATION_SHARD);
    this.register = new ConfigurationRegister(configurationReplica, rules, settings, actionQueue);
    this.requestRouter = new OperatorRequestRouter(settings, actionQueue, random.nextLong());
    this.confirmations =
        new ConfirmationRounds(
            configurationReplica, self, peerDirectory, settings, actionQueue, now);
    this.heartbeatDueAt = now;
    this.joinDueAt = now + settings.join();
  }

  private ShardReplica startReplica(int shard, CoreStart start, SplittableRandom random, long now) {
    boolean founding = start.firstRun() && start.shard(shard).isEmpty();
    long votingStartsAt = founding ? now : now + settings.lease();
    ShardReplica replica =
        new ShardReplica(
            shard, self, settings, start.shard(shard), actionQueue, random, votingStartsAt);
    List<Member> founders = start.seedAddresses().stream().map(NodeIdentity::founding).toList();
    if (founding && founders.contains(self)) {
      ShardVersion initial =
          new ShardVersion(ProposalNumbers.ZERO, 0L, founders, ByteBuffer.allocate(0));
      replica.bootstrap(initial, now);
    }
    return replica;
  }

  // Events

  /** Takes a message that the core process at that address sent. */
  public List<CoreAction> receive(String peerAddress, SpecificRecord message, long now) {
    dispatch(peerAddress, message, now);
    return finish(now);
  }

  /** Does what time makes due. */
  public List<CoreAction> tick(long now) {
    for (ShardReplica replica : replicas) {
      replica.tick(now);
    }
    if (now >= heartbeatDueAt) {
      heartbeatDueAt = now + settings.heartbeat();
      sendHeartbeats(replicas, now);
    }
    confirmations.tick(peerDirectory.addresses(replicas), now);
    if (now >= joinDueAt) {
      joinDueAt = now + settings.join();
      askToJoin(now);
    }
    requestRouter.tick(ownerAddress(CONFIGURATION_SHARD, now), now);
    return finish(now);
  }

  /** Takes the outcome of a storage action. */
  public List<CoreAction> stored(long ticket, StoreOutcome outcome, long now) {
    for (ShardReplica replica : replicas) {
      if (replica.onStored(ticket, outcome)) {
        break;
      }
    }
    return finish(now);
  }

  /**
   * Takes an operator's call that arrived at this process; it is answered by an {@link
   * CoreAction.AnswerOperator}.
   */
  public List<CoreAction> submit(long call, String method, String ifMatch, byte[] body, long now) {
    String owner = ownerAddress(CONFIGURATION_SHARD, now);
    requestRouter.submit(call, method, ifMatch, body, owner, now);
    return finish(now);
  }

  /**
   * Gives back all leases before the process ends, so that others own the shards without waiting
   * for them to run out.
   */
  public List<CoreAction> release(long now) {
    replicas.forEach(ShardReplica::release);
    return finish(now);
  }

  // Views

  /**
   * True while this process holds the lease of a shard: no other process can own it before that
   * runs out.
   */
  public boolean owns(int shard, long now) {
    return replicas.get(shard).owns(now);
  }

  /** The fencing token of a shard that this process owns, or null. */
  public ProposalNumber token(int shard) {
    return replicas.get(shard).token();
  }

  /** The address of a shard's owner as far as known, else empty. */
  public String ownerAddress(int shard, long now) {
    String owner = replicas.get(shard).ownerAddress(now);
    boolean ask = owner.isEmpty() && shard == CONFIGURATION_SHARD;
    return ask ? peerDirectory.reportedOwner(now, settings.lease()) : owner;
  }

  /** The newest known group of the configuration shard: all core processes that have joined. */
  public List<Member> members() {
    ShardVersion accepted = configurationReplica.accepted();
    long ownSequence = accepted == null ? -1 : accepted.getSequence();
    boolean reportedNewer = peerDirectory.reportedSequence() > ownSequence;
    ReplicaGroup group =
        reportedNewer ? peerDirectory.reportedGroup() : configurationReplica.group();
    return group.members();
  }

  /** The states of all shards as this process knows them, for operators. */
  public List<ShardStatus> status(long now) {
    List<ShardStatus> status = new ArrayList<>();
    for (int shard = 0; shard < replicas.size(); shard++) {
      status.add(ShardStatus.of(shard, replicas.get(shard), now));
    }
    return status;
  }

  /**
   * The newest configuration that is known here to be committed, or null; may be older than the
   * owner's.
   */
  public StoredConfiguration configuration() {
    ShardVersion committed = configurationReplica.committed();
    return committed == null ? null : StoredConfiguration.of(committed);
  }

  /** One shard's state in words, for tests and logs. */
  String describe(int shard, long now) {
    return replicas.get(shard).describe(now);
  }

  /** The group that this process' own replica of a shard holds. */
  ReplicaGroup group(int shard) {
    return replicas.get(shard).group();
  }

  /**
   * The latest instant, on this process' steady clock and before the majority was asked, at which
   * no newer configuration than the one announced here was committed; {@link ReplicaGroup#NEVER} if
   * none is known.
   */
  public long confirmedAt() {
    return confirmations.confirmedAt();
  }

  /**
   * The sequence of the newest version of the configuration shard that is known to be committed, or
   * -1.
   */
  public long committedSequence() {
    return confirmations.committedSequence();
  }

  // Messages

  private void dispatch(String peer, SpecificRecord message, long now) {
    if (message instanceof OwnerHeartbeat heartbeat) {
      onHeartbeat(peer, heartbeat, now);
    } else if (message instanceof OwnerHeartbeatReply reply) {
      onHeartbeatReply(reply, now);
    } else if (message instanceof PreVote request) {
      replicas.get(request.getShard()).onPreVote(peer, request, now);
    } else if (message instanceof PreVoteReply reply) {
      replicas.get(reply.getShard()).onPreVoteReply(reply, now);
    } else if (message instanceof Prepare request) {
      replicas.get(request.getShard()).onPrepare(peer, request, now);
    } else if (message instanceof PrepareReply reply) {
      replicas.get(reply.getShard()).onPrepareReply(reply, now);
    } else if (message instanceof Accept request) {
      replicas.get(request.getShard()).onAccept(peer, request, now);
    } else if (message instanceof AcceptReply reply) {
      replicas.get(reply.getShard()).onAcceptReply(reply, now);
    } else if (message instanceof LeaseRelease release) {
      replicas.get(release.getShard()).onRelease(release, now);
    } else if (message instanceof JoinRequest request) {
      replicas.get(request.getShard()).onJoinRequest(request.getMember(), now);
    } else {
      dispatchConfiguration(peer, message, now);
    }
  }

  private void dispatchConfiguration(String peer, SpecificRecord message, long now) {
    if (message instanceof ConfirmQuery query) {
      confirmations.onQuery(peer, query, now);
    } else if (message instanceof ConfirmReply reply) {
      confirmations.onReply(peer, reply, now);
    } else if (message instanceof VersionQuery) {
      confirmations.onVersionQuery(peer);
    } else if (message instanceof VersionReply reply) {
      confirmations.onVersionReply(reply);
    } else if (message instanceof OrderForward order) {
      register.onRequest(peer, order, now);
    } else if (message instanceof OrderForwardReply reply) {
      requestRouter.onReply(peer, reply, CoreAction.ALWAYS);
    }
  }

  private void onHeartbeat(String peer, OwnerHeartbeat heartbeat, long now) {
    List<ShardHeartbeatReply> replies = new ArrayList<>();
    for (ShardHeartbeat shardHeartbeat : heartbeat.getShards()) {
      ShardHeartbeatReply reply =
          replicas.get(shardHeartbeat.getShard()).onHeartbeat(shardHeartbeat, now);
      if (reply != null) {
        replies.add(reply);
      }
    }
    if (!replies.isEmpty()) {
      actionQueue.send(peer, new OwnerHeartbeatReply(self.getId(), heartbeat.getSentAt(), replies));
    }
  }

  private void onHeartbeatReply(OwnerHeartbeatReply reply, long now) {
    if (!sentInThisIncarnation(reply.getSentAt(), now)) {
      return;
    }
    for (ShardHeartbeatReply shardReply : reply.getShards()) {
      replicas
          .get(shardReply.getShard())
          .onHeartbeatReply(reply.getSender(), reply.getSentAt(), shardReply, now);
    }
  }

  /** An answer to a former life of this process must not count: its clock may have been another. */
  private boolean sentInThisIncarnation(long sentAt, long now) {
    return sentAt >= startedAt && sentAt <= now;
  }

  // Periodic work

  private void sendHeartbeats(List<ShardReplica> owned, long now) {
    Map<String, List<ShardHeartbeat>> heartbeats = new LinkedHashMap<>();
    for (ShardReplica replica : owned) {
      for (Member member : replica.heartbeatTargets()) {
        heartbeats
            .computeIfAbsent(member.getAddress(), address -> new ArrayList<>())
            .add(replica.heartbeat(member));
      }
    }
    heartbeats.forEach(
        (address, shards) ->
            actionQueue.send(address, new OwnerHeartbeat(self.getId(), now, shards)));
  }

  /**
   * A process that is no member of a shard, or has heard no owner for long, asks to be a member;
   * owners ignore members.
   */
  private void askToJoin(long now) {
    for (int shard = 0; shard < replicas.size(); shard++) {
      ShardReplica replica = replicas.get(shard);
      boolean member = replica.group().contains(self.getId());
      boolean heard = now - replica.ownerLastSeenAt() <= 2 * settings.lease();
      if (member && heard) {
        continue;
      }
      JoinRequest request = new JoinRequest(shard, self);
      for (String address : peerDirectory.addresses(replicas)) {
        if (!address.equals(self.getAddress())) {
          actionQueue.send(address, request);
        }
      }
    }
  }

  // After each event

  private List<CoreAction> finish(long now) {
    do {
      deliverLoopback(now);
      register.advance(now);
      sendRequestedHeartbeats(now);
    } while (actionQueue.hasLoopback());
    confirmations.update();
    announceConfiguration();
    return actionQueue.drain();
  }

  private void deliverLoopback(long now) {
    ActionQueue.LoopbackMessage own = actionQueue.pollLoopback();
    while (own != null) {
      if (own.message() instanceof OrderForwardReply reply) {
        requestRouter.onReply(self.getAddress(), reply, own.validUntil());
      } else {
        dispatch(self.getAddress(), own.message(), now);
      }
      own = actionQueue.pollLoopback();
    }
  }

  private void sendRequestedHeartbeats(long now) {
    List<ShardReplica> requested = new ArrayList<>();
    for (ShardReplica replica : replicas) {
      if (replica.pollHeartbeatRequest()) {
        requested.add(replica);
      }
    }
    sendHeartbeats(requested, now);
  }

  private void announceConfiguration() {
    ShardVersion committed = configurationReplica.committed();
    if (committed == null || committed.getSequence() <= announcedSequence) {
      return;
    }
    announcedSequence = committed.getSequence();
    ConfigurationState state = register.state();
    if (state.edition() > 0) {
      actionQueue.add(
          new CoreAction.CommittedConfiguration(
              announcedSequence, state.edition(), state.documentBytes(), state.storedDocument()));
    }
  }
}
