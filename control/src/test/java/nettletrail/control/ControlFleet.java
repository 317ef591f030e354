package nettletrail.control;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import nettletrail.control.door.DoorAction;
import nettletrail.control.door.DoorControl;
import nettletrail.control.door.DoorControlSettings;
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
  private static final long TICK = 50 * MILLIS;
  private final GrantTerms terms;
  private final Random random;
  private final Map<String, Core> cores = new TreeMap<>();
  private final Map<String, Door> doors = new TreeMap<>();
  private final Set<String> partitions = new TreeSet<>();
  private final Set<String> links = new TreeSet<>();
  final Map<Long, Integer> answers = new LinkedHashMap<>();

  /** How many messages doors sent, by kind. */
  final Map<String, Integer> messagesFromDoors = new TreeMap<>();

  private final IncarnationNumbers incarnations = new IncarnationNumbers();
  private long calls;
  long minDelay = MILLIS;
  long maxDelay = 2 * MILLIS;

  /** One core process. */
  final class Core extends SimulatedOwnership {
    CoreRegistry registry;
    long incarnation;
    boolean running = true;
    boolean confirming;

    Core(String address) {
      super(address, ControlFleet.this::shardOwners, cores::keySet);
      start();
    }

    void start() {
      running = true;
      incarnation = incarnations.next();
      registry =
          new CoreRegistry(
              new CoreRegistrySettings(address, "zone", incarnation, HEARTBEAT_MS, terms),
              this,
              now);
      schedule(random.nextInt(50) * MILLIS, () -> tick(incarnation));
    }

    private void tick(long ofIncarnation) {
      if (!running || incarnation != ofIncarnation) {
        return;
      }
      if (confirming) {
        confirmedAt = OptionalLong.of(now - 20 * MILLIS);
      }
      perform(this, registry.tick(now));
      schedule(TICK, () -> tick(ofIncarnation));
    }
  }

  /** One door. */
  final class Door {
    final String name;
    final List<Long> configurations = new ArrayList<>();
    final Set<String> dialled = new TreeSet<>();
    DoorControl control;
    long incarnation;
    boolean running = true;
    Runnable afterMessage = () -> {};
    private boolean pollScheduled;

    Door(String name) {
      this.name = name;
      start();
    }

    void start() {
      running = true;
      incarnation = incarnations.next();
      dialled.clear();
      control =
          new DoorControl(
              new DoorControlSettings(
                  name,
                  "zone",
                  incarnation,
                  REVOKE_MS,
                  IN_FORCE_MS,
                  List.of(cores.keySet().iterator().next())),
              now);
      control.grants().limits(currentLimits);
      schedule(random.nextInt(50) * MILLIS, () -> tick(incarnation));
    }

    private void tick(long ofIncarnation) {
      if (!running || incarnation != ofIncarnation) {
        return;
      }
      perform(this, control.tick(now));
      afterMessage.run();
      schedule(TICK, () -> tick(ofIncarnation));
    }

    /** Takes quota tokens as the data plane does; requests more if there are too few. */
    boolean take(String tenant, long tokens) {
      boolean taken = control.grants().take(tenant, tokens, now);
      if (!taken) {
        perform(this, control.poll(now));
        schedulePoll();
      }
      return taken;
    }

    /** Polls before the next tick where the grant client asks for that. */
    void schedulePoll() {
      OptionalLong delay = control.nextPoll();
      if (delay.isEmpty() || pollScheduled) {
        return;
      }
      pollScheduled = true;
      long ofIncarnation = incarnation;
      ControlFleet.this.schedule(
          delay.getAsLong(),
          () -> {
            pollScheduled = false;
            if (running && incarnation == ofIncarnation) {
              perform(this, control.poll(now));
              schedulePoll();
            }
          });
    }
  }

  final Map<Integer, String> owners = new TreeMap<>();
  final Map<Integer, Long> ownerTerms = new TreeMap<>();
  boolean ownersPaused;
  private Map<String, QuotaLimit> currentLimits = Map.of();

  private SimulatedOwnership.Owners shardOwners() {
    return new SimulatedOwnership.Owners(owners, ownerTerms, ownersPaused);
  }

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
      cores.put(address, new Core(address));
    }
    for (int shard = 0; shard < ShardMap.SHARD_COUNT; shard++) {
      own(shard, "core-" + shard % coreCount);
    }
    for (int index = 0; index < doorCount; index++) {
      doors.put("door-" + index, new Door("door-" + index));
    }
    schedule(0, this::connect);
  }

  Core core(int index) {
    return cores.get("core-" + index);
  }

  Door door(int index) {
    return doors.get("door-" + index);
  }

  int doorCount() {
    return doors.size();
  }

  /** Adds a door that starts now. */
  Door addDoor(int index) {
    Door door = new Door("door-" + index);
    doors.put(door.name, door);
    return door;
  }

  /** Makes a core process the owner of a shard, under a new fencing token. */
  void own(int shard, String address) {
    owners.put(shard, address);
    ownerTerms.merge(shard, 1L, Long::sum);
  }

  /** All core processes learn of a committed configuration. */
  void commit(long configuration, Map<String, QuotaLimit> limits) {
    for (Core core : cores.values()) {
      core.configurationSequence = configuration;
      core.confirming = true;
      perform(
          core,
          core.registry.configuration(
              configuration, configuration, ByteBuffer.wrap(new byte[] {1}), limits, now));
    }
    currentLimits = limits;
    for (Door door : doors.values()) {
      door.control.grants().limits(limits);
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
    Core target = core(core);
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
      for (Door door : doors.values()) {
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
    Core target = cores.get(core);
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

  private void perform(Core core, List<RegistryAction> actions) {
    for (RegistryAction action : actions) {
      if (action instanceof RegistryAction.SendToCore send) {
        send(core.address, send.address(), send.message());
      } else if (action instanceof RegistryAction.SendToDoor send) {
        send(core.address, send.door(), send.message());
      } else if (action instanceof RegistryAction.AnswerBackend answer) {
        answers.put(answer.call(), answer.status());
      }
    }
  }

  private void perform(Door door, List<DoorAction> actions) {
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

  private final ArrivalOrder arrivals = new ArrivalOrder();

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
