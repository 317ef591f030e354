package nettletrail.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettletrail.control.ShardMap;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.actors.ChangeRequests;
import nettletrail.emulator.actors.OperatorActor;
import nettletrail.emulator.host.EmulatedCoreProcess;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * An emulated fleet with its operators and backends. The same seed and the same calls give the same
 * run. One thread.
 */
public final class EmulatedFleet {
  private static final int MAX_SEEDS = 3;
  private static final String BACKEND_PORT = ":8080";
  private static final long MAX_START_DELAY = 300 * VirtualTime.MILLISECOND;

  private final Simulation simulation;
  private final FleetOptions options;
  private final SplittableRandom random;
  private final ChangeRequests changes = new ChangeRequests();
  private final List<CoreMachine> cores = new ArrayList<>();
  private final List<DoorMachine> doors = new ArrayList<>();
  private final List<OperatorActor> operators = new ArrayList<>();
  private final List<BackendActor> backends = new ArrayList<>();
  private final MachineAllocator machines;
  private final StabilityTracker stability;
  private final FleetChecker checker;
  private final OwnershipObserver ownership;
  private final FaultInjector faults;
  private final NetworkFaults networkFaults;
  private final DiskFaults diskFaults;

  /** A fleet whose machines have not started. */
  public EmulatedFleet(long seed, FleetOptions options) {
    this.simulation = new Simulation(seed, options.network(), options.maxDriftPpm());
    this.options = options;
    this.random = simulation.newRandom();
    this.machines = new MachineAllocator(simulation);
    this.stability =
        new StabilityTracker(
            simulation.time(),
            simulation.network(),
            options.checkedLimits().stablePeriodNanos(),
            () -> cores.stream().map(CoreMachine::machine).toList());
    this.checker = new FleetChecker(simulation, options.checkedLimits(), changes);
    this.ownership = new OwnershipObserver(simulation.time(), this::processes, checker::report);
    this.faults = new FaultInjector(simulation, this, stability);
    this.networkFaults = new NetworkFaults(simulation, this, stability);
    this.diskFaults = new DiskFaults(simulation, stability);
    for (int index = 0; index < options.cores(); index++) {
      addCore();
    }
    List<String> seeds = seedsForNewMachine();
    cores.forEach(core -> core.setSeeds(seeds));
    for (int index = 0; index < options.doors(); index++) {
      addDoor(seeds);
    }
  }

  /** Starts all machines within a short time, for the first time. */
  public void startAll() {
    for (CoreMachine core : cores) {
      startSoon(core.machine(), () -> core.start(true));
    }
    for (DoorMachine door : doors) {
      startSoon(door.machine(), door::start);
    }
  }

  /** The start is recorded as a fault: a new machine counts as lost until it has caught up. */
  private void startSoon(SimulatedMachine machine, Runnable start) {
    simulation
        .time()
        .after(
            random.nextLong(MAX_START_DELAY),
            () -> {
              stability.recordFault(machine);
              start.run();
            });
  }

  /** Virtual time, network, run log and randomness. */
  public Simulation simulation() {
    return simulation;
  }

  /** The scheduler. */
  public VirtualTime time() {
    return simulation.time();
  }

  /** The checkers of the guarantees. */
  public FleetChecker checker() {
    return checker;
  }

  /** Injects faults of processes and machines. */
  public FaultInjector faults() {
    return faults;
  }

  /** Injects faults of the network. */
  public NetworkFaults networkFaults() {
    return networkFaults;
  }

  /** Injects faults of the core's disks. */
  public DiskFaults diskFaults() {
    return diskFaults;
  }

  /** The core machines, except those that were removed for good. */
  public List<CoreMachine> cores() {
    return cores;
  }

  /** The doors. */
  public List<DoorMachine> doors() {
    return doors;
  }

  /** All operators. */
  public List<OperatorActor> operators() {
    return operators;
  }

  /** All backends, ended ones included. */
  public List<BackendActor> backends() {
    return backends;
  }

  /** All changes that operators have made. */
  public ChangeRequests changes() {
    return changes;
  }

  /**
   * True if the fleet has to tolerate the loss of this disk: fewer core machines than it tolerates
   * count as lost. Three core machines tolerate one loss, five two.
   */
  public boolean mayLoseDisk(CoreMachine core) {
    int tolerated = (options.cores() - 1) / 2;
    int lost = stability.lostCores(options.checkedLimits().catchUpNanos());
    return core.machine().isRunning() && lost < tolerated;
  }

  /** Adds an operator, which is idle until it is called. */
  public OperatorActor addOperator() {
    SimulatedMachine machine = newMachine("operator-" + (operators.size() + 1), false);
    OperatorActor operator =
        new OperatorActor(simulation, machine, this::controlAddresses, changes, checker);
    operators.add(operator);
    return operator;
  }

  /** Adds a backend at a new address. */
  public BackendActor addBackend() {
    SimulatedMachine machine = newMachine("backend-" + (backends.size() + 1), false);
    return addBackend(machine, ChangeDocument.SERVICE);
  }

  /** Adds a backend of a service at a machine, whose address another backend may have had. */
  public BackendActor addBackend(SimulatedMachine machine, String service) {
    long drain = options.checkedLimits().drainNanos();
    String id = "i-" + (backends.size() + 1);
    BackendActor backend =
        new BackendActor(
            simulation,
            machine,
            new BackendActor.Identity(id, service, machine.host() + BACKEND_PORT),
            new BackendActor.Schedule(
                options.checkedLimits().heartbeatNanos(), drain + random.nextLong(drain)),
            this::controlAddresses,
            this::isCoreStableAt,
            checker);
    backends.add(backend);
    return backend;
  }

  /** Adds a machine without a process. */
  public SimulatedMachine newMachine(String name, boolean withDisk) {
    return machines.allocate(name, withDisk);
  }

  /** The core machine that owns a shard now; null if there is none. */
  public CoreMachine owner(int shard) {
    return cores.stream()
        .filter(core -> core.process() != null && core.process().ownsNow(shard))
        .findFirst()
        .orElse(null);
  }

  /** The owner of the configuration shard; null if there is none. */
  public CoreMachine configurationOwner() {
    return owner(ShardMap.CONFIGURATION_SHARD);
  }

  /** The addresses of core processes for calls of operators and backends. */
  public List<String> controlAddresses() {
    return cores.stream().map(CoreMachine::controlAddress).toList();
  }

  CoreMachine addCore() {
    SimulatedMachine machine = newMachine("core-" + (machines.count() + 1), true);
    CoreMachine core =
        new CoreMachine(
            simulation, machine, options.configuredLimits(), ownership, seedsForNewMachine());
    cores.add(core);
    return core;
  }

  void removeCore(CoreMachine core) {
    cores.remove(core);
  }

  /** The link addresses of at most three of the present core machines. */
  List<String> seedsForNewMachine() {
    return cores.stream().map(CoreMachine::linkAddress).limit(MAX_SEEDS).toList();
  }

  private void addDoor(List<String> seeds) {
    SimulatedMachine machine = newMachine("door-" + (doors.size() + 1), false);
    doors.add(
        new DoorMachine(
            simulation,
            machine,
            options.configuredLimits(),
            stability,
            checker,
            options.tokensPerSecond() / options.doors(),
            seeds));
  }

  private boolean isCoreStableAt(String controlAddress) {
    return cores.stream()
        .filter(core -> core.controlAddress().equals(controlAddress))
        .anyMatch(core -> stability.isStable(core.machine()));
  }

  private List<EmulatedCoreProcess> processes() {
    return cores.stream()
        .map(CoreMachine::process)
        .filter(process -> process != null && process.incarnation().isAlive())
        .toList();
  }
}
