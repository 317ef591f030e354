package nettletrail.control.shard;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import nettletrail.control.ShardMap;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.StoredShard;
import org.apache.avro.specific.SpecificRecord;

/**
 * All replicated shards of one core process: shard {@value ShardMap#CONFIGURATION_SHARD} stores the
 * configuration, the others only elect an owner. Routes events to the parts that handle them.
 *
 * <p>Does no I/O and reads no clock; for one thread. Each event returns the actions that follow
 * from it, which the caller performs in their order. {@code now} is the caller's reading of the
 * process' steady clock in nanoseconds and must not decrease. {@link #tick} should be called about
 * every 50 ms; timers are no finer than that.
 */
public final class CoreShards {

  private final ShardSettings settings;
  private final Member self;
  private final ActionQueue actionQueue;
  private final PeerDirectory peerDirectory;
  private final List<ShardReplica> replicas = new ArrayList<>();
  private final ShardReplica configurationReplica;
  private final ConfigurationRegister register;
  private final OperatorRequestRouter requestRouter;
  private final ConfirmationRounds confirmationRounds;
  private final OwnerHeartbeats heartbeats;
  private final JoinRequests joinRequests;
  private final LeaveRequests leaveRequests;
  private final BootstrapRecovery bootstrapRecovery;
  private final ConfigurationAnnouncer announcer;
  private final MessageDispatcher dispatcher;

  /**
   * Starts the process' shards.
   *
   * @param self identity and address of this process
   * @param seedAddresses addresses of core processes to contact; at the first run the founding
   *     group
   * @param firstRun true only at the first start of the whole system
   * @param stored the replicas' states on disk by shard; a missing shard has none
   * @param seed of the random numbers; should differ between processes and incarnations
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

  /** As the public constructor, with other rules for documents. */
  CoreShards(
      ShardSettings settings, CoreStart start, long seed, long now, ConfigurationRules rules) {
    this.settings = settings;
    this.self = start.self();
    this.actionQueue = new ActionQueue(self.getAddress());
    this.peerDirectory = new PeerDirectory(start.seedAddresses());
    SplittableRandom random = new SplittableRandom(seed);
    for (int shard = 0; shard < start.shardCount(); shard++) {
      replicas.add(startReplica(shard, start, random.split(), now));
    }
    Incarnation incarnation = new Incarnation(now);
    this.configurationReplica = replicas.get(ShardMap.CONFIGURATION_SHARD);
    this.register = new ConfigurationRegister(configurationReplica, rules, settings, actionQueue);
    this.requestRouter = new OperatorRequestRouter(settings, actionQueue, random.nextLong());
    this.confirmationRounds =
        new ConfirmationRounds(
            configurationReplica, self, peerDirectory, settings, actionQueue, incarnation);
    this.heartbeats = new OwnerHeartbeats(replicas, self, settings, actionQueue, incarnation);
    this.joinRequests = new JoinRequests(replicas, self, peerDirectory, settings, actionQueue, now);
    this.leaveRequests = new LeaveRequests(replicas, self, settings, actionQueue);
    this.bootstrapRecovery =
        new BootstrapRecovery(replicas, start, settings, actionQueue, incarnation);
    this.announcer = new ConfigurationAnnouncer(configurationReplica, register, actionQueue);
    this.dispatcher =
        new MessageDispatcher(
            replicas, heartbeats, confirmationRounds, register, requestRouter, leaveRequests);
  }

  private ShardReplica startReplica(int shard, CoreStart start, SplittableRandom random, long now) {
    StoredShard stored = start.storedShard(shard);
    boolean founding = start.firstRun() && Bootstrap.isUntouched(stored);
    // a lease that an earlier incarnation of this process granted may still run
    long votingStartsAt = founding ? now : now + settings.leaseNanos();
    ShardReplica replica =
        new ShardReplica(shard, self, settings, stored, actionQueue, random, votingStartsAt);
    ShardVersion initial = Bootstrap.initialVersion(start.seedAddresses());
    if (!founding || !initial.getMembers().contains(self)) {
      return replica;
    }
    if (stored.version() == null) {
      replica.bootstrap(initial, now);
    } else {
      replica.onBootstrapped(now);
    }
    return replica;
  }

  // Events

  /** Takes a message that the core process at that address sent. */
  public List<CoreAction> receive(String peerAddress, SpecificRecord message, long now) {
    dispatch(peerAddress, message, CoreAction.ALWAYS, now);
    return finish(now);
  }

  /** Runs all timers. */
  public List<CoreAction> tick(long now) {
    for (ShardReplica replica : replicas) {
      replica.tick(now);
    }
    heartbeats.tick(now);
    confirmationRounds.tick(peerDirectory.addresses(replicas), now);
    if (leaveRequests.isLeaving()) {
      leaveRequests.tick(now);
    } else {
      joinRequests.tick(now);
    }
    bootstrapRecovery.tick(now);
    requestRouter.tick(ownerAddress(ShardMap.CONFIGURATION_SHARD, now), now);
    return finish(now);
  }

  /** A door has reported that it has a configuration. */
  public void configurationSeen() {
    bootstrapRecovery.onConfigurationSeen();
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
    String owner = ownerAddress(ShardMap.CONFIGURATION_SHARD, now);
    requestRouter.submit(call, method, ifMatch, body, owner, now);
    return finish(now);
  }

  /**
   * Begins to leave the groups that tolerate more losses without this process, before a graceful
   * shutdown. The process should go on until {@link #hasLeft}, for a limited time, and then {@link
   * #release}.
   */
  public List<CoreAction> leave(long now) {
    leaveRequests.start(now);
    return finish(now);
  }

  /** True once there is nothing left to wait for before the shutdown that {@link #leave} began. */
  public boolean hasLeft() {
    return leaveRequests.isSettled();
  }

  /**
   * Releases all leases before a graceful shutdown, so that other processes can own the shards
   * without waiting for the leases to expire. The process starts no election afterwards.
   */
  public List<CoreAction> release(long now) {
    replicas.forEach(ShardReplica::release);
    return finish(now);
  }

  // Views

  /**
   * True while this process holds the owner's lease of a shard: no other process can own the shard
   * before the lease expires.
   */
  public boolean owns(int shard, long now) {
    return replicas.get(shard).owns(now);
  }

  /** The fencing token of a shard that this process owns, or null. */
  public ProposalNumber token(int shard) {
    return replicas.get(shard).token();
  }

  /** The address of a shard's owner, or empty if none is known. */
  public String ownerAddress(int shard, long now) {
    String owner = replicas.get(shard).ownerAddress(now);
    boolean mayBeReported = owner.isEmpty() && shard == ShardMap.CONFIGURATION_SHARD;
    return mayBeReported ? peerDirectory.reportedOwner(now, settings.leaseNanos()) : owner;
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

  /** A one-line description of a shard's replica, for tests and logs. */
  String describe(int shard, long now) {
    return replicas.get(shard).describe(now);
  }

  /** The group that this process' replica of a shard has accepted. */
  ReplicaGroup group(int shard) {
    return replicas.get(shard).group();
  }

  /**
   * The latest instant on this process' steady clock at which, by a quorum read, no newer
   * configuration than the one announced here was committed; {@link ReplicaGroup#NEVER} if none is
   * known.
   */
  public long confirmedAt() {
    return confirmationRounds.confirmedAt();
  }

  /**
   * The sequence of the newest version of the configuration shard that is known to be committed, or
   * -1.
   */
  public long committedSequence() {
    return confirmationRounds.committedSequence();
  }

  // After each event

  /** Handles the messages of this process to itself, and what they lead to, within the event. */
  private List<CoreAction> finish(long now) {
    do {
      deliverLoopback(now);
      register.advance(now);
      heartbeats.sendRequested(now);
    } while (actionQueue.hasLoopback());
    confirmationRounds.update();
    announcer.announceIfNewer();
    return actionQueue.drain();
  }

  private void dispatch(String peerAddress, SpecificRecord message, long validUntil, long now) {
    bootstrapRecovery.onMessage(peerAddress, message, now);
    dispatcher.dispatch(peerAddress, message, validUntil, now);
  }

  private void deliverLoopback(long now) {
    ActionQueue.LoopbackMessage next = actionQueue.pollLoopback();
    while (next != null) {
      dispatch(self.getAddress(), next.message(), next.validUntil(), now);
      next = actionQueue.pollLoopback();
    }
  }
}
