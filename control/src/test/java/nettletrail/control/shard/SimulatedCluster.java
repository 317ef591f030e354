package nettletrail.control.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import nettletrail.protocol.Member;
import org.apache.avro.specific.SpecificRecord;

/**
 * Core machines, their network and time, all from one seed. Times are true nanoseconds since the
 * start.
 */
final class SimulatedCluster {

  private record Event(long time, long order, Runnable action) {}

  private static final int MAX_SKEW_PER_MILLE = 10;

  private final Random random;
  private final ShardSettings settings;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (left, right) ->
              left.time() != right.time()
                  ? Long.compare(left.time(), right.time())
                  : Long.compare(left.order(), right.order()));
  private final Map<String, SimulatedCore> cores = new LinkedHashMap<>();
  private final Map<String, Long> lastArrival = new HashMap<>();
  private final SimulatedBandwidth bandwidth = new SimulatedBandwidth();
  private final Set<String> partitionedLinks = new HashSet<>();
  private Predicate<SpecificRecord> lost = message -> false;
  private final Map<Long, Consumer<CoreAction.AnswerOperator>> callers = new HashMap<>();
  private final ClusterInvariants invariants = new ClusterInvariants(this);
  private int machines;
  private long now;
  private long lastOrder;
  private long lastCall;

  double lossRate;
  double duplicationRate;
  long maxDelay = millis(5);

  SimulatedCluster(long seed, ShardSettings settings) {
    this.random = new Random(seed);
    this.settings = settings;
  }

  static long millis(long value) {
    return value * 1_000_000L;
  }

  static SimulatedCluster started(long seed, int size) {
    return started(seed, size, ShardSettings.defaults());
  }

  static SimulatedCluster started(long seed, int size, ShardSettings settings) {
    SimulatedCluster cluster = new SimulatedCluster(seed, settings);
    List<String> addresses = new ArrayList<>();
    for (int index = 1; index <= size; index++) {
      addresses.add(cluster.addCore().address);
    }
    List<String> seeds = cluster.seeds();
    for (String address : addresses) {
      long delay = cluster.random.nextInt((int) millis(300));
      cluster.after(delay, () -> cluster.core(address).start(seeds, true));
    }
    return cluster;
  }

  // Time

  long now() {
    return now;
  }

  Random random() {
    return random;
  }

  ShardSettings settings() {
    return settings;
  }

  ClusterInvariants invariants() {
    return invariants;
  }

  void after(long delay, Runnable action) {
    at(now + delay, action);
  }

  void at(long time, Runnable action) {
    lastOrder++;
    events.add(new Event(time, lastOrder, action));
  }

  void runFor(long duration) {
    long end = now + duration;
    while (!events.isEmpty() && events.peek().time() <= end) {
      step();
    }
    now = end;
  }

  /** Runs until the condition holds; false if it did not within that time. */
  boolean runUntil(BooleanSupplier condition, long limit) {
    long end = now + limit;
    while (!condition.getAsBoolean()) {
      if (events.isEmpty() || events.peek().time() > end) {
        return false;
      }
      step();
    }
    return true;
  }

  private void step() {
    Event event = events.poll();
    now = Math.max(now, event.time());
    event.action().run();
  }

  // Machines

  SimulatedCore addCore() {
    machines++;
    String address = "10.0.0." + machines + ":8665";
    long origin = random.nextInt(1_000_000_000) * 1000L;
    int skew = random.nextInt(2 * MAX_SKEW_PER_MILLE + 1) - MAX_SKEW_PER_MILLE;
    SimulatedCore core =
        new SimulatedCore(this, address, new SimulatedClock(origin, 1 + skew / 1000.0));
    cores.put(address, core);
    return core;
  }

  List<String> seeds() {
    return cores.keySet().stream().limit(3).toList();
  }

  SimulatedCore core(String address) {
    return cores.get(address);
  }

  SimulatedCore core(int index) {
    return new ArrayList<>(cores.values()).get(index);
  }

  List<SimulatedCore> cores() {
    return List.copyOf(cores.values());
  }

  /** Takes a machine away for good. */
  void remove(SimulatedCore core) {
    core.crash();
    cores.remove(core.address);
  }

  List<SimulatedCore> runningCores() {
    return cores.values().stream().filter(SimulatedCore::running).toList();
  }

  /** The owner of a shard at this instant, or null. */
  SimulatedCore owner(int shard) {
    return cores.values().stream().filter(core -> core.owns(shard)).findFirst().orElse(null);
  }

  boolean allRun() {
    return runningCores().size() == cores.size();
  }

  boolean allShardsOwned() {
    for (int shard = 0; shard < SimulatedCore.SHARDS; shard++) {
      if (owner(shard) == null) {
        return false;
      }
    }
    return true;
  }

  /**
   * True when every running machine holds a group of exactly the running machines for every shard,
   * and each is owned.
   */
  boolean groupIsComplete() {
    Set<String> running = new HashSet<>();
    runningCores().forEach(core -> running.add(core.disk.identity.getId()));
    for (SimulatedCore core : runningCores()) {
      for (int shard = 0; shard < SimulatedCore.SHARDS; shard++) {
        Set<String> members = new HashSet<>();
        core.shards.group(shard).members().stream().map(Member::getId).forEach(members::add);
        if (!members.equals(running)) {
          return false;
        }
      }
    }
    return allShardsOwned();
  }

  /** The state of all machines, for failures. */
  String describe() {
    StringBuilder text = new StringBuilder("\n");
    for (SimulatedCore core : cores.values()) {
      text.append(core.address).append(core.frozen() ? " frozen" : "").append('\n');
      for (int shard = 0; core.running() && shard < SimulatedCore.SHARDS; shard++) {
        text.append("  ").append(shard).append(' ');
        text.append(core.shards.describe(shard, core.localNow())).append('\n');
      }
    }
    return text.toString();
  }

  // Network

  void partition(SimulatedCore one, SimulatedCore other) {
    partitionedLinks.add(link(one.address, other.address));
    partitionedLinks.add(link(other.address, one.address));
  }

  void isolate(SimulatedCore core) {
    cores.values().stream().filter(other -> other != core).forEach(other -> partition(core, other));
  }

  /** Loses each message for which the condition holds, from now on. */
  void lose(Predicate<SpecificRecord> condition) {
    lost = condition;
  }

  void heal() {
    partitionedLinks.clear();
    lost = message -> false;
  }

  static String link(String from, String to) {
    return from + ">" + to;
  }

  void send(SimulatedCore from, String to, SpecificRecord message) {
    boolean duplicated = random.nextDouble() < duplicationRate;
    transmit(from.address, to, message);
    if (duplicated) {
      transmit(from.address, to, message);
    }
  }

  private void transmit(String from, String to, SpecificRecord message) {
    if (random.nextDouble() < lossRate || lost.test(message)) {
      return;
    }
    String link = link(from, to);
    long delay = 200_000 + (long) (random.nextDouble() * maxDelay);
    long arrival = bandwidth.transmitted(link, message, now) + delay;
    arrival = Math.max(arrival, lastArrival.getOrDefault(link, 0L) + 1);
    lastArrival.put(link, arrival);
    at(
        arrival,
        () -> {
          SimulatedCore target = cores.get(to);
          if (target != null && !partitionedLinks.contains(link)) {
            target.receive(from, message);
          }
        });
  }

  /** What the links carry, and how fast. */
  SimulatedBandwidth bandwidth() {
    return bandwidth;
  }

  // The operator's side

  /** Sends a call to a machine; the callback hears the answer, if there is one. */
  void call(
      SimulatedCore core,
      String method,
      String ifMatch,
      byte[] body,
      Consumer<CoreAction.AnswerOperator> callback) {
    lastCall++;
    callers.put(lastCall, callback);
    core.submit(lastCall, method, ifMatch, body);
  }

  void answer(SimulatedCore core, CoreAction.AnswerOperator answer) {
    Consumer<CoreAction.AnswerOperator> caller = callers.remove(answer.call());
    if (caller == null) {
      throw new AssertionError("call answered twice: " + answer);
    }
    caller.accept(answer);
  }

  void onAnnounced(CoreAction.CommittedConfiguration configuration) {
    invariants.onAnnounced(configuration);
  }

  void checkInvariants() {
    invariants.check();
  }
}
