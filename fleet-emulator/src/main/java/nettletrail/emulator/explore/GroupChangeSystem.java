package nettletrail.emulator.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import nettletrail.control.ShardMap;
import nettletrail.control.shard.ShardSettings;

/**
 * Replicas of the configuration shard whose disks are wiped and which are replaced, as far as the
 * system has to tolerate it. After each message that changes a disk, {@link LossToleranceCheck}
 * examines every further loss that has to be tolerated. {@link LostMachines} says which machines
 * count as lost; such a machine may be lost anew at any time.
 */
final class GroupChangeSystem implements ExploredSystem {
  /** A round takes 1.95 s: less than half of the time to catch up. */
  private static final int TICKS_PER_ROUND = 13;

  private static final int QUIET_ROUNDS = 4;

  /** How many ticks a process that shuts down waits, for a second at most. */
  private static final int TICKS_TO_LEAVE = 6;

  /** The owner and another member; the others differ from it in their rank only. */
  private static final int LEAVE_CANDIDATES = 2;

  /** Messages after which a round may be ended by a loss of power everywhere. */
  private static final List<Integer> PARTIAL_ROUNDS = List.of(12, 30);

  private final GroupChangeBounds bounds;
  private final ShardSettings settings;
  private final RegisterChecks checks = new RegisterChecks();
  private final ReplicaNetwork network = new ReplicaNetwork(checks);
  private final RoundPlayer rounds = new RoundPlayer(network, this::afterStep);
  private final LossToleranceCheck lossTolerance;
  private final LostMachines lostMachines;

  /** The replica at each position; one that is removed is followed by its successor. */
  private final List<SimulatedReplica> group = new ArrayList<>();

  private int machinesAdded;
  private int changesSubmitted;
  private int losses;
  private int crashes;
  private int additions;

  /** A group of which all replicas are members and the first one owns the shard. */
  GroupChangeSystem(GroupChangeBounds bounds) {
    this.bounds = bounds;
    this.settings = ReplicaGroupFactory.settings().tolerating(bounds.toleratedLosses());
    this.lossTolerance = new LossToleranceCheck(bounds.toleratedLosses(), checks);
    this.lostMachines = new LostMachines(bounds.catchUp());
    this.machinesAdded = bounds.machines();
    for (SimulatedReplica replica :
        ReplicaGroupFactory.foundingGroup(bounds.machines(), settings)) {
      group.add(replica);
      network.add(replica);
    }
    rounds.playRound(TICKS_PER_ROUND, RoundFaults.NONE);
    moveOwnerToFront();
  }

  private void moveOwnerToFront() {
    for (int position = 0; position < group.size(); position++) {
      if (group.get(position).shards().owns(ShardMap.CONFIGURATION_SHARD, network.now())) {
        group.add(0, group.remove(position));
      }
    }
  }

  // Transitions that are enabled

  @Override
  public List<Transition> enabled() {
    List<Transition> enabled = new ArrayList<>();
    enabled.add(new Transition.Round(Transition.Round.NONE, RoundFaults.UNLIMITED));
    if (changesSubmitted < bounds.changes()) {
      enabled.add(new Transition.Submit(changesSubmitted, 0));
    }
    if (crashes < bounds.crashes()) {
      enabled.add(new Transition.CrashAll());
      for (int deliveries : PARTIAL_ROUNDS) {
        enabled.add(new Transition.Round(Transition.Round.NONE, deliveries));
      }
    }
    for (int position = 0; position < bounds.faultCandidates(); position++) {
      if (mayLose(position)) {
        addFaults(position, enabled);
      }
    }
    addPlannedReplacement(enabled);
    return enabled;
  }

  /** A machine may leave once all others, its successor too, have had the time to catch up. */
  private void addPlannedReplacement(List<Transition> enabled) {
    if (additions < bounds.additions()) {
      enabled.add(new Transition.Add());
    }
    if (group.size() > bounds.machines() && lostPositions().isEmpty()) {
      for (int position = 0; position < LEAVE_CANDIDATES; position++) {
        enabled.add(new Transition.Leave(position));
      }
    }
  }

  private void addFaults(int position, List<Transition> enabled) {
    enabled.add(new Transition.Round(position, RoundFaults.UNLIMITED));
    enabled.add(new Transition.StalledRound(position));
    if (losses < bounds.losses()) {
      enabled.add(new Transition.Wipe(position));
      enabled.add(new Transition.Replace(position, false));
      enabled.add(new Transition.Replace(position, true));
    }
  }

  private boolean mayLose(int position) {
    int lost = lostPositions().size();
    boolean isLost = lostMachines.isLost(position, network.now());
    return lost < bounds.toleratedLosses() || isLost && lost <= bounds.toleratedLosses();
  }

  private List<Integer> lostPositions() {
    return lostMachines.positions(group.size(), network.now());
  }

  // Transitions that are applied

  @Override
  public void apply(Transition transition) {
    if (transition instanceof Transition.Submit submit) {
      changesSubmitted++;
      checks.submit(network, group.get(0), submit.change());
    } else if (transition instanceof Transition.Round round) {
      playRound(round);
    } else if (transition instanceof Transition.StalledRound stalled) {
      Set<SimulatedReplica> replicas = Set.of(group.get(stalled.replica()));
      playFaultyRound(
          stalled.replica(), new RoundFaults(Set.of(), replicas, RoundFaults.UNLIMITED));
    } else if (transition instanceof Transition.CrashAll) {
      crashAll();
    } else if (transition instanceof Transition.Wipe wipe) {
      wipe(wipe.replica());
    } else if (transition instanceof Transition.Replace replace) {
      replace(replace);
    } else if (transition instanceof Transition.Add) {
      additions++;
      group.add(startSuccessor());
      countAsLost(group.size() - 1);
    } else if (transition instanceof Transition.Leave leave) {
      leave(leave.replica());
    }
    afterStep();
  }

  private void playRound(Transition.Round round) {
    if (round.isolated() != Transition.Round.NONE) {
      Set<SimulatedReplica> isolated = Set.of(group.get(round.isolated()));
      playFaultyRound(round.isolated(), new RoundFaults(isolated, Set.of(), round.deliveries()));
    } else if (round.deliveries() == RoundFaults.UNLIMITED) {
      rounds.playRound(TICKS_PER_ROUND, RoundFaults.NONE);
    } else {
      rounds.playDeliveries(TICKS_PER_ROUND, round.deliveries());
      crashAll();
    }
  }

  private void playFaultyRound(int position, RoundFaults faults) {
    lostMachines.beginFault(position);
    rounds.playRound(TICKS_PER_ROUND, faults);
    countAsLost(position);
  }

  private void crashAll() {
    crashes++;
    for (int position = 0; position < group.size(); position++) {
      network.restart(group.get(position));
      countAsLost(position);
    }
  }

  private void wipe(int position) {
    losses++;
    group.get(position).wipe();
    network.restart(group.get(position));
    countAsLost(position);
  }

  private void replace(Transition.Replace replace) {
    losses++;
    SimulatedReplica removed = group.get(replace.replica());
    if (replace.planned()) {
      shutDown(removed);
    }
    network.remove(removed);
    group.set(replace.replica(), startSuccessor());
    countAsLost(replace.replica());
  }

  /** Starts a machine that is in touch with those of the group; its disk is empty. */
  private SimulatedReplica startSuccessor() {
    List<String> seeds = group.stream().map(SimulatedReplica::address).toList();
    machinesAdded++;
    SimulatedReplica successor =
        SimulatedReplica.empty(ReplicaGroupFactory.address(machinesAdded), seeds, settings);
    network.add(successor);
    return successor;
  }

  private void leave(int position) {
    SimulatedReplica leaving = group.get(position);
    shutDown(leaving);
    network.remove(leaving);
    group.set(position, group.remove(group.size() - 1));
  }

  private void shutDown(SimulatedReplica replica) {
    network.perform(replica, replica.shards().leave(network.now()));
    rounds.drain();
    rounds.playUntil(() -> replica.shards().hasLeft(), TICKS_TO_LEAVE);
    releaseLeases(replica);
  }

  /** A replica gives its leases back before it ends; the messages that say so arrive. */
  private void releaseLeases(SimulatedReplica replica) {
    network.perform(replica, replica.shards().release(network.now()));
    rounds.drain();
  }

  private void countAsLost(int position) {
    lostMachines.catchUpFrom(position, network.now());
  }

  // Invariants

  private void afterStep() {
    checks.checkOwners(network);
    lossTolerance.check(group, lostPositions());
  }

  /**
   * Loses as many disks as have to be tolerated, the owner's first, and the power of all machines;
   * after some quiet rounds the acknowledged configuration must be read.
   */
  @Override
  public void end() {
    for (int position = 0; position < group.size(); position++) {
      if (mayLose(position)) {
        group.get(position).wipe();
        countAsLost(position);
      }
    }
    crashAll();
    for (int round = 0; round < QUIET_ROUNDS; round++) {
      rounds.playRound(TICKS_PER_ROUND, RoundFaults.NONE);
    }
    checks.read(network, group.get(0));
    rounds.playRound(TICKS_PER_ROUND, RoundFaults.NONE);
    long acknowledged = checks.acknowledgedEdition();
    if (acknowledged != 0 && checks.editionRead() != acknowledged) {
      checks.addViolation(
          "after quiet rounds, read " + checks.editionRead() + " in place of " + acknowledged);
    }
  }

  @Override
  public List<String> violations() {
    return checks.violations();
  }

  @Override
  public long fingerprint() {
    return ObjectFingerprint.of(
        List.of(
            network.content(),
            group,
            lostMachines.remaining(group.size(), network.now()),
            checks.content(),
            lossTolerance.content(),
            changesSubmitted,
            losses,
            crashes,
            additions));
  }
}
