package nettletrail.emulator.capacity;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import nettletrail.control.ShardMap;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Backend;

/**
 * Three core processes, doors and backends of a plan in virtual time, with what each of them uses
 * counted.
 */
final class MeasuredFleet {
  /** Time in which all shards get an owner. */
  private static final long ELECTIONS = 3 * VirtualTime.SECOND;

  private static final long CONNECT_EVERY = 100 * VirtualTime.MILLISECOND;
  private static final int LONGEST_SETTLING_SECONDS = 60;
  private static final long LITTLE_QUEUED = 1_000_000;

  /** After so long a process is expected to be known everywhere. */
  private static final long SETTLED = 3 * VirtualTime.SECOND;

  private static final int MAX_AGED_DOORS = 6;
  private static final int ZONES_PER_REGION = FleetPlan.ZONES / 2;

  private final FleetPlan plan;
  private final VirtualTime time = new VirtualTime();
  private final MeasuredNetwork network = new MeasuredNetwork(time);
  private final List<MeasuredCore> cores = new ArrayList<>();
  private final List<MeasuredDoor> doors = new ArrayList<>();
  private final List<SimulatedBackend> backends = new ArrayList<>();
  private final RequestCounts counts = new RequestCounts();
  private final CompiledConfigurations configurations = new CompiledConfigurations();
  private final CapacityOperator operator;

  MeasuredFleet(FleetPlan plan, long seed) {
    this.plan = plan;
    SplittableRandom random = new SplittableRandom(seed);
    ControlDemand demand = new ControlDemand(plan.tenants(), plan.requestsPerSecond());
    List<String> seeds =
        IntStream.range(0, FleetPlan.CORE_PROCESSES).mapToObj(FleetNames::coreAddress).toList();
    FleetParts parts = new FleetParts(time, network, configurations, demand, counts, seeds);
    operator = new CapacityOperator(parts, cores, plan.tenants());
    for (int i = 0; i < FleetPlan.CORE_PROCESSES; i++) {
      int region = i < FleetPlan.CORE_PROCESSES - 1 ? 0 : 1;
      MeasuredProcess process = new MeasuredProcess(time, FleetNames.core(i), region);
      cores.add(
          new MeasuredCore(time, network, process, seeds.get(i), seeds, operator::acknowledged));
    }
    double doorRate = plan.requestsPerSecond() / plan.doors();
    for (int i = 0; i < plan.doors(); i++) {
      MeasuredProcess process =
          new MeasuredProcess(time, FleetNames.door(i), regionOfZone(zone(i)));
      doors.add(new MeasuredDoor(parts, process, i, doorRate, random.split()));
    }
    for (int i = 0; i < plan.backends(); i++) {
      backends.add(new SimulatedBackend(time, cores, i, random.split()));
    }
  }

  static int zone(int number) {
    return number % FleetPlan.ZONES;
  }

  static int regionOfZone(int zone) {
    return zone < ZONES_PER_REGION ? 0 : 1;
  }

  FleetPlan plan() {
    return plan;
  }

  VirtualTime time() {
    return time;
  }

  MeasuredNetwork network() {
    return network;
  }

  List<MeasuredCore> cores() {
    return cores;
  }

  List<MeasuredDoor> doors() {
    return doors;
  }

  List<SimulatedBackend> backends() {
    return backends;
  }

  RequestCounts counts() {
    return counts;
  }

  CompiledConfigurations configurations() {
    return configurations;
  }

  CapacityOperator operator() {
    return operator;
  }

  /** Starts everything and lets the first configuration come into force. */
  void start() {
    cores.forEach(MeasuredCore::start);
    doors.forEach(MeasuredDoor::start);
    backends.forEach(SimulatedBackend::start);
    connect();
    time.runFor(ELECTIONS);
    operator.sendFirst();
    runUntilSettled();
  }

  /**
   * Runs until all doors use the newest configuration and hardly anything waits for a link, a
   * minute at most; seconds that it took.
   */
  int runUntilSettled() {
    for (int second = 1; second <= LONGEST_SETTLING_SECONDS; second++) {
      time.runFor(VirtualTime.SECOND);
      if (everywhereInForce(operator.edition()) && queuedBytes() < LITTLE_QUEUED) {
        return second;
      }
    }
    return LONGEST_SETTLING_SECONDS;
  }

  private long queuedBytes() {
    return cores.stream().mapToLong(core -> core.process().queuedBytes()).sum();
  }

  private boolean everywhereInForce(long edition) {
    return configurations.secondsUntilInForce(edition, edition).size() == doors.size();
  }

  /**
   * Lets some doors have served all tenants; returns their numbers. The others, which are young,
   * only make up the load.
   */
  List<Integer> ageSomeDoors() {
    List<Integer> aged = new ArrayList<>();
    int count = Math.min(MAX_AGED_DOORS, doors.size());
    for (int i = 0; i < count; i++) {
      int door = i * doors.size() / count;
      doors.get(door).age(plan.tenants());
      aged.add(door);
    }
    return aged;
  }

  private void connect() {
    network.connect();
    time.after(CONNECT_EVERY, this::connect);
  }

  /** The core process that owns a shard now, or null. */
  MeasuredCore owner(int shard) {
    for (MeasuredCore core : cores) {
      if (core.process().running() && core.owns(shard)) {
        return core;
      }
    }
    return null;
  }

  /** Who owns each shard now, by address; empty where nobody does. */
  List<String> owners() {
    List<String> owners = new ArrayList<>();
    for (int shard = 0; shard < ShardMap.SHARD_COUNT; shard++) {
      MeasuredCore owner = owner(shard);
      owners.add(owner == null ? "" : owner.address());
    }
    return owners;
  }

  /**
   * Backends that call and that a core process doesn't list, summed over the core processes that
   * can hear of them.
   */
  int unlistedBackends() {
    int unlisted = 0;
    for (MeasuredCore core : cores) {
      if (core.process().runningFor(SETTLED)) {
        unlisted += unlistedAt(core);
      }
    }
    return unlisted;
  }

  private int unlistedAt(MeasuredCore core) {
    Set<String> listed = new HashSet<>();
    for (Backend backend : core.registry().backends()) {
      listed.add(backend.getId());
    }
    int unlisted = 0;
    for (SimulatedBackend backend : backends) {
      boolean heard = backend.runningFor(SETTLED) && !network.regionsCutWithin(SETTLED);
      unlisted += heard && !listed.contains(backend.id()) ? 1 : 0;
    }
    return unlisted;
  }

  /**
   * Doors that run and whose lease has run out, summed over the core processes that they can reach.
   */
  int expiredDoors() {
    int expired = 0;
    for (MeasuredCore core : cores) {
      if (core.process().runningFor(SETTLED)) {
        expired += Math.max(0, reachingDoors(core) - core.registry().liveDoors(time.now()));
      }
    }
    return expired;
  }

  private int reachingDoors(MeasuredCore core) {
    int reaching = 0;
    for (MeasuredDoor door : doors) {
      MeasuredProcess process = door.process();
      boolean reaches =
          !network.regionsCutWithin(SETTLED) || process.region() == core.process().region();
      reaching += reaches && process.runningFor(SETTLED) ? 1 : 0;
    }
    return reaching;
  }

  /** Lets go of the doors' control planes, for measuring what they keep. */
  void releaseDoors() {
    doors.forEach(MeasuredDoor::release);
  }

  /** Lets go of the core processes' deciders, for measuring what they keep. */
  void releaseCores() {
    cores.forEach(MeasuredCore::release);
  }
}
