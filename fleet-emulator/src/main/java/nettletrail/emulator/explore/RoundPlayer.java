package nettletrail.emulator.explore;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Plays rounds over a {@link ReplicaNetwork}: time passes in ticks of 150 ms, and after each tick
 * all messages and writes that follow are carried out in one fixed order.
 */
final class RoundPlayer {
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private final ReplicaNetwork network;
  private final Runnable afterStep;
  private int deliveriesLeft;

  /**
   * @param afterStep is called after each write and each tick of a round
   */
  RoundPlayer(ReplicaNetwork network, Runnable afterStep) {
    this.network = network;
    this.afterStep = afterStep;
  }

  /** Plays some ticks; messages that did not arrive by the end are lost. */
  void playRound(int ticks, RoundFaults faults) {
    deliveriesLeft = faults.deliveries();
    for (int tick = 0; tick < ticks; tick++) {
      drain(faults);
      playTick(faults);
    }
    network.loseAllMessages();
  }

  /** Plays at most some ticks and stops after so many messages; none is lost. */
  void playDeliveries(int ticks, int deliveries) {
    deliveriesLeft = deliveries;
    for (int tick = 0; tick < ticks; tick++) {
      network.advance(TICK_NANOS);
      for (SimulatedReplica replica : network.replicas()) {
        network.tick(replica);
        if (!deliverWhileAllowed()) {
          return;
        }
      }
    }
  }

  /** Plays ticks without faults until a condition holds, but at most some. */
  void playUntil(BooleanSupplier condition, int ticks) {
    deliveriesLeft = RoundFaults.UNLIMITED;
    for (int tick = 0; tick < ticks && !condition.getAsBoolean(); tick++) {
      playTick(RoundFaults.NONE);
    }
  }

  private void playTick(RoundFaults faults) {
    network.advance(TICK_NANOS);
    for (SimulatedReplica replica : network.replicas()) {
      network.tick(replica);
      drain(faults);
      afterStep.run();
    }
  }

  /** Carries out everything that is in flight, without faults and without passing time. */
  void drain() {
    deliveriesLeft = RoundFaults.UNLIMITED;
    drain(RoundFaults.NONE);
  }

  private void drain(RoundFaults faults) {
    boolean busy = true;
    while (busy) {
      busy = finishWrites(faults);
      while (network.hasMessages()) {
        deliverOrLose(faults);
        busy = true;
      }
    }
  }

  /** Returns false once the allowed deliveries are used up. */
  private boolean deliverWhileAllowed() {
    boolean busy = true;
    while (busy) {
      busy = finishWrites(RoundFaults.NONE);
      while (network.hasMessages()) {
        if (deliveriesLeft == 0) {
          return false;
        }
        deliveriesLeft--;
        network.deliver(0);
        busy = true;
      }
    }
    return true;
  }

  private boolean finishWrites(RoundFaults faults) {
    boolean any = false;
    for (SimulatedReplica replica : network.replicas()) {
      while (replica.hasWrites() && !faults.stalled().contains(replica)) {
        network.finishWrite(replica);
        afterStep.run();
        any = true;
      }
    }
    return any;
  }

  private void deliverOrLose(RoundFaults faults) {
    ReplicaNetwork.Message first = network.firstMessage();
    if (faults.separates(first.from(), first.to()) || deliveriesLeft == 0) {
      network.loseFirstMessage();
    } else {
      deliveriesLeft--;
      network.deliver(0);
    }
  }
}
