package nettletrail.emulator.actors;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import nettletrail.emulator.host.ControlRequest;
import nettletrail.emulator.host.ControlResponse;
import nettletrail.emulator.simulation.Machine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * One operator: makes orders on top of the newest version that it knows, sends each to any core
 * process, and again to another when no clear answer comes; after some tries it gives up. Refused,
 * it reads the newest version first.
 */
public final class Operator {
  private static final long ANSWER_TIMEOUT = VirtualTime.SECOND;
  private static final long FIRST_PAUSE = 100 * VirtualTime.MILLISECOND;
  private static final long LONGEST_PAUSE = VirtualTime.SECOND;
  private static final int LARGEST_STEP = 3;

  private final VirtualTime time;
  private final Machine.Incarnation incarnation;
  private final Supplier<List<String>> addresses;
  private final OperatorHistory orders;
  private final Observations observations;
  private final SplittableRandom random;
  private final ControlCaller caller;
  private OrderDocument newest;
  private boolean busy;

  /**
   * @param addresses where core processes take calls
   */
  public Operator(
      Simulation simulation,
      Machine machine,
      Supplier<List<String>> addresses,
      OperatorHistory orders,
      Observations observations) {
    this.time = simulation.time();
    this.incarnation = machine.start();
    this.addresses = addresses;
    this.orders = orders;
    this.observations = observations;
    this.random = simulation.newRandom();
    this.caller = new ControlCaller(simulation.network(), incarnation, ANSWER_TIMEOUT);
  }

  /** The newest version that this operator knows; null before the first. */
  public OrderDocument newest() {
    return newest;
  }

  /** False while an order or a read is under way. */
  public boolean isIdle() {
    return !busy;
  }

  /** Makes an order on top of the newest version known and sends it, at most so many times. */
  public OrderDocument order(int attempts) {
    OrderDocument document = orders.create(newest, 1 + random.nextInt(LARGEST_STEP));
    send(document, attempts);
    return document;
  }

  /** Sends an order, which may have been sent before, at most so many times. */
  public void send(OrderDocument document, int attempts) {
    busy = true;
    new Sending(document, attempts).attempt();
  }

  /** Sends an order once, to one core process. */
  public void sendTo(String address, OrderDocument document) {
    busy = true;
    new Sending(document, 1).attemptAt(address);
  }

  /** Reads the newest version, however often that has to be tried. */
  public void read() {
    busy = true;
    new Reading().attempt();
  }

  /** Reads at one core process; if that gives no answer, at any. */
  public void readAt(String address) {
    busy = true;
    new Reading().attemptAt(address);
  }

  private String anyAddress() {
    List<String> choice = addresses.get();
    return choice.get(random.nextInt(choice.size()));
  }

  private void finish(OrderDocument known) {
    boolean newer =
        known != null && (newest == null || known.order().edition() > newest.order().edition());
    if (newer) {
      newest = known;
    }
    busy = false;
  }

  private static long longer(long pause) {
    return Math.min(LONGEST_PAUSE, 2 * pause);
  }

  /** An order on its way. */
  private final class Sending {
    private final OrderDocument document;
    private int attemptsLeft;
    private long pause = FIRST_PAUSE;

    Sending(OrderDocument document, int attempts) {
      this.document = document;
      this.attemptsLeft = attempts;
    }

    void attempt() {
      attemptAt(anyAddress());
    }

    void attemptAt(String address) {
      attemptsLeft--;
      long invoked = time.now();
      String basedOn = Long.toString(document.order().basedOn());
      ControlRequest request = new ControlRequest.Configuration("PUT", basedOn, document.json());
      caller.call(address, request, response -> answered(response, invoked));
    }

    private void answered(ControlResponse response, long invoked) {
      int status = response == null ? 0 : response.status();
      if (status == ControlResponse.OK) {
        observations.acknowledged(document, invoked);
        finish(document);
      } else if (status == ControlResponse.PRECONDITION_FAILED) {
        observations.refused(document, invoked);
        read();
      } else {
        requireUnclear(status);
        observations.unclear(document, invoked);
        tryAgain();
      }
    }

    private void requireUnclear(int status) {
      if (ControlResponse.refusesForGood(status)) {
        throw new IllegalStateException("valid order answered with " + status + ": " + document);
      }
    }

    private void tryAgain() {
      if (attemptsLeft <= 0) {
        finish(null);
        return;
      }
      incarnation.after(pause, this::attempt);
      pause = longer(pause);
    }
  }

  /** A read under way. */
  private final class Reading {
    private long pause = FIRST_PAUSE;

    void attempt() {
      attemptAt(anyAddress());
    }

    void attemptAt(String address) {
      long invoked = time.now();
      ControlRequest request = new ControlRequest.Configuration("GET", "", "");
      caller.call(address, request, response -> answered(response, invoked));
    }

    private void answered(ControlResponse response, long invoked) {
      if (response != null && response.status() == ControlResponse.OK) {
        OrderDocument document = orders.get(OrderDocument.orderIdOf(response.body()));
        observations.read(document, invoked);
        finish(document);
        return;
      }
      incarnation.after(pause, this::attempt);
      pause = longer(pause);
    }
  }
}
