package nettletrail.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettletrail.control.ShardMap;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.actors.ChangeRequests;
import nettletrail.emulator.actors.OperatorActor;
import nettletrail.emulator.host.CoreProcess;
import nettletrail.emulator.simulation.Machine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * An emulated fleet with its operators and backends. Everything follows from the seed and the calls
 * made here.
 */
public final class EmulatedFleet {
  private static final int FOUNDERS = 3;
  private static final int HOSTS_PER_NETWORK = 250;
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
  private final StabilityTracker contact;
  private final FleetChecker checker;
  private final FaultInjector faults;
  private int machines;

  /** A fleet whose machines have no power yet. */
  public EmulatedFleet(long seed, FleetOptions options) {
    this.simulation = new Simulation(seed, options.network(), options.maxDriftPpm());
    this.options = options;
    this.random = simulation.newRandom();
    this.contact =
        new StabilityTracker(
            simulation.time(),
            simulation.network(),
            options.checkedLimits().contact(),
            () -> cores.stream().map(CoreMachine::machine).toList());
    this.checker =
        new FleetChecker(simulation, options.checkedLimits(), changes, () -> processes());
    this.faults = new FaultInjector(simulation, this, contact);
    for (int index = 0; index < options.cores(); index++) {
      addCore();
    }
    List<String> founders = founders();
    cores.forEach(core -> core.setSeeds(founders));
    for (int index = 0; index < options.doors(); index++) {
      addDoor(founders);
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

  /** A machine that has just started is new: it counts as lost and is not in touch for a while. */
  private void startSoon(Machine machine, Runnable start) {
    simulation
        .time()
        .after(
            random.nextLong(MAX_START_DELAY),
            () -> {
              contact.fault(machine);
              start.run();
            });
  }

  /** Virtual time, network and randomness. */
  public Simulation simulation() {
    return simulation;
  }

  /** The scheduler. */
  public VirtualTime time() {
    return simulation.time();
  }

  /** What was promised, and what was seen. */
  public FleetChecker checker() {
    return checker;
  }

  /** What can befall the fleet. */
  public FaultInjector faults() {
    return faults;
  }

  /** Core machines, except those that were removed for good. */
  public List<CoreMachine> cores() {
    return cores;
  }

  /** Doors. */
  public List<DoorMachine> doors() {
    return doors;
  }

  /** Operators. */
  public List<OperatorActor> operators() {
    return operators;
  }

  /** Backends of all lives, ended ones included. */
  public List<BackendActor> backends() {
    return backends;
  }

  /** All orders that were ever made. */
  public ChangeRequests changes() {
    return changes;
  }

  /** True if bounds on time hold for a machine now. */
  public boolean isStable(Machine machine) {
    return contact.isStable(machine);
  }

  /**
   * True if the fleet has to withstand the loss of one more disk: fewer machines than it withstands
   * count as lost. Three core machines withstand one loss, five two.
   */
  public boolean mayLoseDisk(CoreMachine core) {
    int withstood = (options.cores() - 1) / 2;
    int lost = contact.unavailableCores(options.checkedLimits().catchUp());
    return core.machine().isRunning() && lost < withstood;
  }

  /** Adds an operator, who does nothing by himself. */
  public OperatorActor addOperator() {
    Machine machine = newMachine("operator-" + (operators.size() + 1), false);
    OperatorActor operator =
        new OperatorActor(simulation, machine, this::controlAddresses, changes, checker);
    operators.add(operator);
    return operator;
  }

  /** Adds a backend at an address of its own. */
  public BackendActor addBackend() {
    Machine machine = newMachine("backend-" + (backends.size() + 1), false);
    return addBackend(machine, ChangeDocument.SERVICE);
  }

  /** Adds a backend of a service at the address of a machine, where another may have been. */
  public BackendActor addBackend(Machine machine, String service) {
    long drain = options.checkedLimits().drain();
    String id = "i-" + (backends.size() + 1);
    BackendActor backend =
        new BackendActor(
            simulation,
            machine,
            new BackendActor.Identity(id, service, machine.host() + BACKEND_PORT),
            new BackendActor.Schedule(
                options.checkedLimits().heartbeat(), drain + random.nextLong(drain)),
            this::controlAddresses,
            this::isCoreStableAt,
            checker);
    backends.add(backend);
    return backend;
  }

  /** Adds a machine without a process. */
  public Machine newMachine(String name, boolean withDisk) {
    machines++;
    int network = machines / HOSTS_PER_NETWORK;
    int host = 1 + machines % HOSTS_PER_NETWORK;
    return simulation.addMachine(name, "10.0." + network + "." + host, withDisk);
  }

  /** The process that owns a shard now; null if there is none. */
  public CoreMachine owner(int shard) {
    return cores.stream()
        .filter(core -> core.process() != null && core.process().ownsNow(shard))
        .findFirst()
        .orElse(null);
  }

  /** The owner of the configuration; null if there is none. */
  public CoreMachine configurationOwner() {
    return owner(ShardMap.CONFIGURATION_SHARD);
  }

  /** The addresses at which core processes take calls. */
  public List<String> controlAddresses() {
    return cores.stream().map(CoreMachine::controlAddress).toList();
  }

  CoreMachine addCore() {
    Machine machine = newMachine("core-" + (machines + 1), true);
    CoreMachine core =
        new CoreMachine(
            simulation, machine, options.configuredLimits(), checker, seedsForNewMachine());
    cores.add(core);
    return core;
  }

  void removeCore(CoreMachine core) {
    cores.remove(core);
  }

  /** Three core machines as they are now, or fewer. */
  List<String> seedsForNewMachine() {
    return cores.stream().map(CoreMachine::linkAddress).limit(FOUNDERS).toList();
  }

  private List<String> founders() {
    return seedsForNewMachine();
  }

  private void addDoor(List<String> seeds) {
    Machine machine = newMachine("door-" + (doors.size() + 1), false);
    doors.add(
        new DoorMachine(
            simulation,
            machine,
            options.configuredLimits(),
            contact,
            checker,
            options.tokensPerSecond() / options.doors(),
            seeds));
  }

  private boolean isCoreStableAt(String controlAddress) {
    return cores.stream()
        .filter(core -> core.controlAddress().equals(controlAddress))
        .anyMatch(core -> contact.isStable(core.machine()));
  }

  private List<CoreProcess> processes() {
    return cores.stream()
        .map(CoreMachine::process)
        .filter(process -> process != null && process.incarnation().isAlive())
        .toList();
  }
}
