package nettletrail.emulator.explore;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.ProposalNumbers;
import nettletrail.control.shard.ShardSettings;
import nettletrail.emulator.explore.ReplicaNetwork.Disturbance;
import nettletrail.protocol.Member;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.NodeIdentity;

/**
 * Replicas of the configuration shard whose disks are wiped and which are replaced, as far as the
 * system has to withstand it. After each message that changes a disk, every further loss that it
 * has to withstand is judged by {@link LossCheck}.
 *
 * <p>A machine counts as lost from its loss until it has been back, or its successor there, for the
 * time to catch up; so does one that is cut off or whose disk stalls, and after a loss of power
 * everywhere all machines do. Such a machine may be lost anew at any time.
 */
final class GroupChangeSystem implements ExploredSystem {
  /** A round takes 1.95 s: less than half of the time to catch up. */
  private static final int TICKS_A_ROUND = 13;

  private static final int CALM_ROUNDS = 4;

  /** Messages after which a round may be ended by a loss of power everywhere. */
  private static final List<Integer> PARTIAL_ROUNDS = List.of(12, 30);

  private final GroupChangeBounds bounds;
  private final ShardSettings settings =
      ReplicaNetwork.withoutConfirmation(ShardSettings.defaults());
  private final RegisterChecks checks = new RegisterChecks();
  private final LossCheck lossCheck = new LossCheck();
  private final ReplicaNetwork network = new ReplicaNetwork(checks, this::afterStep);

  /** The replica at each place; one that leaves is followed by its successor. */
  private final List<SimulatedReplica> places = new ArrayList<>();

  /** Until when the machine at a place counts as lost. */
  private final Map<Integer, Long> lostUntil = new HashMap<>();

  private int machinesAdded;
  private int ordersSent;
  private int losses;
  private int crashes;
  private long acknowledgedBefore;

  /** All replicas are members and one owns the shard. */
  GroupChangeSystem(GroupChangeBounds bounds) {
    this.bounds = bounds;
    List<String> addresses = new ArrayList<>();
    for (int number = 1; number <= bounds.machines(); number++) {
      addresses.add(nextAddress());
    }
    List<Member> members = addresses.stream().map(NodeIdentity::founding).toList();
    ShardVersion initial =
        new ShardVersion(ProposalNumbers.ZERO, 0L, members, ByteBuffer.allocate(0));
    for (Member member : members) {
      addAt(places.size(), new SimulatedReplica(member, addresses, settings, initial));
    }
    network.playRound(TICKS_A_ROUND, Disturbance.NONE);
    putOwnerFirst();
  }

  private String nextAddress() {
    machinesAdded++;
    return "replica-" + machinesAdded + ":1";
  }

  private void addAt(int place, SimulatedReplica replica) {
    if (place == places.size()) {
      places.add(replica);
    } else {
      places.set(place, replica);
    }
    network.add(replica);
  }

  private void putOwnerFirst() {
    for (int place = 0; place < places.size(); place++) {
      if (places.get(place).shards().owns(CoreShards.CONFIGURATION_SHARD, network.now())) {
        places.add(0, places.remove(place));
      }
    }
  }

  // What can happen

  @Override
  public List<Transition> enabled() {
    List<Transition> enabled = new ArrayList<>();
    enabled.add(new Transition.Round(Transition.Round.NOBODY, ReplicaNetwork.UNLIMITED));
    if (ordersSent < bounds.orders()) {
      enabled.add(new Transition.Submit(ordersSent, 0));
    }
    if (crashes < bounds.crashes()) {
      enabled.add(new Transition.CrashAll());
      for (int deliveries : PARTIAL_ROUNDS) {
        enabled.add(new Transition.Round(Transition.Round.NOBODY, deliveries));
      }
    }
    for (int place = 0; place < bounds.troubled(); place++) {
      if (mayBeLost(place)) {
        addFaults(place, enabled);
      }
    }
    return enabled;
  }

  private void addFaults(int place, List<Transition> enabled) {
    enabled.add(new Transition.Round(place, ReplicaNetwork.UNLIMITED));
    enabled.add(new Transition.StalledRound(place));
    if (losses < bounds.losses()) {
      enabled.add(new Transition.Wipe(place));
      enabled.add(new Transition.Replace(place, false));
      enabled.add(new Transition.Replace(place, true));
    }
  }

  private boolean mayBeLost(int place) {
    long lost = lostPlaces().size();
    return lost < bounds.withstood() || isLost(place) && lost <= bounds.withstood();
  }

  private boolean isLost(int place) {
    return network.now() < lostUntil.getOrDefault(place, Long.MIN_VALUE);
  }

  private List<Integer> lostPlaces() {
    List<Integer> lost = new ArrayList<>();
    for (int place = 0; place < places.size(); place++) {
      if (isLost(place)) {
        lost.add(place);
      }
    }
    return lost;
  }

  @Override
  public void apply(Transition transition) {
    if (transition instanceof Transition.Submit submit) {
      ordersSent++;
      checks.submit(network, places.get(0), submit.order());
    } else if (transition instanceof Transition.Round round) {
      playRound(round);
    } else if (transition instanceof Transition.StalledRound stalled) {
      Set<SimulatedReplica> replicas = Set.of(places.get(stalled.replica()));
      playTroubled(
          stalled.replica(), new Disturbance(Set.of(), replicas, ReplicaNetwork.UNLIMITED));
    } else if (transition instanceof Transition.CrashAll) {
      crashAll();
    } else if (transition instanceof Transition.Wipe wipe) {
      losses++;
      places.get(wipe.replica()).wipe(false);
      network.restart(places.get(wipe.replica()));
      countAsLost(wipe.replica());
    } else if (transition instanceof Transition.Replace replace) {
      replace(replace);
    }
    afterStep();
  }

  private void playRound(Transition.Round round) {
    if (round.cutOff() != Transition.Round.NOBODY) {
      Set<SimulatedReplica> cutOff = Set.of(places.get(round.cutOff()));
      playTroubled(round.cutOff(), new Disturbance(cutOff, Set.of(), round.deliveries()));
    } else if (round.deliveries() == ReplicaNetwork.UNLIMITED) {
      network.playRound(TICKS_A_ROUND, Disturbance.NONE);
    } else {
      network.playDeliveries(TICKS_A_ROUND, round.deliveries());
      crashAll();
    }
  }

  private void playTroubled(int place, Disturbance disturbance) {
    lostUntil.put(place, Long.MAX_VALUE);
    network.playRound(TICKS_A_ROUND, disturbance);
    countAsLost(place);
  }

  private void crashAll() {
    crashes++;
    for (int place = 0; place < places.size(); place++) {
      network.restart(places.get(place));
      countAsLost(place);
    }
  }

  private void replace(Transition.Replace replace) {
    losses++;
    SimulatedReplica leaver = places.get(replace.replica());
    List<String> seeds = places.stream().map(SimulatedReplica::address).toList();
    if (replace.planned()) {
      network.release(leaver);
    }
    network.remove(leaver);
    addAt(replace.replica(), SimulatedReplica.empty(nextAddress(), seeds, settings));
    countAsLost(replace.replica());
  }

  private void countAsLost(int place) {
    lostUntil.put(place, network.now() + bounds.catchUp());
  }

  // What must hold

  private void afterStep() {
    checks.checkOwners(network);
    lossCheck.observe(places);
    if (checks.acknowledgedEdition() != acknowledgedBefore) {
      acknowledgedBefore = checks.acknowledgedEdition();
      lossCheck.acknowledged();
    }
    List<Integer> lost = lostPlaces();
    if (lost.size() > bounds.withstood()) {
      checkWithout(List.of());
    } else {
      checkFurtherLosses(lost, 0);
    }
  }

  /** Judges the loss of these places and of all others, from one on, that may be lost as well. */
  private void checkFurtherLosses(List<Integer> gone, int from) {
    if (gone.size() == bounds.withstood()) {
      checkWithout(gone);
      return;
    }
    for (int place = from; place < places.size(); place++) {
      if (!gone.contains(place)) {
        List<Integer> more = new ArrayList<>(gone);
        more.add(place);
        checkFurtherLosses(more, place + 1);
      }
    }
  }

  private void checkWithout(List<Integer> gone) {
    List<SimulatedReplica> left = new ArrayList<>();
    for (int place = 0; place < places.size(); place++) {
      if (!gone.contains(place)) {
        left.add(places.get(place));
      }
    }
    String broken = lossCheck.withOnly(left);
    if (!broken.isEmpty()) {
      checks.broken(broken + " without places " + gone);
    }
  }

  /**
   * As many disks are lost as may be, the owner's first, all others lose power, and after a calm
   * time what was acknowledged must be read.
   */
  @Override
  public void end() {
    for (int place = 0; place < places.size(); place++) {
      if (mayBeLost(place)) {
        places.get(place).wipe(false);
        countAsLost(place);
      }
    }
    crashAll();
    for (int round = 0; round < CALM_ROUNDS; round++) {
      network.playRound(TICKS_A_ROUND, Disturbance.NONE);
    }
    checks.read(network, places.get(0));
    network.playRound(TICKS_A_ROUND, Disturbance.NONE);
    long acknowledged = checks.acknowledgedEdition();
    if (acknowledged != 0 && checks.editionRead() != acknowledged) {
      checks.broken(
          "after a calm time, read " + checks.editionRead() + " in place of " + acknowledged);
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
            places,
            remaining(),
            checks.content(),
            lossCheck.content(),
            ordersSent,
            losses,
            crashes));
  }

  private List<Long> remaining() {
    List<Long> remaining = new ArrayList<>();
    for (int place = 0; place < places.size(); place++) {
      long until = lostUntil.getOrDefault(place, Long.MIN_VALUE);
      remaining.add(isLost(place) ? until - network.now() : 0);
    }
    return remaining;
  }
}
