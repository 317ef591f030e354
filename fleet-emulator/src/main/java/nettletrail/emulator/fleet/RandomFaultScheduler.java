package nettletrail.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.simulation.Machine;
import nettletrail.emulator.simulation.SimulatedDisk;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * Draws troubles from a seed, half of those of core machines at the owner of the configuration.
 * Kills, losses of power, freezes and cuts come in any number at a time; a disk is lost only while
 * the others have been well for some time, as many at once as the fleet is to withstand.
 */
final class RandomFaultScheduler {
  private static final long SHORTEST_PAUSE = 100 * VirtualTime.MILLISECOND;
  private static final long MAX_BACKOFF = 2_500 * VirtualTime.MILLISECOND;
  private static final long LONGEST_FAULT = 4 * VirtualTime.SECOND;
  private static final long LONGEST_RESTART = VirtualTime.SECOND;
  private static final long QUICK_RESTART = 200 * VirtualTime.MILLISECOND;
  private static final long LONGEST_LEASE = 2 * VirtualTime.SECOND;
  private static final long KILL_SPREAD = 400 * VirtualTime.MILLISECOND;
  private static final long LARGEST_CLOCK_STEP = 5 * VirtualTime.SECOND;
  private static final long LARGEST_LINK_DELAY = 800 * VirtualTime.MILLISECOND;
  private static final long LARGEST_DISK_LATENCY = 200 * VirtualTime.MILLISECOND;
  private static final int MAX_FREE_BYTES = 3_000;
  private static final int CLOSES_PER_CRASH = 2;

  /** Loads at one door, as multiples of its share of the limit. */
  private static final double[] LOADS = {0, 0.5, 2, 4};

  private final EmulatedFleet fleet;
  private final FaultInjector faults;
  private final SplittableRandom random;
  private final List<Runnable> kinds;
  private boolean stopped;

  RandomFaultScheduler(EmulatedFleet fleet, SplittableRandom random) {
    this.fleet = fleet;
    this.faults = fleet.faults();
    this.random = random;
    this.kinds =
        List.of(
            this::killCore,
            this::restartBesideACut,
            this::terminateCore,
            this::powerOffCore,
            this::killAllCores,
            this::powerOffAllCores,
            this::freezeCore,
            this::freezeCore,
            this::cutGroups,
            this::cutGroups,
            this::partitionOneWay,
            () -> faults.resetConnections(anyMachine()),
            this::slowLinks,
            this::slowDisk,
            () -> faults.hangDisk(anyCore(), random.nextLong(LONGEST_FAULT)),
            this::fillDisk,
            this::loseDisk,
            this::loseDisk,
            this::replaceCore,
            this::loseDiskWhileOthersLosePower,
            this::killDoor,
            this::freezeDoor,
            this::cutDoorOff,
            this::stepClock,
            faults::updateSeeds,
            this::changeBackends,
            this::changeBackends,
            this::changeLoad);
  }

  void begin() {
    fleet
        .time()
        .after(
            SHORTEST_PAUSE + random.nextLong(MAX_BACKOFF),
            () -> {
              if (!stopped) {
                kinds.get(random.nextInt(kinds.size())).run();
                begin();
              }
            });
  }

  void stop() {
    stopped = true;
  }

  boolean isStopped() {
    return stopped;
  }

  // Core processes

  private void killCore() {
    boolean quick = random.nextBoolean();
    faults.restart(anyCore(), random.nextLong(quick ? QUICK_RESTART : LONGEST_FAULT));
  }

  /**
   * A follower that doesn't hear the owner needs the other one's promise, which has just started
   * anew.
   */
  private void restartBesideACut() {
    CoreMachine owner = fleet.configurationOwner();
    List<CoreMachine> followers = new ArrayList<>(fleet.cores());
    followers.remove(owner);
    if (owner == null || followers.size() < 2) {
      return;
    }
    CoreMachine cut = followers.get(random.nextInt(followers.size()));
    followers.remove(cut);
    faults.cut(List.of(owner.machine()), List.of(cut.machine()));
    for (CoreMachine follower : followers) {
      fleet
          .time()
          .after(
              random.nextLong(LONGEST_LEASE),
              () -> faults.restart(follower, random.nextLong(QUICK_RESTART)));
    }
    healLater();
  }

  private void terminateCore() {
    CoreMachine core = anyCore();
    faults.terminate(core);
    fleet
        .time()
        .after(
            LONGEST_RESTART,
            () -> {
              if (!stopped) {
                faults.start(core);
              }
            });
  }

  private void powerOffCore() {
    powerOff(anyCore(), LONGEST_FAULT);
  }

  private void powerOff(CoreMachine core, long longest) {
    faults.losePower(core.machine());
    later(longest, () -> faults.start(core));
  }

  private void killAllCores() {
    for (CoreMachine core : List.copyOf(fleet.cores())) {
      later(KILL_SPREAD, () -> faults.restart(core, random.nextLong(LONGEST_RESTART)));
    }
  }

  private void powerOffAllCores() {
    for (CoreMachine core : List.copyOf(fleet.cores())) {
      powerOff(core, LONGEST_RESTART);
    }
  }

  private void freezeCore() {
    freeze(anyCore().machine());
  }

  private void freeze(Machine machine) {
    faults.freeze(machine);
    later(LONGEST_FAULT, () -> faults.thaw(machine));
  }

  // Disks and machines

  private void slowDisk() {
    CoreMachine core = anyCore();
    faults.slowDisk(core, 1 + random.nextLong(LARGEST_DISK_LATENCY));
    later(LONGEST_FAULT, () -> faults.slowDisk(core, SimulatedDisk.DEFAULT_LATENCY));
  }

  private void fillDisk() {
    CoreMachine core = anyCore();
    faults.fillDisk(core, random.nextInt(MAX_FREE_BYTES));
    later(LONGEST_FAULT, () -> faults.freeDisk(core));
  }

  private void loseDisk() {
    CoreMachine core = anyCore();
    if (fleet.mayLoseDisk(core)) {
      faults.wipe(core);
      later(LONGEST_RESTART, () -> faults.start(core));
    }
  }

  private void replaceCore() {
    CoreMachine core = anyCore();
    if (fleet.mayLoseDisk(core)) {
      faults.replace(core);
    }
  }

  private void loseDiskWhileOthersLosePower() {
    CoreMachine lost = anyCore();
    if (!fleet.mayLoseDisk(lost)) {
      return;
    }
    faults.wipe(lost);
    for (CoreMachine core : fleet.cores()) {
      if (core != lost) {
        powerOff(core, LONGEST_RESTART);
      }
    }
    later(LONGEST_RESTART, () -> faults.start(lost));
  }

  // Network

  private void cutGroups() {
    List<Machine> group = new ArrayList<>();
    List<Machine> others = new ArrayList<>();
    for (Machine machine : coreAndDoors()) {
      (random.nextBoolean() ? group : others).add(machine);
    }
    faults.cut(group, others);
    healLater();
  }

  private void partitionOneWay() {
    Machine from = anyMachine();
    Machine to = anyMachine();
    if (from != to) {
      faults.partitionOneWay(from, to);
      healLater();
    }
  }

  private void healLater() {
    later(LONGEST_FAULT, faults::healPartitions);
  }

  private void slowLinks() {
    Machine machine = anyMachine();
    faults.slowLinks(machine, random.nextLong(LARGEST_LINK_DELAY));
    later(LONGEST_FAULT, () -> faults.slowLinks(machine, 0));
  }

  // Doors, clocks, backends

  private void killDoor() {
    DoorMachine door = anyDoor();
    faults.kill(door.machine());
    later(LONGEST_RESTART, () -> faults.start(door));
  }

  private void freezeDoor() {
    freeze(anyDoor().machine());
  }

  private void cutDoorOff() {
    Machine door = anyDoor().machine();
    faults.cut(List.of(door), fleet.cores().stream().map(CoreMachine::machine).toList());
    healLater();
  }

  private void stepClock() {
    faults.stepClock(anyMachine(), random.nextLong(-LARGEST_CLOCK_STEP, LARGEST_CLOCK_STEP));
  }

  private void changeBackends() {
    List<BackendActor> serving =
        fleet.backends().stream()
            .filter(backend -> backend.stage() == BackendActor.Stage.SERVING)
            .toList();
    if (serving.size() < 2) {
      fleet.addBackend();
      return;
    }
    BackendActor backend = serving.get(random.nextInt(serving.size()));
    if (random.nextInt(CLOSES_PER_CRASH + 1) == 0) {
      backend.crash();
    } else {
      backend.close();
    }
  }

  private void changeLoad() {
    double share = ChangeDocument.RATE_PER_SECOND / (double) fleet.doors().size();
    for (DoorMachine door : fleet.doors()) {
      if (door.traffic() != null) {
        door.traffic().setLoad(share * LOADS[random.nextInt(LOADS.length)]);
      }
    }
  }

  // Choices

  private CoreMachine anyCore() {
    CoreMachine owner = fleet.configurationOwner();
    if (owner != null && random.nextBoolean()) {
      return owner;
    }
    return fleet.cores().get(random.nextInt(fleet.cores().size()));
  }

  private DoorMachine anyDoor() {
    return fleet.doors().get(random.nextInt(fleet.doors().size()));
  }

  private Machine anyMachine() {
    return random.nextBoolean() ? anyCore().machine() : anyDoor().machine();
  }

  private List<Machine> coreAndDoors() {
    List<Machine> machines = new ArrayList<>();
    fleet.cores().forEach(core -> machines.add(core.machine()));
    fleet.doors().forEach(door -> machines.add(door.machine()));
    return machines;
  }

  private void later(long longest, Runnable action) {
    fleet
        .time()
        .after(
            random.nextLong(longest),
            () -> {
              if (!stopped) {
                action.run();
              }
            });
  }
}
