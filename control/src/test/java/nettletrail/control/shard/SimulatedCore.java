package nettletrail.control.shard;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Function;
import nettletrail.protocol.Member;
import nettletrail.store.NodeIdentity;
import org.apache.avro.specific.SpecificRecord;

/**
 * One machine of a {@link SimulatedCluster}: a process with its storage thread, and a disk that
 * outlives it.
 */
final class SimulatedCore {

  static final int SHARDS = 5;
  private static final long TICK = SimulatedCluster.millis(50);

  final String address;
  final SimulatedClock clock;
  SimulatedStorage disk = new SimulatedStorage();
  CoreShards shards;

  /** The committed configuration that the process announced last. */
  CoreAction.CommittedConfiguration announced;

  /** True if a process here has founded the groups after a first start that was cut short. */
  boolean foundedGroups;

  /** What the process reported while it knew no group, or null. */
  CoreAction.GroupMissing groupMissing;

  long frozenUntil;
  long stalledUntil;
  boolean storageFails;

  private final SimulatedCluster cluster;
  private final Deque<CoreAction> storageQueue = new ArrayDeque<>();
  private int incarnation;
  private boolean storing;

  SimulatedCore(SimulatedCluster cluster, String address, SimulatedClock clock) {
    this.cluster = cluster;
    this.address = address;
    this.clock = clock;
  }

  boolean running() {
    return shards != null;
  }

  boolean frozen() {
    return cluster.now() < frozenUntil;
  }

  long localNow() {
    return clock.localTime(cluster.now());
  }

  boolean owns(int shard) {
    return running() && !frozen() && shards.owns(shard, localNow());
  }

  void start(List<String> seeds, boolean firstRun) {
    if (disk.identity == null && firstRun && seeds.contains(address)) {
      disk.storeInitial(SHARDS, Bootstrap.initialVersion(seeds));
    }
    if (disk.identity == null) {
      String suffix = "#r" + cluster.random().nextInt(1 << 30);
      disk.identity =
          firstRun ? NodeIdentity.founding(address) : new Member(address + suffix, address);
    }
    incarnation++;
    storing = false;
    storageQueue.clear();
    announced = null;
    long seed = cluster.random().nextLong();
    shards =
        new CoreShards(
            cluster.settings(),
            new CoreStart(disk.identity, seeds, firstRun, SHARDS, disk.shards()),
            seed,
            localNow(),
            new TextRules());
    scheduleTick();
  }

  /** Crashes the process; a storage operation in flight may have been applied. */
  void crash() {
    if (storing && cluster.random().nextBoolean()) {
      disk.apply(storageQueue.peek());
    }
    shards = null;
    incarnation++;
  }

  /** Shuts the process down gracefully. */
  void terminate() {
    release();
    crash();
  }

  /** Shuts the process down as the real one: it leaves the groups that don't need it first. */
  void shutDown() {
    perform(shards.leave(localNow()));
    cluster.runUntil(() -> shards.hasLeft(), SimulatedCluster.millis(1_000));
    terminate();
  }

  void release() {
    perform(shards.release(localNow()));
  }

  void loseDisk() {
    disk = new SimulatedStorage();
  }

  void receive(String from, SpecificRecord message) {
    whenRunning(now -> shards.receive(from, message, now));
  }

  void submit(long call, String method, String ifMatch, byte[] body) {
    whenRunning(now -> shards.submit(call, method, ifMatch, body, now));
  }

  private void scheduleTick() {
    int scheduledIn = incarnation;
    cluster.after(
        TICK,
        () -> {
          if (incarnation == scheduledIn) {
            whenRunning(now -> shards.tick(now));
            scheduleTick();
          }
        });
  }

  /** Runs an event now, or once the process isn't frozen; never in another incarnation. */
  private void whenRunning(Function<Long, List<CoreAction>> event) {
    int scheduledIn = incarnation;
    if (!running()) {
      return;
    }
    if (frozen()) {
      cluster.at(
          frozenUntil,
          () -> {
            if (incarnation == scheduledIn) {
              whenRunning(event);
            }
          });
      return;
    }
    perform(event.apply(localNow()));
    cluster.checkInvariants();
  }

  private void perform(List<CoreAction> actions) {
    for (CoreAction action : actions) {
      if (action instanceof CoreAction.Send send) {
        cluster.send(this, send.address(), send.message());
      } else if (action instanceof CoreAction.AnswerOperator answer) {
        cluster.answer(this, answer);
      } else if (action instanceof CoreAction.CommittedConfiguration configuration) {
        announced = configuration;
        cluster.onAnnounced(configuration);
      } else if (action instanceof CoreAction.GroupsFounded) {
        foundedGroups = true;
      } else if (action instanceof CoreAction.GroupMissing missing) {
        groupMissing = missing;
      } else if (!(action instanceof CoreAction.GroupChanged)) {
        storageQueue.add(action);
        storeNext();
      }
    }
  }

  private void storeNext() {
    if (storing || storageQueue.isEmpty()) {
      return;
    }
    storing = true;
    int scheduledIn = incarnation;
    long duration = SimulatedCluster.millis(1) + cluster.random().nextInt(8_000_000);
    cluster.after(
        duration,
        () -> {
          if (incarnation == scheduledIn) {
            finishStoring();
          }
        });
  }

  private void finishStoring() {
    if (cluster.now() < stalledUntil) {
      int scheduledIn = incarnation;
      cluster.at(
          stalledUntil,
          () -> {
            if (incarnation == scheduledIn) {
              finishStoring();
            }
          });
      return;
    }
    CoreAction action = storageQueue.poll();
    storing = false;
    boolean applied = !storageFails || cluster.random().nextBoolean();
    if (applied) {
      disk.apply(action);
    }
    StoreOutcome outcome = storageFails ? StoreOutcome.failed("disk full") : StoreOutcome.STORED;
    whenRunning(now -> shards.stored(SimulatedStorage.ticket(action), outcome, now));
    storeNext();
  }
}
