package nettletrail.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.VirtualTime;

/** Random partitions, connection resets and link latency. */
final class RandomNetworkFaults {
  private static final long MAX_LEASE = 2 * VirtualTime.SECOND;
  private static final long MAX_LINK_DELAY = 800 * VirtualTime.MILLISECOND;

  private final RandomFaultContext context;
  private final EmulatedFleet fleet;
  private final NetworkFaults network;
  private final SplittableRandom random;

  RandomNetworkFaults(RandomFaultContext context) {
    this.context = context;
    this.fleet = context.fleet();
    this.network = fleet.networkFaults();
    this.random = context.random();
  }

  void partitionGroups() {
    List<SimulatedMachine> group = new ArrayList<>();
    List<SimulatedMachine> others = new ArrayList<>();
    for (SimulatedMachine machine : context.coreAndDoors()) {
      (random.nextBoolean() ? group : others).add(machine);
    }
    network.partition(group, others);
    healLater();
  }

  void partitionOneWay() {
    SimulatedMachine from = context.anyMachine();
    SimulatedMachine to = context.anyMachine();
    if (from != to) {
      network.partitionOneWay(from, to);
      healLater();
    }
  }

  void partitionDoor() {
    SimulatedMachine door = context.anyDoor().machine();
    network.partition(List.of(door), fleet.cores().stream().map(CoreMachine::machine).toList());
    healLater();
  }

  /**
   * Partitions one follower from the owner and restarts the other followers within the lease, so
   * that the partitioned one can be elected only by a replica that has just restarted.
   */
  void restartDuringPartition() {
    CoreMachine owner = fleet.configurationOwner();
    List<CoreMachine> followers = new ArrayList<>(fleet.cores());
    followers.remove(owner);
    if (owner == null || followers.size() < 2) {
      return;
    }
    CoreMachine partitioned = followers.get(random.nextInt(followers.size()));
    followers.remove(partitioned);
    network.partition(List.of(owner.machine()), List.of(partitioned.machine()));
    for (CoreMachine follower : followers) {
      restartWithinLease(follower);
    }
    healLater();
  }

  private void restartWithinLease(CoreMachine follower) {
    fleet
        .time()
        .after(
            random.nextLong(MAX_LEASE),
            () ->
                fleet
                    .faults()
                    .restart(
                        follower, random.nextLong(RandomProcessFaults.MAX_QUICK_RESTART_DELAY)));
  }

  void resetConnections() {
    network.resetConnections(context.anyMachine());
  }

  void slowLinks() {
    SimulatedMachine machine = context.anyMachine();
    network.slowLinks(machine, random.nextLong(MAX_LINK_DELAY));
    context.afterRandomDelay(RandomFaultContext.MAX_FAULT, () -> network.slowLinks(machine, 0));
  }

  private void healLater() {
    context.afterRandomDelay(RandomFaultContext.MAX_FAULT, network::healPartitions);
  }
}
