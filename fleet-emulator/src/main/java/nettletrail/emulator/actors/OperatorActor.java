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
public final class OperatorActor {
  private static final long RESPONSE_TIMEOUT = VirtualTime.SECOND;
  private static final long MIN_BACKOFF = 100 * VirtualTime.MILLISECOND;
  private static final long MAX_BACKOFF = VirtualTime.SECOND;
  private static final int MAX_EDITION_STEP = 3;

  private final VirtualTime time;
  private final Machine.Incarnation incarnation;
  private final Supplier<List<String>> addresses;
  private final ChangeRequests changes;
  private final ClientObserver observations;
  private final SplittableRandom random;
  private final ControlCaller caller;
  private ChangeDocument newest;
  private boolean busy;

  /**
   * @param addresses where core processes take calls
   */
  public OperatorActor(
      Simulation simulation,
      Machine machine,
      Supplier<List<String>> addresses,
      ChangeRequests changes,
      ClientObserver observations) {
    this.time = simulation.time();
    this.incarnation = machine.start();
    this.addresses = addresses;
    this.changes = changes;
    this.observations = observations;
    this.random = simulation.newRandom();
    this.caller = new ControlCaller(simulation.network(), incarnation, RESPONSE_TIMEOUT);
  }

  /** The newest version that this operator knows; null before the first. */
  public ChangeDocument newest() {
    return newest;
  }

  /** False while an order or a read is under way. */
  public boolean isIdle() {
    return !busy;
  }

  /** Makes an order on top of the newest version known and sends it, at most so many times. */
  public ChangeDocument submitChange(int attempts) {
    ChangeDocument document = changes.create(newest, 1 + random.nextInt(MAX_EDITION_STEP));
    submit(document, attempts);
    return document;
  }

  /** Sends an order, which may have been sent before, at most so many times. */
  public void submit(ChangeDocument document, int attempts) {
    busy = true;
    new Sending(document, attempts).attempt();
  }

  /** Sends an order once, to one core process. */
  public void submitTo(String address, ChangeDocument document) {
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

  private void finish(ChangeDocument known) {
    boolean newer =
        known != null && (newest == null || known.change().edition() > newest.change().edition());
    if (newer) {
      newest = known;
    }
    busy = false;
  }

  private static long doubled(long backoff) {
    return Math.min(MAX_BACKOFF, 2 * backoff);
  }

  /** An order on its way. */
  private final class Sending {
    private final ChangeDocument document;
    private int attemptsLeft;
    private long backoff = MIN_BACKOFF;

    Sending(ChangeDocument document, int attempts) {
      this.document = document;
      this.attemptsLeft = attempts;
    }

    void attempt() {
      attemptAt(anyAddress());
    }

    void attemptAt(String address) {
      attemptsLeft--;
      long invoked = time.now();
      String basedOn = Long.toString(document.change().basedOn());
      ControlRequest request = new ControlRequest.Configuration("PUT", basedOn, document.json());
      caller.call(address, request, response -> answered(response, invoked));
    }

    private void answered(ControlResponse response, long invoked) {
      int status = response == null ? 0 : response.status();
      if (status == ControlResponse.OK) {
        observations.acknowledged(document, invoked);
        finish(document);
      } else if (status == ControlResponse.PRECONDITION_FAILED) {
        observations.rejected(document, invoked);
        read();
      } else {
        requireRetryable(status);
        observations.indeterminate(document, invoked);
        retry();
      }
    }

    private void requireRetryable(int status) {
      if (ControlResponse.refusesForGood(status)) {
        throw new IllegalStateException("valid order answered with " + status + ": " + document);
      }
    }

    private void retry() {
      if (attemptsLeft <= 0) {
        finish(null);
        return;
      }
      incarnation.after(backoff, this::attempt);
      backoff = doubled(backoff);
    }
  }

  /** A read under way. */
  private final class Reading {
    private long backoff = MIN_BACKOFF;

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
        ChangeDocument document = changes.get(ChangeDocument.changeIdOf(response.body()));
        observations.read(document, invoked);
        finish(document);
        return;
      }
      incarnation.after(backoff, this::attempt);
      backoff = doubled(backoff);
    }
  }
}
