package nettletrail.control;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import nettletrail.control.door.DoorAction;
import nettletrail.control.grant.GrantTerms;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.control.registry.RegistryAction;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import org.apache.avro.specific.SpecificRecord;

/**
 * Core processes and doors over a network in memory, on a virtual clock; who owns which shard is
 * set by the test.
 */
final class ControlFleet extends VirtualClock {
  static final long HEARTBEAT_MS = 1_200;
  static final long REVOKE_MS = 5_000;
  static final long IN_FORCE_MS = 2_000;
  static final GrantTerms TERMS = new GrantTerms(8, 0.1, 190_000, GrantTerms.USUAL_VALID_MS);
  static final long TICK_NANOS = 50 * MILLIS;
  private final GrantTerms terms;
  private final Random random;
  private final Map<String, SimulatedCoreProcess> cores = new TreeMap<>();
  private final Map<String, SimulatedDoor> doors = new TreeMap<>();
  private final Set<String> partitions = new TreeSet<>();
  private final Set<String> links = new TreeSet<>();
  final Map<Long, Integer> answers = new LinkedHashMap<>();

  /** How many messages doors sent, by kind. */
  final Map<String, Integer> messagesFromDoors = new TreeMap<>();

  private final IncarnationNumbers incarnations = new IncarnationNumbers();
  private final ArrivalOrder arrivals = new ArrivalOrder();
  private Map<String, QuotaLimit> currentLimits = Map.of();
  private long calls;

  /** The address of each shard's owner and the term of its proposal number. */
  final Map<Integer, String> owners = new TreeMap<>();

  final Map<Integer, Long> ownerTerms = new TreeMap<>();

  /** Whether nobody owns any shard. */
  boolean ownersPaused;

  /** Bounds of the random delay of each message, in nanoseconds. */
  long minDelay = MILLIS;

  long maxDelay = 2 * MILLIS;

  ControlFleet(int coreCount, int doorCount, long seed) {
    this(coreCount, doorCount, seed, TERMS);
  }

  ControlFleet(int coreCount, int doorCount, long seed, GrantTerms terms) {
    this.random = new Random(seed);
    this.terms = terms;
    for (int index = 0; index < coreCount; index++) {
      cores.put("core-" + index, null);
    }
    for (String address : List.copyOf(cores.keySet())) {
      cores.put(address, new SimulatedCoreProcess(address, this, cores::keySet));
    }
    for (int shard = 0; shard < ShardMap.SHARD_COUNT; shard++) {
      own(shard, "core-" + shard % coreCount);
    }
    for (int index = 0; index < doorCount; index++) {
      doors.put("door-" + index, new SimulatedDoor("door-" + index, this));
    }
    schedule(0, this::connect);
  }

  SimulatedCoreProcess core(int index) {
    return cores.get("core-" + index);
  }

  SimulatedDoor door(int index) {
    return doors.get("door-" + index);
  }

  Set<String> coreNames() {
    return Set.copyOf(cores.keySet());
  }

  int doorCount() {
    return doors.size();
  }

  SimulatedOwnership.Owners shardOwners() {
    return new SimulatedOwnership.Owners(owners, ownerTerms, ownersPaused);
  }

  /** The address that doors dial first. */
  String seedAddress() {
    return cores.keySet().iterator().next();
  }

  GrantTerms terms() {
    return terms;
  }

  Map<String, QuotaLimit> currentLimits() {
    return currentLimits;
  }

  long nextIncarnation() {
    return incarnations.next();
  }

  /** Ticks of processes that start at once are spread over an interval of them. */
  long firstTickDelay() {
    return random.nextInt(50) * MILLIS;
  }

  /** Adds a door that starts now. */
  SimulatedDoor addDoor(int index) {
    SimulatedDoor door = new SimulatedDoor("door-" + index, this);
    doors.put(door.name, door);
    return door;
  }

  /** Makes a core process the owner of a shard, under a new fencing token. */
  void own(int shard, String address) {
    owners.put(shard, address);
    ownerTerms.merge(shard, 1L, Long::sum);
  }

  /** All core processes and doors learn of a committed configuration. */
  void commit(long configuration, Map<String, QuotaLimit> limits) {
    commit(configuration, limits, Set.of());
  }

  /** All but the skipped core processes and doors learn of a committed configuration. */
  void commit(long configuration, Map<String, QuotaLimit> limits, Set<String> skipped) {
    for (SimulatedCoreProcess core : cores.values()) {
      if (skipped.contains(core.address)) {
        continue;
      }
      core.configurationSequence = configuration;
      core.confirming = true;
      perform(
          core,
          core.registry.configurationCommitted(
              configuration, configuration, ByteBuffer.wrap(new byte[] {1}), limits, now));
    }
    currentLimits = limits;
    for (SimulatedDoor door : doors.values()) {
      if (!skipped.contains(door.name)) {
        door.limitsChanged(limits);
      }
    }
  }

  /** Partitions two processes from each other: their link goes down and stays so. */
  void partition(String one, String other) {
    partitions.add(LinkName.of(one, other));
    for (String link : List.copyOf(links)) {
      if (link.equals(LinkName.of(one, other))) {
        down(link);
      }
    }
  }

  /** Partitions one process from all others. */
  void isolate(String name) {
    cores.keySet().stream()
        .filter(other -> !other.equals(name))
        .forEach(other -> partition(name, other));
    doors.keySet().stream()
        .filter(other -> !other.equals(name))
        .forEach(other -> partition(name, other));
  }

  /** Ends all partitions. */
  void heal() {
    partitions.clear();
  }

  void kill(String name) {
    if (cores.get(name) != null) {
      cores.get(name).running = false;
    } else {
      doors.get(name).running = false;
    }
    for (String link : List.copyOf(links)) {
      if (List.of(link.split("~")).contains(name)) {
        down(link);
      }
    }
  }

  boolean isRunning(String name) {
    return running(name);
  }

  void restart(String name) {
    if (cores.get(name) != null) {
      cores.get(name).start();
    } else {
      doors.get(name).start();
    }
  }

  /**
   * A backend calls a core process; the returned number stands in {@link #answers} once it is
   * answered.
   */
  long call(int core, String method, Backend backend) {
    long call = ++calls;
    SimulatedCoreProcess target = core(core);
    perform(target, target.registry.backendCall(call, method, backend, now));
    return call;
  }

  static Backend backend(String id, BackendState state, long callSequence) {
    return new Backend(
        id, "lm", "10.0.0.1:80", "zone", "v1", 8, state, 0L, "", List.of("m"), callSequence);
  }

  /** Reconnects the links that are down, as the transport does. */
  private void connect() {
    for (String one : List.copyOf(cores.keySet())) {
      for (String other : cores.keySet()) {
        if (one.compareTo(other) < 0) {
          up(one, other);
        }
      }
      for (SimulatedDoor door : doors.values()) {
        if (door.dialled.contains(one)) {
          up(one, door.name);
        }
      }
    }
    schedule(100 * MILLIS, this::connect);
  }

  private void up(String core, String other) {
    String link = LinkName.of(core, other);
    if (links.contains(link) || partitions.contains(link) || !running(core) || !running(other)) {
      return;
    }
    links.add(link);
    SimulatedCoreProcess target = cores.get(core);
    if (cores.get(other) != null) {
      perform(target, target.registry.coreUp(other, now));
      perform(cores.get(other), cores.get(other).registry.coreUp(core, now));
    } else {
      perform(target, target.registry.doorUp(other, now));
      perform(doors.get(other), doors.get(other).control.linkUp(core, now));
    }
  }

  private void down(String link) {
    links.remove(link);
    String[] ends = link.split("~");
    for (int end = 0; end < ends.length; end++) {
      String self = ends[end];
      String other = ends[1 - end];
      if (!running(self)) {
        continue;
      }
      if (cores.get(self) == null) {
        perform(doors.get(self), doors.get(self).control.linkDown(other, now));
      } else if (cores.get(other) != null) {
        perform(cores.get(self), cores.get(self).registry.coreDown(other, now));
      } else {
        perform(cores.get(self), cores.get(self).registry.doorDown(other, now));
      }
    }
  }

  private boolean running(String name) {
    return cores.get(name) != null ? cores.get(name).running : doors.get(name).running;
  }

  void perform(SimulatedCoreProcess core, List<RegistryAction> actions) {
    for (RegistryAction action : actions) {
      if (action instanceof RegistryAction.SendToCore send) {
        send(core.address, send.address(), send.message());
      } else if (action instanceof RegistryAction.SendToDoor send) {
        send(core.address, send.door(), send.message());
      } else if (action instanceof RegistryAction.AnswerBackend answer) {
        answers.put(answer.call(), answer.status());
      } else if (action instanceof RegistryAction.StoreWithdrawals write) {
        core.store(write);
      }
    }
  }

  void perform(SimulatedDoor door, List<DoorAction> actions) {
    for (DoorAction action : actions) {
      if (action instanceof DoorAction.SendToCore send) {
        messagesFromDoors.merge(send.message().getClass().getSimpleName(), 1, Integer::sum);
        send(door.name, send.address(), send.message());
      } else if (action instanceof DoorAction.Dial dial) {
        door.dialled.add(dial.address());
      } else if (action instanceof DoorAction.Undial undial) {
        door.dialled.remove(undial.address());
      } else if (action instanceof DoorAction.ConfigurationChanged changed) {
        door.configurations.add(changed.sequence());
      }
    }
  }

  /**
   * Delivers in order on each link, each message after a random delay; messages in flight are lost
   * when the link goes down.
   */
  private void send(String from, String to, SpecificRecord message) {
    String link = LinkName.of(from, to);
    if (!links.contains(link)) {
      return;
    }
    long span = Math.max(1, maxDelay - minDelay);
    long delay = minDelay + (long) (random.nextDouble() * span);
    long at = arrivals.next(from, to, now + delay);
    long targetIncarnation = incarnation(to);
    schedule(
        at - now,
        () -> {
          if (links.contains(link) && running(to) && incarnation(to) == targetIncarnation) {
            deliver(from, to, message);
          }
        });
  }

  private long incarnation(String name) {
    return cores.get(name) != null ? cores.get(name).incarnation : doors.get(name).incarnation;
  }

  private void deliver(String from, String to, SpecificRecord message) {
    if (cores.get(to) == null) {
      perform(doors.get(to), doors.get(to).control.received(from, message, now));
      doors.get(to).afterMessage.run();
      doors.get(to).schedulePoll();
    } else if (cores.get(from) != null) {
      perform(cores.get(to), cores.get(to).registry.receiveFromCore(from, message, now));
    } else {
      perform(cores.get(to), cores.get(to).registry.receiveFromDoor(from, message, now));
    }
  }
}
