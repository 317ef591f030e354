package nettletrail.emulator.explore;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettletrail.control.shard.ProposalNumbers;
import nettletrail.control.shard.ShardSettings;
import nettletrail.emulator.explore.ReplicaNetwork.Disturbance;
import nettletrail.protocol.Member;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.NodeIdentity;

/**
 * Three replicas of the configuration shard, the messages between them in any order that keeps the
 * order of each link, and two operators whose orders build on one version. Deterministic: the same
 * transitions lead to the same state.
 */
final class ReplicaSystem implements ExploredSystem {
  static final int REPLICAS = 3;

  private static final int TICKS_A_ROUND = 16;
  private static final int HEARTBEATS_AFTER_LEASE = 3;

  private final ExplorationBounds bounds;
  private final boolean keepsIdentity;
  private final ShardSettings settings =
      ReplicaNetwork.withoutConfirmation(ShardSettings.defaults());
  private final RegisterChecks checks = new RegisterChecks();
  private final ReplicaNetwork network = new ReplicaNetwork(checks, this::checkOwners);
  private final Set<Integer> ticked = new HashSet<>();
  private int ordersSent;
  private int timePassed;
  private int crashes;
  private int wipes;

  /** Three replicas with an owner that holds its lease, nothing in flight. */
  ReplicaSystem(ExplorationBounds bounds, boolean keepsIdentity) {
    this.bounds = bounds;
    this.keepsIdentity = keepsIdentity;
    List<String> addresses = new ArrayList<>();
    for (int number = 1; number <= REPLICAS; number++) {
      addresses.add("replica-" + number + ":1");
    }
    List<Member> members = addresses.stream().map(NodeIdentity::founding).toList();
    ShardVersion initial =
        new ShardVersion(ProposalNumbers.ZERO, 0L, members, ByteBuffer.allocate(0));
    for (Member member : members) {
      network.add(new SimulatedReplica(member, addresses, settings, initial));
    }
    network.playRound(TICKS_A_ROUND, Disturbance.NONE);
  }

  // What can happen

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
    for (int cutOff = Transition.Round.NOBODY; cutOff < REPLICAS; cutOff++) {
      enabled.add(new Transition.Round(cutOff, ReplicaNetwork.UNLIMITED));
    }
    for (int deliveries : ExplorationBounds.PARTIAL_ROUNDS) {
      enabled.add(new Transition.Round(Transition.Round.NOBODY, deliveries));
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
    if (ordersSent < bounds.orders()) {
      enabled.add(new Transition.Submit(ordersSent, replica));
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

  @Override
  public void apply(Transition transition) {
    if (transition instanceof Transition.Deliver deliver) {
      network.deliver(deliver.position());
    } else if (transition instanceof Transition.Store store) {
      network.finishWrite(replica(store.replica()));
    } else if (transition instanceof Transition.Submit submit) {
      ordersSent++;
      checks.submit(network, replica(submit.replica()), submit.order());
    } else if (transition instanceof Transition.Pass pass) {
      pass(pass.step());
    } else if (transition instanceof Transition.Round round) {
      network.playRound(TICKS_A_ROUND, disturbance(round));
    } else if (transition instanceof Transition.Tick tick) {
      ticked.add(tick.replica());
      network.tick(replica(tick.replica()));
    } else if (transition instanceof Transition.Crash crash) {
      crashes++;
      network.restart(replica(crash.replica()));
    } else if (transition instanceof Transition.Wipe wipe) {
      wipes++;
      replica(wipe.replica()).wipe(keepsIdentity);
      network.restart(replica(wipe.replica()));
    }
    checkOwners();
  }

  private Disturbance disturbance(Transition.Round round) {
    boolean nobody = round.cutOff() == Transition.Round.NOBODY;
    Set<SimulatedReplica> cutOff = nobody ? Set.of() : Set.of(replica(round.cutOff()));
    return new Disturbance(cutOff, Set.of(), round.deliveries());
  }

  private void pass(Transition.TimeStep step) {
    timePassed++;
    ticked.clear();
    network.advance(
        step == Transition.TimeStep.HEARTBEAT
            ? settings.heartbeat()
            : settings.lease() + HEARTBEATS_AFTER_LEASE * settings.heartbeat());
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
            network.content(), ticked, checks.content(), ordersSent, timePassed, crashes, wipes));
  }
}
