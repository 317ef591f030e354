package nettletrail.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import nettletrail.control.door.DoorControl;
import nettletrail.control.door.DoorControlSettings;
import nettletrail.control.grant.QuotaLimit;

/** One door of a {@link ControlFleet}. */
final class SimulatedDoor {
  final String name;

  /** The sequences of the configurations that became active, in order. */
  final List<Long> configurations = new ArrayList<>();

  final Set<String> dialled = new TreeSet<>();
  private final ControlFleet fleet;
  DoorControl control;
  long incarnation;
  boolean running = true;
  Runnable afterMessage = () -> {};
  private boolean pollScheduled;
  private Map<String, QuotaLimit> limits = Map.of();

  SimulatedDoor(String name, ControlFleet fleet) {
    this.name = name;
    this.fleet = fleet;
    start();
  }

  /** Starts a new incarnation, which knows nothing but the limits. */
  void start() {
    running = true;
    incarnation = fleet.nextIncarnation();
    dialled.clear();
    control =
        new DoorControl(
            new DoorControlSettings(
                name,
                "zone",
                incarnation,
                ControlFleet.REVOKE_MS,
                ControlFleet.IN_FORCE_MS,
                List.of(fleet.seedAddress())),
            fleet.now);
    limitsChanged(fleet.currentLimits());
    fleet.schedule(fleet.firstTickDelay(), () -> tick(incarnation));
  }

  /** The door's active configuration has these limits. */
  void limitsChanged(Map<String, QuotaLimit> newLimits) {
    limits = newLimits;
    control.grants().limitsChanged(newLimits);
  }

  /** Whether the door's active configuration limits the tenant. */
  boolean limits(String tenant) {
    return limits.getOrDefault(tenant, QuotaLimit.NONE).limited();
  }

  private void tick(long ofIncarnation) {
    if (!running || incarnation != ofIncarnation) {
      return;
    }
    fleet.perform(this, control.tick(fleet.now));
    afterMessage.run();
    fleet.schedule(ControlFleet.TICK_NANOS, () -> tick(ofIncarnation));
  }

  /** Takes quota tokens as the data plane does; requests more if there are too few. */
  boolean take(String tenant, long tokens) {
    boolean taken = control.grants().tryAcquire(tenant, tokens, fleet.now);
    if (!taken) {
      fleet.perform(this, control.poll(fleet.now));
      schedulePoll();
    }
    return taken;
  }

  /** Polls before the next tick where the grant client asks for that. */
  void schedulePoll() {
    OptionalLong delay = control.nextPoll();
    if (delay.isEmpty() || pollScheduled) {
      return;
    }
    pollScheduled = true;
    long ofIncarnation = incarnation;
    fleet.schedule(
        delay.getAsLong(),
        () -> {
          pollScheduled = false;
          if (running && incarnation == ofIncarnation) {
            fleet.perform(this, control.poll(fleet.now));
            schedulePoll();
          }
        });
  }
}
