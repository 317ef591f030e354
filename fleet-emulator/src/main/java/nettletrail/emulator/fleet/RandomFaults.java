package nettletrail.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.actors.OrderDocument;
import nettletrail.emulator.simulation.Machine;
import nettletrail.emulator.simulation.SimulatedDisk;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * Draws troubles from a seed, half of those of core machines at the owner of the configuration.
 * Kills, losses of power, freezes and cuts come in any number at a time; a disk is lost only while
 * the others have been well for some time, as many at once as the fleet is to withstand.
 */
final class RandomFaults {
  private static final long SHORTEST_PAUSE = 100 * VirtualTime.MILLISECOND;
  private static final long LONGEST_PAUSE = 2_500 * VirtualTime.MILLISECOND;
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

  private final Fleet fleet;
  private final FaultInjector faults;
  private final SplittableRandom random;
  private final List<Runnable> kinds;
  private boolean stopped;

  RandomFaults(Fleet fleet, SplittableRandom random) {
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
            this::cutOneWay,
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
            faults::exchangeSeeds,
            this::changeBackends,
            this::changeBackends,
            this::changeLoad);
  }

  void begin() {
    fleet
        .time()
        .after(
            SHORTEST_PAUSE + random.nextLong(LONGEST_PAUSE),
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
    CoreNode owner = fleet.configurationOwner();
    List<CoreNode> followers = new ArrayList<>(fleet.cores());
    followers.remove(owner);
    if (owner == null || followers.size() < 2) {
      return;
    }
    CoreNode cut = followers.get(random.nextInt(followers.size()));
    followers.remove(cut);
    faults.cut(List.of(owner.machine()), List.of(cut.machine()));
    for (CoreNode follower : followers) {
      fleet
          .time()
          .after(
              random.nextLong(LONGEST_LEASE),
              () -> faults.restart(follower, random.nextLong(QUICK_RESTART)));
    }
    healLater();
  }

  private void terminateCore() {
    CoreNode core = anyCore();
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

  private void powerOff(CoreNode core, long longest) {
    faults.losePower(core.machine());
    later(longest, () -> faults.start(core));
  }

  private void killAllCores() {
    for (CoreNode core : List.copyOf(fleet.cores())) {
      later(KILL_SPREAD, () -> faults.restart(core, random.nextLong(LONGEST_RESTART)));
    }
  }

  private void powerOffAllCores() {
    for (CoreNode core : List.copyOf(fleet.cores())) {
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
    CoreNode core = anyCore();
    faults.slowDisk(core, 1 + random.nextLong(LARGEST_DISK_LATENCY));
    later(LONGEST_FAULT, () -> faults.slowDisk(core, SimulatedDisk.USUAL_LATENCY));
  }

  private void fillDisk() {
    CoreNode core = anyCore();
    faults.fillDisk(core, random.nextInt(MAX_FREE_BYTES));
    later(LONGEST_FAULT, () -> faults.freeDisk(core));
  }

  private void loseDisk() {
    CoreNode core = anyCore();
    if (fleet.mayLoseDisk(core)) {
      faults.wipe(core);
      later(LONGEST_RESTART, () -> faults.start(core));
    }
  }

  private void replaceCore() {
    CoreNode core = anyCore();
    if (fleet.mayLoseDisk(core)) {
      faults.replace(core);
    }
  }

  private void loseDiskWhileOthersLosePower() {
    CoreNode lost = anyCore();
    if (!fleet.mayLoseDisk(lost)) {
      return;
    }
    faults.wipe(lost);
    for (CoreNode core : fleet.cores()) {
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

  private void cutOneWay() {
    Machine from = anyMachine();
    Machine to = anyMachine();
    if (from != to) {
      faults.cutOneWay(from, to);
      healLater();
    }
  }

  private void healLater() {
    later(LONGEST_FAULT, faults::healCuts);
  }

  private void slowLinks() {
    Machine machine = anyMachine();
    faults.slowLinks(machine, random.nextLong(LARGEST_LINK_DELAY));
    later(LONGEST_FAULT, () -> faults.slowLinks(machine, 0));
  }

  // Doors, clocks, backends

  private void killDoor() {
    DoorNode door = anyDoor();
    faults.kill(door.machine());
    later(LONGEST_RESTART, () -> faults.start(door));
  }

  private void freezeDoor() {
    freeze(anyDoor().machine());
  }

  private void cutDoorOff() {
    Machine door = anyDoor().machine();
    faults.cut(List.of(door), fleet.cores().stream().map(CoreNode::machine).toList());
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
    double share = OrderDocument.RATE_PER_SECOND / (double) fleet.doors().size();
    for (DoorNode door : fleet.doors()) {
      if (door.traffic() != null) {
        door.traffic().setLoad(share * LOADS[random.nextInt(LOADS.length)]);
      }
    }
  }

  // Choices

  private CoreNode anyCore() {
    CoreNode owner = fleet.configurationOwner();
    if (owner != null && random.nextBoolean()) {
      return owner;
    }
    return fleet.cores().get(random.nextInt(fleet.cores().size()));
  }

  private DoorNode anyDoor() {
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
