package nettletrail.emulator.explore;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import nettletrail.control.shard.CoreAction;
import nettletrail.control.shard.ShardSettings;
import org.apache.avro.specific.SpecificRecord;

/**
 * Replicas of the configuration shard, the messages between them and their time. Messages keep the
 * order of each link; nothing arrives or passes by itself.
 */
final class ReplicaNetwork {
  /** All messages of a round arrive. */
  static final int UNLIMITED = Integer.MAX_VALUE;

  private static final long TICK = TimeUnit.MILLISECONDS.toNanos(150);
  private static final long NEVER_DUE = TimeUnit.DAYS.toNanos(1);

  /** A message on its way. */
  private record Message(String from, String to, SpecificRecord body) {
    boolean isOnSameLink(Message other) {
      return from.equals(other.from) && to.equals(other.to);
    }
  }

  /**
   * What goes wrong while a round is played.
   *
   * @param cutOff replicas that nothing reaches and nothing leaves
   * @param stalled replicas whose disks finish no write
   * @param deliveries how many messages arrive; the rest is lost
   */
  record Disturbance(Set<SimulatedReplica> cutOff, Set<SimulatedReplica> stalled, int deliveries) {
    static final Disturbance NONE = new Disturbance(Set.of(), Set.of(), UNLIMITED);
  }

  private final List<SimulatedReplica> replicas = new ArrayList<>();
  private final List<Message> inFlight = new ArrayList<>();
  private final Consumer<CoreAction> observer;
  private final Runnable afterStep;
  private long now = TimeUnit.SECONDS.toNanos(1);
  private int deliveriesLeft;

  /**
   * No replicas yet.
   *
   * @param observer sees answers to operators and announced configurations
   * @param afterStep is called after each step of a round
   */
  ReplicaNetwork(Consumer<CoreAction> observer, Runnable afterStep) {
    this.observer = observer;
    this.afterStep = afterStep;
  }

  List<SimulatedReplica> replicas() {
    return replicas;
  }

  long now() {
    return now;
  }

  void advance(long span) {
    now += span;
  }

  /** Adds a replica and starts it. */
  void add(SimulatedReplica replica) {
    replicas.add(replica);
    replica.start(now);
  }

  /** Takes a replica away for good. */
  void remove(SimulatedReplica replica) {
    replicas.remove(replica);
    inFlight.removeIf(message -> message.from().equals(replica.address()));
  }

  /** Ends the present life of a replica and starts the next one with what its disk holds. */
  void restart(SimulatedReplica replica) {
    replica.start(now);
    inFlight.removeIf(message -> message.from().equals(replica.address()));
  }

  /** A replica gives its leases back before it ends; what it says arrives. */
  void release(SimulatedReplica replica) {
    perform(replica, replica.shards().release(now));
    deliveriesLeft = UNLIMITED;
    drain(Disturbance.NONE);
  }

  void perform(SimulatedReplica replica, List<CoreAction> actions) {
    for (CoreAction action : actions) {
      if (action instanceof CoreAction.Send send) {
        inFlight.add(new Message(replica.address(), send.address(), send.message()));
      } else if (action instanceof CoreAction.AnswerOperator
          || action instanceof CoreAction.CommittedConfiguration) {
        observer.accept(action);
      } else {
        replica.write(action);
      }
    }
    inFlight.sort(Comparator.comparing(Message::from).thenComparing(Message::to));
  }

  // Single steps

  void tick(SimulatedReplica replica) {
    perform(replica, replica.shards().tick(now));
  }

  void finishWrite(SimulatedReplica replica) {
    perform(replica, replica.finishWrite(now));
  }

  /** Positions of the messages that may arrive next: the first of each link. */
  List<Integer> deliverable() {
    List<Integer> positions = new ArrayList<>();
    for (int position = 0; position < inFlight.size(); position++) {
      Message message = inFlight.get(position);
      if (inFlight.subList(0, position).stream().noneMatch(message::isOnSameLink)) {
        positions.add(position);
      }
    }
    return positions;
  }

  void deliver(int position) {
    Message message = inFlight.remove(position);
    for (SimulatedReplica replica : replicas) {
      if (replica.address().equals(message.to())) {
        perform(replica, replica.shards().receive(message.from(), message.body(), now));
      }
    }
  }

  // Rounds

  /** Does all that is due for some ticks; what did not arrive at the end is lost. */
  void playRound(int ticks, Disturbance disturbance) {
    deliveriesLeft = disturbance.deliveries();
    for (int step = 0; step < ticks; step++) {
      drain(disturbance);
      now += TICK;
      for (SimulatedReplica replica : replicas) {
        tick(replica);
        drain(disturbance);
        afterStep.run();
      }
    }
    inFlight.clear();
  }

  /** Does what is due until so many messages have arrived; nothing is lost. */
  void playDeliveries(int ticks, int deliveries) {
    deliveriesLeft = deliveries;
    for (int step = 0; step < ticks; step++) {
      now += TICK;
      for (SimulatedReplica replica : replicas) {
        tick(replica);
        if (!deliverSome()) {
          return;
        }
      }
    }
  }

  private boolean deliverSome() {
    boolean busy = true;
    while (busy) {
      busy = finishWrites(Set.of());
      while (!inFlight.isEmpty()) {
        if (deliveriesLeft == 0) {
          return false;
        }
        deliveriesLeft--;
        deliver(0);
        busy = true;
      }
    }
    return true;
  }

  private void drain(Disturbance disturbance) {
    boolean busy = true;
    while (busy) {
      busy = finishWrites(disturbance.stalled());
      while (!inFlight.isEmpty()) {
        deliverOrLose(disturbance.cutOff());
        busy = true;
      }
    }
  }

  private boolean finishWrites(Set<SimulatedReplica> stalled) {
    boolean any = false;
    for (SimulatedReplica replica : replicas) {
      while (replica.hasWrites() && !stalled.contains(replica)) {
        finishWrite(replica);
        afterStep.run();
        any = true;
      }
    }
    return any;
  }

  private void deliverOrLose(Set<SimulatedReplica> cutOff) {
    Message first = inFlight.get(0);
    boolean cut =
        cutOff.stream()
            .map(SimulatedReplica::address)
            .anyMatch(address -> address.equals(first.from()) || address.equals(first.to()));
    if (cut || deliveriesLeft == 0) {
      inFlight.remove(0);
    } else {
      deliveriesLeft--;
      deliver(0);
    }
  }

  /** What the state consists of, for its fingerprint. */
  List<Object> content() {
    return List.of(replicas, inFlight, now);
  }

  /**
   * Rounds that confirm what is committed change nothing that is decided; without them there are
   * far fewer states.
   */
  static ShardSettings withoutConfirmation(ShardSettings usual) {
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
        usual.replaceUnheardAfter(),
        usual.removeAfter(),
        usual.fullGroup(),
        usual.bootstrapWait(),
        usual.ownerWait(),
        usual.requestTimeout(),
        usual.requestQueueCapacity());
  }
}
