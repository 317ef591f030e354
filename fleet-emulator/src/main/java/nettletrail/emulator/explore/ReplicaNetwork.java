package nettletrail.emulator.explore;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import nettletrail.control.shard.CoreAction;
import org.apache.avro.specific.SpecificRecord;

/**
 * Replicas of the configuration shard, the messages between them and their common clock. Messages
 * keep the order of each link. Nothing arrives and no time passes unless a caller makes it happen.
 */
final class ReplicaNetwork {

  /** A message in flight, between two addresses. */
  record Message(String from, String to, SpecificRecord body) {
    private boolean isOnSameLink(Message other) {
      return from.equals(other.from) && to.equals(other.to);
    }
  }

  private final List<SimulatedReplica> replicas = new ArrayList<>();
  private final List<Message> inFlight = new ArrayList<>();
  private final Consumer<CoreAction> observer;
  private long now = TimeUnit.SECONDS.toNanos(1);

  /**
   * A network without replicas.
   *
   * @param observer is given answers to operators and announced configurations
   */
  ReplicaNetwork(Consumer<CoreAction> observer) {
    this.observer = observer;
  }

  List<SimulatedReplica> replicas() {
    return replicas;
  }

  /** The common clock, in nanoseconds. */
  long now() {
    return now;
  }

  void advance(long nanos) {
    now += nanos;
  }

  // Replicas

  /** Adds a replica and starts it. */
  void add(SimulatedReplica replica) {
    replicas.add(replica);
    replica.start(now);
  }

  /** Removes a replica for good. */
  void remove(SimulatedReplica replica) {
    replicas.remove(replica);
    loseMessagesFrom(replica);
  }

  /** Ends the present incarnation of a replica and starts the next one from its disk. */
  void restart(SimulatedReplica replica) {
    replica.start(now);
    loseMessagesFrom(replica);
  }

  private void loseMessagesFrom(SimulatedReplica replica) {
    inFlight.removeIf(message -> message.from().equals(replica.address()));
  }

  /** Carries out what a replica's decider returned. */
  void perform(SimulatedReplica replica, List<CoreAction> actions) {
    for (CoreAction action : actions) {
      if (action instanceof CoreAction.Send send) {
        inFlight.add(new Message(replica.address(), send.address(), send.message()));
      } else if (action instanceof CoreAction.AnswerOperator
          || action instanceof CoreAction.CommittedConfiguration) {
        observer.accept(action);
      } else if (action instanceof CoreAction.StorePromise
          || action instanceof CoreAction.StoreVersion) {
        replica.write(action);
      }
    }
    inFlight.sort(Comparator.comparing(Message::from).thenComparing(Message::to));
  }

  void tick(SimulatedReplica replica) {
    perform(replica, replica.shards().tick(now));
  }

  void finishWrite(SimulatedReplica replica) {
    perform(replica, replica.finishWrite(now));
  }

  // Messages

  boolean hasMessages() {
    return !inFlight.isEmpty();
  }

  Message firstMessage() {
    return inFlight.get(0);
  }

  void loseFirstMessage() {
    inFlight.remove(0);
  }

  void loseAllMessages() {
    inFlight.clear();
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

  /** The message at a position arrives. */
  void deliver(int position) {
    Message message = inFlight.remove(position);
    for (SimulatedReplica replica : replicas) {
      if (replica.address().equals(message.to())) {
        perform(replica, replica.shards().receive(message.from(), message.body(), now));
      }
    }
  }

  /** What the state consists of, for its fingerprint. */
  List<Object> content() {
    return List.of(replicas, inFlight, now);
  }
}
