package nettletrail.emulator.actors;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import nettletrail.emulator.host.ControlRequest;
import nettletrail.emulator.host.ControlResponse;
import nettletrail.emulator.simulation.Machine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;

/**
 * One life of a backend: registers itself again and again at any core process, says that it closes,
 * serves on until that was acknowledged and some time has passed, deletes itself and ends. It may
 * also crash and say nothing.
 */
public final class BackendActor {
  /** What a backend is doing. */
  public enum Stage {
    SERVING,
    CLOSING,
    ENDED
  }

  private static final long RESPONSE_TIMEOUT = VirtualTime.SECOND;
  private static final long RETRY_DELAY = 200 * VirtualTime.MILLISECOND;
  private static final long MAX_REPEAT_DELAY = 3 * VirtualTime.SECOND;
  private static final double LATE_REPEAT_PROBABILITY = 0.2;
  private static final int SLOTS = 32;
  private static final int MAX_DELETE_ATTEMPTS = 5;

  private final VirtualTime time;
  private final Machine.Incarnation incarnation;
  private final Identity identity;
  private final Schedule schedule;
  private final Supplier<List<String>> addresses;
  private final Predicate<String> coreIsStable;
  private final ClientObserver observations;
  private final SplittableRandom random;
  private final ControlCaller caller;
  private Stage stage = Stage.SERVING;
  private long endedAt;
  private boolean endAcknowledged;
  private long callSequence;

  /**
   * Who a backend is.
   *
   * @param id new with every life
   * @param service the service that it belongs to
   * @param address where it serves; may have been another backend's before
   */
  public record Identity(String id, String service, String address) {}

  /**
   * When a backend does what.
   *
   * @param heartbeat how often it calls, in nanoseconds
   * @param serveAfterClosing how long it serves on after its closing was acknowledged, in
   *     nanoseconds
   */
  public record Schedule(long heartbeat, long serveAfterClosing) {}

  /**
   * Starts to register.
   *
   * @param addresses where core processes take calls
   * @param coreIsStable whether the core process at an address is in touch
   */
  public BackendActor(
      Simulation simulation,
      Machine machine,
      Identity identity,
      Schedule schedule,
      Supplier<List<String>> addresses,
      Predicate<String> coreIsStable,
      ClientObserver observations) {
    this.time = simulation.time();
    this.incarnation = machine.isUp() ? machine.incarnation() : machine.start();
    this.identity = identity;
    this.schedule = schedule;
    this.addresses = addresses;
    this.coreIsStable = coreIsStable;
    this.observations = observations;
    this.random = simulation.newRandom();
    this.caller = new ControlCaller(simulation.network(), incarnation, RESPONSE_TIMEOUT);
    register();
  }

  /** The id of this life. */
  public String id() {
    return identity.id();
  }

  /** What it is doing. */
  public Stage stage() {
    return stage;
  }

  /** When it ended, in nanoseconds of virtual time; 0 before. */
  public long endedAt() {
    return endedAt;
  }

  /** True once a core process acknowledged that it closes. */
  public boolean isEndAcknowledged() {
    return endAcknowledged;
  }

  /** It says that it closes, until that is acknowledged. */
  public void close() {
    if (stage == Stage.SERVING) {
      stage = Stage.CLOSING;
      announceClosing();
    }
  }

  /** It ends and says nothing. */
  public void crash() {
    end();
  }

  private void end() {
    stage = Stage.ENDED;
    endedAt = time.now();
    observations.backendEnded(identity.id());
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

  /** A call may arrive long after it was sent, when others have overtaken it. */
  private void repeatLater(Backend former) {
    String core = anyCore();
    ControlRequest request = new ControlRequest.Registration("PUT", former);
    incarnation.after(
        random.nextLong(MAX_REPEAT_DELAY), () -> caller.call(core, request, response -> {}));
  }

  private void announceClosing() {
    if (stage != Stage.CLOSING) {
      return;
    }
    call("PUT", BackendState.CLOSING, this::closingAnswered);
  }

  private void closingAnswered(String core, boolean accepted) {
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
      observations.backendEndAcknowledged(identity.id());
    }
  }

  private void call(String method, BackendState state, Answered answered) {
    callSequence++;
    String core = anyCore();
    Consumer<ControlResponse> done =
        response ->
            answered.answered(core, response != null && response.status() == ControlResponse.OK);
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
        "zone-a",
        "v1",
        SLOTS,
        state,
        0L,
        "",
        List.of("m"),
        callSequence);
  }

  /** Told whether a call was taken. */
  private interface Answered {
    void answered(String core, boolean accepted);
  }
}
