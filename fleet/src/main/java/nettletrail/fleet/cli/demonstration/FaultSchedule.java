package nettletrail.fleet.cli.demonstration;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Injects the faults and configuration changes of a demonstration, each at a fixed fraction of the
 * load's duration. Blocks; used by one thread.
 */
final class FaultSchedule {
  private static final double REVOKE_AT = 0.10;
  private static final double REPLACE_CORE_AT = 0.20;
  private static final double DRAIN_AT = 0.35;
  private static final double RESTART_DOOR_AT = 0.55;
  private static final double CRASH_AT = 0.70;
  private static final double LAST_EDITION_AT = 0.80;
  private static final double END_AT = 1;

  private final DemonstrationPlan plan;
  private final FleetProcesses fleet;
  private final EmulatedBackends backends;
  private final DemonstrationOperator operator;
  private final StartupCondition condition;
  private final ProgressLog progress;
  private final long loadStartedAt = System.nanoTime();

  /** Creates the schedule of a load that starts now. */
  FaultSchedule(
      DemonstrationPlan plan,
      FleetProcesses fleet,
      EmulatedBackends backends,
      DemonstrationOperator operator,
      StartupCondition condition,
      ProgressLog progress) {
    this.plan = plan;
    this.fleet = fleet;
    this.backends = backends;
    this.operator = operator;
    this.condition = condition;
    this.progress = progress;
  }

  /**
   * What the invariants are checked against.
   *
   * @param keyRevokedAt when the revocation was acknowledged: steady clock, nanoseconds
   * @param drainedBackend the id of the backend that was drained
   * @param drainedAt when the drain was acknowledged: steady clock, nanoseconds
   * @param doorRestart whether the restarted door shut down gracefully
   */
  record InjectedFaults(
      long keyRevokedAt, String drainedBackend, long drainedAt, InvariantResult doorRestart) {}

  /** Injects everything; returns at the end of the load's duration. */
  InjectedFaults run(EmulatedMachine restartedDoor) throws IOException, InterruptedException {
    sleepUntil(REVOKE_AT);
    long keyRevokedAt = revokeKey();
    sleepUntil(REPLACE_CORE_AT);
    replaceCore();
    sleepUntil(DRAIN_AT);
    EmulatedBackend drained = backends.busiestModelBackend();
    long drainedAt = drain(drained);
    sleepUntil(RESTART_DOOR_AT);
    InvariantResult doorRestart = restart(restartedDoor);
    sleepUntil(CRASH_AT);
    crashBackend();
    sleepUntil(LAST_EDITION_AT);
    operator.patch(ConfigurationTemplate.EDITION_WITHOUT_KEY, ConfigurationTemplate.last());
    progress.report("configuration " + ConfigurationTemplate.LAST_EDITION + " is taken");
    sleepUntil(END_AT);
    return new InjectedFaults(keyRevokedAt, drained.id(), drainedAt, doorRestart);
  }

  private long revokeKey() throws IOException {
    long acknowledgedAt =
        operator.patch(ConfigurationTemplate.FIRST_EDITION, ConfigurationTemplate.withoutKey());
    progress.report(
        "a key is revoked by configuration " + ConfigurationTemplate.EDITION_WITHOUT_KEY);
    return acknowledgedAt;
  }

  private void replaceCore() throws IOException, InterruptedException {
    if (!plan.replaceCore()) {
      return;
    }
    EmulatedMachine lost = fleet.cores().get(1);
    progress.report(lost.name() + " is killed and its disk is lost");
    EmulatedMachine added = fleet.replaceCore(lost);
    progress.report(added.name() + " starts in its place at " + added.ip() + " with an empty disk");
  }

  private long drain(EmulatedBackend backend) throws IOException, InterruptedException {
    progress.report(backend.id() + " is drained");
    long acknowledgedAt = backends.drain(backend);
    progress.report(backend.id() + " has ended");
    return acknowledgedAt;
  }

  /**
   * Returns when the door is ready again, since the demonstration could otherwise end while it
   * starts.
   */
  private InvariantResult restart(EmulatedMachine door) throws IOException, InterruptedException {
    progress.report(door.name() + " is restarted");
    Optional<String> failure = fleet.restart(door);
    String evidence = door.name() + failure.map(reason -> " " + reason).orElse("");
    condition.await(door.name() + " is ready again", () -> ReadyDoors.isReady(door));
    return new InvariantResult(
        "a door that is restarted ends in time with code 0", failure.isEmpty(), evidence);
  }

  private void crashBackend() {
    EmulatedBackend crashed = backends.busiestModelBackend();
    progress.report(crashed.id() + " crashes");
    backends.crash(crashed);
  }

  private void sleepUntil(double loadFraction) throws InterruptedException {
    long loadNanos = TimeUnit.SECONDS.toNanos(plan.loadSeconds());
    long dueAt = loadStartedAt + (long) (loadNanos * loadFraction);
    TimeUnit.NANOSECONDS.sleep(Math.max(0, dueAt - System.nanoTime()));
  }
}
