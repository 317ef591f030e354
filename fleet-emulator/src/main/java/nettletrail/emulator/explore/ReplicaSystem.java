package nettletrail.emulator.explore;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettletrail.control.shard.ShardSettings;

/**
 * Three replicas of the configuration shard, the messages between them in any order that keeps the
 * order of each link, and operators whose changes are based on one edition. Deterministic: the same
 * transitions lead to the same state.
 */
final class ReplicaSystem implements ExploredSystem {
  static final int REPLICAS = 3;

  private static final int TICKS_PER_ROUND = 16;
  private static final int HEARTBEATS_AFTER_LEASE = 3;

  private final ExplorationBounds bounds;
  private final boolean keepsIdentity;
  private final ShardSettings settings = ReplicaGroupFactory.settings();
  private final RegisterChecks checks = new RegisterChecks();
  private final ReplicaNetwork network = new ReplicaNetwork(checks);
  private final RoundPlayer rounds = new RoundPlayer(network, this::checkOwners);
  private final Set<Integer> ticked = new HashSet<>();
  private int changesSubmitted;
  private int timePassed;
  private int crashes;
  private int wipes;

  /** Three replicas with an owner that holds its lease, nothing in flight. */
  ReplicaSystem(ExplorationBounds bounds, boolean keepsIdentity) {
    this.bounds = bounds;
    this.keepsIdentity = keepsIdentity;
    ReplicaGroupFactory.foundingGroup(REPLICAS, settings).forEach(network::add);
    rounds.playRound(TICKS_PER_ROUND, RoundFaults.NONE);
  }

  // Transitions that are enabled

  @Override
  public List<Transition> enabled() {
    List<Transition> enabled = new ArrayList<>();
    if (bounds.steps() == ExplorationBounds.Steps.ROUNDS) {
      addRounds(enabled);
    } else {
      network.deliverable().forEach(position -> enabled.add(new Transition.Deliver(position)));
      addTimeSteps(enabled);
    }
    for (int replica = 0; replica < REPLICAS; replica++) {
      addEnabledAt(replica, enabled);
    }
    return enabled;
  }

  private void addRounds(List<Transition> enabled) {
    for (int isolated = Transition.Round.NONE; isolated < REPLICAS; isolated++) {
      enabled.add(new Transition.Round(isolated, RoundFaults.UNLIMITED));
    }
    for (int deliveries : ExplorationBounds.PARTIAL_ROUNDS) {
      enabled.add(new Transition.Round(Transition.Round.NONE, deliveries));
    }
  }

  private void addTimeSteps(List<Transition> enabled) {
    if (timePassed < bounds.timeSteps()) {
      for (Transition.TimeStep step : Transition.TimeStep.values()) {
        enabled.add(new Transition.Pass(step));
      }
    }
  }

  private void addEnabledAt(int replica, List<Transition> enabled) {
    boolean single = bounds.steps() == ExplorationBounds.Steps.MESSAGES;
    if (single && replica(replica).hasWrites()) {
      enabled.add(new Transition.Store(replica));
    }
    if (single && timePassed > 0 && !ticked.contains(replica)) {
      enabled.add(new Transition.Tick(replica));
    }
    if (changesSubmitted < bounds.changes()) {
      enabled.add(new Transition.Submit(changesSubmitted, replica));
    }
    if (crashes < bounds.crashes()) {
      enabled.add(new Transition.Crash(replica));
    }
    if (wipes < bounds.wipes()) {
      enabled.add(new Transition.Wipe(replica));
    }
  }

  private SimulatedReplica replica(int index) {
    return network.replicas().get(index);
  }

  // Transitions that are applied

  @Override
  public void apply(Transition transition) {
    if (transition instanceof Transition.Deliver deliver) {
      network.deliver(deliver.position());
    } else if (transition instanceof Transition.Store store) {
      network.finishWrite(replica(store.replica()));
    } else if (transition instanceof Transition.Submit submit) {
      changesSubmitted++;
      checks.submit(network, replica(submit.replica()), submit.change());
    } else if (transition instanceof Transition.Pass pass) {
      pass(pass.step());
    } else if (transition instanceof Transition.Round round) {
      rounds.playRound(TICKS_PER_ROUND, faults(round));
    } else if (transition instanceof Transition.Tick tick) {
      ticked.add(tick.replica());
      network.tick(replica(tick.replica()));
    } else if (transition instanceof Transition.Crash crash) {
      crashes++;
      network.restart(replica(crash.replica()));
    } else if (transition instanceof Transition.Wipe wipe) {
      wipe(replica(wipe.replica()));
    }
    checkOwners();
  }

  private void wipe(SimulatedReplica replica) {
    wipes++;
    if (keepsIdentity) {
      replica.wipeKeepingIdentity();
    } else {
      replica.wipe();
    }
    network.restart(replica);
  }

  private RoundFaults faults(Transition.Round round) {
    boolean connected = round.isolated() == Transition.Round.NONE;
    Set<SimulatedReplica> isolated = connected ? Set.of() : Set.of(replica(round.isolated()));
    return new RoundFaults(isolated, Set.of(), round.deliveries());
  }

  private void pass(Transition.TimeStep step) {
    timePassed++;
    ticked.clear();
    network.advance(
        step == Transition.TimeStep.HEARTBEAT
            ? settings.heartbeatIntervalNanos()
            : settings.leaseNanos() + HEARTBEATS_AFTER_LEASE * settings.heartbeatIntervalNanos());
  }

  private void checkOwners() {
    checks.checkOwners(network);
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
            ticked,
            checks.content(),
            changesSubmitted,
            timePassed,
            crashes,
            wipes));
  }
}
