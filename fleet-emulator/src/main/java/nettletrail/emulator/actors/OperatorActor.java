package nettletrail.emulator.actors;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import nettletrail.emulator.host.ControlRequest;
import nettletrail.emulator.host.ControlResponse;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * A simulated operator. Submits changes based on the newest version that it knows to any core
 * process, and retries at another one while the outcome is unknown, up to a number of attempts.
 * After a rejection it reads the newest version. Makes one call at a time.
 */
public final class OperatorActor {
  private static final long RESPONSE_TIMEOUT = VirtualTime.SECOND;
  private static final long MIN_BACKOFF = 100 * VirtualTime.MILLISECOND;
  private static final long MAX_BACKOFF = VirtualTime.SECOND;
  private static final int MAX_EDITION_STEP = 3;
  private static final int NO_RESPONSE = 0;

  private final VirtualTime time;
  private final SimulatedMachine.Incarnation incarnation;
  private final Supplier<List<String>> addresses;
  private final ChangeRequests changes;
  private final ClientObserver observer;
  private final SplittableRandom random;
  private final ControlCaller caller;
  private ChangeDocument newest;
  private boolean busy;

  /**
   * @param addresses gives the addresses of the core processes
   */
  public OperatorActor(
      Simulation simulation,
      SimulatedMachine machine,
      Supplier<List<String>> addresses,
      ChangeRequests changes,
      ClientObserver observer) {
    this.time = simulation.time();
    this.incarnation = machine.start();
    this.addresses = addresses;
    this.changes = changes;
    this.observer = observer;
    this.random = simulation.newRandom();
    this.caller = new ControlCaller(simulation.network(), incarnation, RESPONSE_TIMEOUT);
  }

  /** The newest version that this operator knows; null before the first. */
  public ChangeDocument newest() {
    return newest;
  }

  /** False while a change or a read is in progress. */
  public boolean isIdle() {
    return !busy;
  }

  /** Submits a new change based on the newest version known, in at most so many attempts. */
  public ChangeDocument submitChange(int attempts) {
    ChangeDocument document = changes.create(newest, 1 + random.nextInt(MAX_EDITION_STEP));
    submit(document, attempts);
    return document;
  }

  /** Submits a change, possibly once more, in at most so many attempts. */
  public void submit(ChangeDocument document, int attempts) {
    busy = true;
    new Submission(document, attempts).attempt();
  }

  /** Submits a change in one attempt, at one core process. */
  public void submitTo(String address, ChangeDocument document) {
    busy = true;
    new Submission(document, 1).attemptAt(address);
  }

  /** Reads the newest version, with as many retries as it takes. */
  public void read() {
    busy = true;
    new Reading().attempt();
  }

  /** Reads at one core process first; retries at any. */
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

  /** A call that is made at one core process after another, with exponential backoff. */
  private abstract class RetriedCall {
    private long backoff = MIN_BACKOFF;

    abstract void attemptAt(String address);

    final void attempt() {
      attemptAt(anyAddress());
    }

    final void retryAfterBackoff() {
      incarnation.after(backoff, this::attempt);
      backoff = Math.min(MAX_BACKOFF, 2 * backoff);
    }
  }

  /** The submission of a change. */
  private final class Submission extends RetriedCall {
    private final ChangeDocument document;
    private int attemptsLeft;

    Submission(ChangeDocument document, int attempts) {
      this.document = document;
      this.attemptsLeft = attempts;
    }

    @Override
    void attemptAt(String address) {
      attemptsLeft--;
      long invoked = time.now();
      String basedOn = Long.toString(document.change().basedOn());
      ControlRequest request = new ControlRequest.Configuration("PUT", basedOn, document.json());
      caller.call(address, request, response -> answered(response, invoked));
    }

    private void answered(ControlResponse response, long invoked) {
      int status = response == null ? NO_RESPONSE : response.status();
      if (status == ControlResponse.OK) {
        observer.acknowledged(document, invoked);
        finish(document);
      } else if (status == ControlResponse.PRECONDITION_FAILED) {
        observer.rejected(document, invoked);
        read();
      } else {
        requireRetryable(status);
        observer.indeterminate(document, invoked);
        retryOrGiveUp();
      }
    }

    private void requireRetryable(int status) {
      if (ControlResponse.isPermanentRejection(status)) {
        throw new IllegalStateException("valid change answered with " + status + ": " + document);
      }
    }

    private void retryOrGiveUp() {
      if (attemptsLeft <= 0) {
        finish(null);
      } else {
        retryAfterBackoff();
      }
    }
  }

  /** A read, which is retried until it succeeds. */
  private final class Reading extends RetriedCall {
    @Override
    void attemptAt(String address) {
      long invoked = time.now();
      ControlRequest request = new ControlRequest.Configuration("GET", "", "");
      caller.call(address, request, response -> answered(response, invoked));
    }

    private void answered(ControlResponse response, long invoked) {
      if (response != null && response.status() == ControlResponse.OK) {
        ChangeDocument document = changes.get(ChangeDocument.changeIdOf(response.body()));
        observer.read(document, invoked);
        finish(document);
      } else {
        retryAfterBackoff();
      }
    }
  }
}
