package nettletrail.emulator.actors;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import nettletrail.emulator.host.ControlRequest;
import nettletrail.emulator.host.ControlResponse;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;

/**
 * A simulated backend from its start to its end. It sends heartbeats to any core process. To end,
 * it announces that it is closing, serves on for some time after the acknowledgement, and deletes
 * its registration. It may also crash without notice.
 */
public final class BackendActor {
  /** The stages of a backend. */
  public enum Stage {
    /** Serves and sends heartbeats. */
    SERVING,
    /** Serves and announces its end. */
    CLOSING,
    /** Serves no more. */
    ENDED
  }

  private static final long RESPONSE_TIMEOUT = VirtualTime.SECOND;
  private static final long RETRY_DELAY = 200 * VirtualTime.MILLISECOND;
  private static final long MAX_REPEAT_DELAY = 3 * VirtualTime.SECOND;
  private static final double LATE_REPEAT_PROBABILITY = 0.2;
  private static final String ZONE = "zone-a";
  private static final String VERSION = "v1";
  private static final List<String> MODELS = List.of("m");
  private static final int SLOTS = 32;
  private static final int MAX_DELETE_ATTEMPTS = 5;

  private final SimulatedMachine.Incarnation incarnation;
  private final Identity identity;
  private final Schedule schedule;
  private final Supplier<List<String>> addresses;
  private final Predicate<String> coreIsStable;
  private final ClientObserver observer;
  private final SplittableRandom random;
  private final ControlCaller caller;
  private Stage stage = Stage.SERVING;
  private boolean endAcknowledged;
  private long callSequence;

  /**
   * The identity of a backend.
   *
   * @param id unique among all backends
   * @param service the service that it is part of
   * @param address where it serves; an earlier backend may have had it
   */
  public record Identity(String id, String service, String address) {}

  /**
   * The times of a backend.
   *
   * @param heartbeat interval of the heartbeats, in nanoseconds
   * @param serveAfterClosing for how long it serves after its closing is acknowledged, in
   *     nanoseconds
   */
  public record Schedule(long heartbeat, long serveAfterClosing) {}

  /**
   * Starts to send heartbeats.
   *
   * @param addresses gives the addresses of the core processes
   * @param coreIsStable tells if the core process at an address is stable
   */
  public BackendActor(
      Simulation simulation,
      SimulatedMachine machine,
      Identity identity,
      Schedule schedule,
      Supplier<List<String>> addresses,
      Predicate<String> coreIsStable,
      ClientObserver observer) {
    this.incarnation = machine.isUp() ? machine.incarnation() : machine.start();
    this.identity = identity;
    this.schedule = schedule;
    this.addresses = addresses;
    this.coreIsStable = coreIsStable;
    this.observer = observer;
    this.random = simulation.newRandom();
    this.caller = new ControlCaller(simulation.network(), incarnation, RESPONSE_TIMEOUT);
    register();
  }

  /** The id, unique among all backends. */
  public String id() {
    return identity.id();
  }

  /** The present stage. */
  public Stage stage() {
    return stage;
  }

  /** True once a core process has acknowledged the closing or the deletion. */
  public boolean isEndAcknowledged() {
    return endAcknowledged;
  }

  /** Announces the closing until it is acknowledged; without effect unless serving. */
  public void close() {
    if (stage == Stage.SERVING) {
      stage = Stage.CLOSING;
      announceClosing();
    }
  }

  /** Ends without notice. */
  public void crash() {
    end();
  }

  private void end() {
    stage = Stage.ENDED;
    observer.backendEnded(identity.id());
  }

  private void register() {
    if (stage == Stage.SERVING) {
      call("PUT", BackendState.READY, (core, accepted) -> {});
      if (random.nextDouble() < LATE_REPEAT_PROBABILITY) {
        repeatLater(record(BackendState.READY));
      }
      incarnation.after(schedule.heartbeat(), this::register);
    }
  }

  /** Repeats a heartbeat late, after others that were sent later. */
  private void repeatLater(Backend former) {
    String core = anyCore();
    ControlRequest request = new ControlRequest.Registration("PUT", former);
    incarnation.after(
        random.nextLong(MAX_REPEAT_DELAY), () -> caller.call(core, request, response -> {}));
  }

  /**
   * The first heartbeat arrives once more at a core process, as one that was held up on its way.
   */
  public void repeatFirstHeartbeat(String core) {
    Backend first = Backend.newBuilder(record(BackendState.READY)).setCallSequence(1).build();
    caller.call(core, new ControlRequest.Registration("PUT", first), response -> {});
  }

  private void announceClosing() {
    if (stage != Stage.CLOSING) {
      return;
    }
    call("PUT", BackendState.CLOSING, this::closingCompleted);
  }

  private void closingCompleted(String core, boolean accepted) {
    if (!accepted) {
      incarnation.after(RETRY_DELAY, this::announceClosing);
      return;
    }
    acknowledged(core);
    incarnation.after(schedule.serveAfterClosing(), () -> delete(MAX_DELETE_ATTEMPTS));
  }

  private void delete(int attempts) {
    if (attempts == 0) {
      end();
      return;
    }
    call(
        "DELETE",
        BackendState.GONE,
        (core, accepted) -> {
          if (accepted) {
            acknowledged(core);
            end();
          } else {
            incarnation.after(RETRY_DELAY, () -> delete(attempts - 1));
          }
        });
  }

  private void acknowledged(String core) {
    endAcknowledged = true;
    if (coreIsStable.test(core)) {
      observer.backendEndAcknowledged(identity.id());
    }
  }

  private void call(String method, BackendState state, CallListener listener) {
    callSequence++;
    String core = anyCore();
    Consumer<ControlResponse> done =
        response ->
            listener.completed(core, response != null && response.status() == ControlResponse.OK);
    caller.call(core, new ControlRequest.Registration(method, record(state)), done);
  }

  private String anyCore() {
    List<String> choice = addresses.get();
    return choice.get(random.nextInt(choice.size()));
  }

  private Backend record(BackendState state) {
    return new Backend(
        identity.id(),
        identity.service(),
        identity.address(),
        ZONE,
        VERSION,
        SLOTS,
        state,
        0L,
        "",
        MODELS,
        callSequence);
  }

  /** Notified of the outcome of a call. */
  private interface CallListener {
    void completed(String core, boolean accepted);
  }
}
