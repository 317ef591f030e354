package nettletrail.emulator.explore;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import nettletrail.control.shard.Ballots;
import nettletrail.control.shard.CoreAction;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.ShardSettings;
import nettletrail.emulator.actors.OrderDocument;
import nettletrail.emulator.judge.ConfigurationOperation.Order;
import nettletrail.protocol.Member;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.NodeIdentity;
import org.apache.avro.specific.SpecificRecord;

/**
 * Three replicas of the configuration shard, the messages between them in any order that keeps the
 * order of each link, and two operators whose orders build on one version. Deterministic: the same
 * transitions lead to the same state.
 */
final class ReplicaSystem {
  static final int REPLICAS = 3;

  private static final long FIRST_ORDER_EDITION = 10;
  private static final int OK = 200;
  private static final long SETTLING_STEP = TimeUnit.MILLISECONDS.toNanos(150);
  private static final int SETTLING_STEPS = 16;
  private static final long NEVER_DUE = TimeUnit.DAYS.toNanos(1);
  private static final int BEATS_AFTER_LEASE = 3;

  /** A message on its way. */
  private record Message(String from, String to, SpecificRecord body) {
    boolean touches(String address) {
      return from.equals(address) || to.equals(address);
    }

    boolean isOnSameLink(Message other) {
      return from.equals(other.from) && to.equals(other.to);
    }
  }

  private final ExplorationBounds bounds;
  private final boolean keepsIdentity;
  private final ShardSettings settings = withoutConfirmation(ShardSettings.defaults());
  private final List<SimulatedReplica> replicas = new ArrayList<>();
  private final List<Message> inFlight = new ArrayList<>();
  private final Set<Integer> ticked = new HashSet<>();
  private final Map<Long, Long> announced = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long now = TimeUnit.SECONDS.toNanos(1);
  private int deliveriesLeft;
  private int ordersSent;
  private int timePassed;
  private int crashes;
  private int wipes;
  private long acknowledgedEdition;

  /** Three replicas with an owner that holds its lease, nothing in flight. */
  ReplicaSystem(ExplorationBounds bounds, boolean keepsIdentity) {
    this.bounds = bounds;
    this.keepsIdentity = keepsIdentity;
    List<String> addresses = new ArrayList<>();
    for (int number = 1; number <= REPLICAS; number++) {
      addresses.add("replica-" + number + ":1");
    }
    List<Member> members = addresses.stream().map(NodeIdentity::founding).toList();
    ShardVersion initial = new ShardVersion(Ballots.ZERO, 0L, members, ByteBuffer.allocate(0));
    for (Member member : members) {
      SimulatedReplica replica = new SimulatedReplica(member, addresses, settings, initial);
      replicas.add(replica);
      replica.start(now);
    }
    settle();
  }

  /** Lets everything happen in order until an owner is settled. */
  private void settle() {
    playRound(Transition.Round.NOBODY, Integer.MAX_VALUE);
  }

  private void playRound(int cutOff, int deliveries) {
    deliveriesLeft = deliveries;
    for (int step = 0; step < SETTLING_STEPS; step++) {
      drain(cutOff);
      now += SETTLING_STEP;
      for (SimulatedReplica replica : replicas) {
        perform(replica, replica.shards().tick(now));
        drain(cutOff);
        checkOwners();
      }
    }
    inFlight.clear();
  }

  private void drain(int cutOff) {
    boolean busy = true;
    while (busy) {
      busy = finishWrites();
      while (!inFlight.isEmpty()) {
        deliverOrLose(cutOff);
        busy = true;
      }
    }
  }

  private boolean finishWrites() {
    boolean any = false;
    for (SimulatedReplica replica : replicas) {
      while (replica.hasWrites()) {
        perform(replica, replica.finishWrite(now));
        any = true;
      }
    }
    return any;
  }

  private void deliverOrLose(int cutOff) {
    Message first = inFlight.get(0);
    boolean cut =
        cutOff != Transition.Round.NOBODY && first.touches(replicas.get(cutOff).address());
    if (cut || deliveriesLeft == 0) {
      inFlight.remove(0);
    } else {
      deliveriesLeft--;
      deliver(0);
    }
  }

  // What can happen

  /** Everything that can happen next. */
  List<Transition> enabled() {
    List<Transition> enabled = new ArrayList<>();
    if (bounds.steps() == ExplorationBounds.Steps.ROUNDS) {
      addRounds(enabled);
    } else {
      addDeliveries(enabled);
      addTimeSteps(enabled);
    }
    for (int replica = 0; replica < REPLICAS; replica++) {
      addEnabledAt(replica, enabled);
    }
    return enabled;
  }

  private void addRounds(List<Transition> enabled) {
    for (int cutOff = Transition.Round.NOBODY; cutOff < REPLICAS; cutOff++) {
      enabled.add(new Transition.Round(cutOff, Integer.MAX_VALUE));
    }
    for (int deliveries : ExplorationBounds.PARTIAL_ROUNDS) {
      enabled.add(new Transition.Round(Transition.Round.NOBODY, deliveries));
    }
  }

  private void addDeliveries(List<Transition> enabled) {
    for (int position = 0; position < inFlight.size(); position++) {
      if (isFirstOfItsLink(position)) {
        enabled.add(new Transition.Deliver(position));
      }
    }
  }

  private void addTimeSteps(List<Transition> enabled) {
    if (timePassed < bounds.timeSteps()) {
      for (Transition.TimeStep step : Transition.TimeStep.values()) {
        enabled.add(new Transition.Pass(step));
      }
    }
  }

  private boolean isFirstOfItsLink(int position) {
    Message message = inFlight.get(position);
    return inFlight.subList(0, position).stream().noneMatch(message::isOnSameLink);
  }

  private void addEnabledAt(int replica, List<Transition> enabled) {
    boolean single = bounds.steps() == ExplorationBounds.Steps.MESSAGES;
    if (single && replicas.get(replica).hasWrites()) {
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

  /** Makes one thing happen. */
  void apply(Transition transition) {
    if (transition instanceof Transition.Deliver deliver) {
      deliver(deliver.position());
    } else if (transition instanceof Transition.Store store) {
      SimulatedReplica replica = replicas.get(store.replica());
      perform(replica, replica.finishWrite(now));
    } else if (transition instanceof Transition.Submit submit) {
      submit(submit);
    } else if (transition instanceof Transition.Pass pass) {
      pass(pass.step());
    } else if (transition instanceof Transition.Round round) {
      playRound(round.cutOff(), round.deliveries());
    } else if (transition instanceof Transition.Tick tick) {
      ticked.add(tick.replica());
      SimulatedReplica replica = replicas.get(tick.replica());
      perform(replica, replica.shards().tick(now));
    } else if (transition instanceof Transition.Crash crash) {
      crashes++;
      restart(replicas.get(crash.replica()));
    } else if (transition instanceof Transition.Wipe wipe) {
      wipes++;
      wipe(replicas.get(wipe.replica()));
    }
    checkOwners();
  }

  private void deliver(int position) {
    Message message = inFlight.remove(position);
    for (SimulatedReplica replica : replicas) {
      if (replica.address().equals(message.to())) {
        perform(replica, replica.shards().receive(message.from(), message.body(), now));
      }
    }
  }

  private void submit(Transition.Submit submit) {
    ordersSent++;
    long edition = FIRST_ORDER_EDITION + submit.order();
    Order order = new Order((int) edition, 0, edition);
    byte[] body = new OrderDocument(order, null).json().getBytes(StandardCharsets.UTF_8);
    SimulatedReplica replica = replicas.get(submit.replica());
    perform(replica, replica.shards().submit(edition, "PUT", "0", body, now));
  }

  private void pass(Transition.TimeStep step) {
    timePassed++;
    ticked.clear();
    now +=
        step == Transition.TimeStep.HEARTBEAT
            ? settings.heartbeat()
            : settings.lease() + BEATS_AFTER_LEASE * settings.heartbeat();
  }

  private void restart(SimulatedReplica replica) {
    replica.start(now);
    inFlight.removeIf(message -> message.from().equals(replica.address()));
  }

  private void wipe(SimulatedReplica replica) {
    if (keepsIdentity) {
      replica.wipeKeepingIdentity();
    } else {
      replica.wipe();
    }
    restart(replica);
  }

  private void perform(SimulatedReplica replica, List<CoreAction> actions) {
    for (CoreAction action : actions) {
      if (action instanceof CoreAction.Send send) {
        inFlight.add(new Message(replica.address(), send.address(), send.message()));
      } else if (action instanceof CoreAction.AnswerOrder answer) {
        answered(answer);
      } else if (action instanceof CoreAction.CommittedConfiguration committed) {
        announced(committed);
      } else {
        replica.write(action);
      }
    }
    inFlight.sort(Comparator.comparing(Message::from).thenComparing(Message::to));
  }

  // What must hold

  private void answered(CoreAction.AnswerOrder answer) {
    if (answer.status() != OK) {
      return;
    }
    if (acknowledgedEdition != 0 && acknowledgedEdition != answer.call()) {
      violations.add("both orders are acknowledged");
    }
    acknowledgedEdition = answer.call();
  }

  private void announced(CoreAction.CommittedConfiguration committed) {
    Long before = announced.putIfAbsent(committed.sequence(), committed.edition());
    if (before != null && before != committed.edition()) {
      violations.add("sequence " + committed.sequence() + " is " + before + " and " + committed);
    }
    if (acknowledgedEdition != 0 && committed.edition() != acknowledgedEdition) {
      violations.add(committed.edition() + " is committed beside " + acknowledgedEdition);
    }
  }

  private void checkOwners() {
    long owners =
        replicas.stream()
            .filter(replica -> replica.shards().owns(CoreShards.CONFIGURATION_SHARD, now))
            .count();
    if (owners > 1) {
      violations.add("two replicas own the shard");
    }
  }

  /** What is broken in this state. */
  List<String> violations() {
    return violations;
  }

  /** A hash of the whole state. */
  long fingerprint() {
    return ObjectFingerprint.of(
        List.of(
            replicas,
            inFlight,
            ticked,
            announced,
            now,
            ordersSent,
            timePassed,
            crashes,
            wipes,
            acknowledgedEdition));
  }

  /**
   * Rounds that confirm what is committed change nothing that is decided; without them there are
   * far fewer states.
   */
  private static ShardSettings withoutConfirmation(ShardSettings usual) {
    return new ShardSettings(
        usual.lease(),
        usual.leaseMargin(),
        usual.heartbeat(),
        usual.electionStagger(),
        usual.electionTimeout(),
        usual.resend(),
        NEVER_DUE,
        usual.join(),
        usual.joinerFresh(),
        usual.replaceAfter(),
        usual.removeAfter(),
        usual.orderHold(),
        usual.orderTimeout(),
        usual.orderQueue());
  }
}
